"""A stream for log lines that never blocks whoever writes."""

from __future__ import annotations

import os
import stat


class LogStream:
    """Writes whole lines to a descriptor, and drops what a full pipe does not take.

    A line that was begun is ended before another one; how many lines were dropped is
    told in a line of its own once there is room again.
    """

    def __init__(self, descriptor: int) -> None:
        """Make a pipe or socket non-blocking; a file never blocks for long."""
        self._descriptor = descriptor
        #: The end of a line whose beginning a nearly full pipe took.
        self._rest = b""
        #: Lines that were dropped and not told yet.
        self.dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line with its end, or drop it whole."""
        if self._rest and not self._flush_rest():
            self.dropped += 1
            return
        if self.dropped:
            told = b'{"event":"log_lines_dropped","count":%d}\n' % self.dropped
            if not self._send(told):
                self.dropped += 1
                return
            self.dropped = 0
        if not self._send(text.encode()):
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing: nothing is gathered."""

    def close(self) -> None:
        """Do nothing: the descriptor is the process's."""

    def _flush_rest(self) -> bool:
        rest, self._rest = self._rest, b""
        if not self._send(rest):
            self._rest = rest
        return not self._rest

    def _send(self, data: bytes) -> bool:
        """Return whether the data was taken, if only its beginning by now."""
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            return False
        self._rest = data[written:]
        return True
