"""Standard input, output and error of a daemon."""

from __future__ import annotations

import errno
import os

STDIN, STDOUT, STDERR = range(3)


def open_missing_streams() -> None:
    """Connect standard descriptors that are closed to the null device.

    A socket would get such a number otherwise, and log lines would be sent to its peer.
    """
    for descriptor in (STDIN, STDOUT, STDERR):
        try:
            os.fstat(descriptor)
        except OSError as exc:
            if exc.errno != errno.EBADF:
                raise
            # The kernel gives the lowest free number, which is this one.
            os.open(os.devnull, os.O_RDWR)
