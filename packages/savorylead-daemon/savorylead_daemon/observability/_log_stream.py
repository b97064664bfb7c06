"""A stream for log lines whose writes do not block on a full pipe."""

from __future__ import annotations

import os
import stat


class LogStream:
    """Writes lines to a file descriptor, and drops lines that it does not accept.

    A partially written line is completed before the next one. The number of dropped
    lines is written as a separate line once it accepts data again.
    """

    def __init__(self, descriptor: int) -> None:
        """Set a pipe or socket to non-blocking mode; files do not block for long."""
        self._descriptor = descriptor
        #: The unwritten remainder of a line that a nearly full pipe accepted in part.
        self._unsent = b""
        #: Number of dropped lines that has not been reported yet.
        self.dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line including its terminator, or drop it entirely."""
        if self._unsent and not self._flush_unsent():
            self.dropped += 1
            return
        if self.dropped:
            notice = b'{"event":"log_lines_dropped","count":%d}\n' % self.dropped
            if not self._send(notice):
                self.dropped += 1
                return
            self.dropped = 0
        if not self._send(text.encode()):
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def close(self) -> None:
        """Do nothing: the descriptor belongs to the process."""

    def _flush_unsent(self) -> bool:
        unsent, self._unsent = self._unsent, b""
        if not self._send(unsent):
            self._unsent = unsent
        return not self._unsent

    def _send(self, data: bytes) -> bool:
        """Return whether the data was accepted; the remainder is sent later."""
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # A full pipe or disk, or no reader: the lines are counted as dropped.
            return False
        self._unsent = data[written:]
        return True
