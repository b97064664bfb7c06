"""Sizes and times of a ring journal, and its own errors."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from savorylead.store import MAX_VALUE_BYTES

from ._journal import JournalError

#: Largest value of ``entry_bytes``.
MAX_ENTRY_BYTES = MAX_VALUE_BYTES * 45 // 100
#: The shortest ring, so that a snapshot can be written while appends go on.
MIN_RING_SLOTS = 8


class JournalSettings(NamedTuple):
    """Sizes and times of a ring journal."""

    #: Log slots of a shard that was never led; later settings do not change it.
    ring_slots: int = 2048
    #: Longest log entry; longer appends are divided over several entries. At most
    #: MAX_ENTRY_BYTES, so that a record, which is made of two long events at most,
    #: fits into a snapshot chunk.
    entry_bytes: int = 400_000
    #: Longest snapshot chunk.
    chunk_bytes: int = 400_000
    #: Shortest log that is worth a snapshot.
    snapshot_log_bytes: int = 64_000
    #: Least time between the starts of two writes, so that events gather. Accepting
    #: an urgent task, and the end of one, never wait for it.
    gather: timedelta = timedelta(milliseconds=20)
    #: Longest time for which ends and removals wait for other events to go along with,
    #: since nobody starts anything on them.
    gather_ends: timedelta = timedelta(milliseconds=300)
    #: This many waiting events are written without waiting any longer.
    gather_events: int = 64
    #: Shortest and longest pause between tries while the store fails.
    retry_base: timedelta = timedelta(milliseconds=100)
    retry_cap: timedelta = timedelta(seconds=2)


class AlreadyOpenError(JournalError):
    """A journal object is opened at most once; make another one."""

    def __init__(self, shard: str) -> None:
        super().__init__(f"shard {shard}: this journal was opened before")
        self.shard = shard


class AppendTooLargeError(JournalError):
    """Events are longer than the log can take at once; nothing was appended."""

    def __init__(self, shard: str, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"shard {shard}: {size_bytes} bytes, limit {limit_bytes}")
        self.shard = shard
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes
