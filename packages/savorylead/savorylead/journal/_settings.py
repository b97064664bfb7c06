"""Settings of a ring journal, and errors specific to it."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from savorylead.store import MAX_VALUE_BYTES

from ._journal import JournalError

#: Upper limit of ``entry_bytes``.
MAX_ENTRY_BYTES = MAX_VALUE_BYTES * 45 // 100
#: Minimum ring size that lets appends continue while a snapshot is written.
MIN_RING_SLOTS = 8


class JournalSettings(NamedTuple):
    """Sizes and delays of a ring journal."""

    #: Number of log slots; used when the shard is first led, and fixed from then on.
    ring_slots: int = 2048
    #: Maximum size of a log entry; larger appends are split into several entries. At
    #: most MAX_ENTRY_BYTES, so that a record, which consists of at most two large
    #: events, fits into a snapshot chunk.
    entry_bytes: int = 400_000
    #: Maximum size of a snapshot chunk.
    chunk_bytes: int = 400_000
    #: Minimum size of the log that triggers a snapshot.
    snapshot_log_bytes: int = 64_000
    #: Minimum interval between the starts of two writes, so that events are batched.
    #: The acceptance and the end of an urgent task are never delayed by it.
    min_write_interval: timedelta = timedelta(milliseconds=20)
    #: Maximum delay of task ends and record removals until other events are written,
    #: since no further action waits for them.
    max_end_delay: timedelta = timedelta(milliseconds=300)
    #: Number of pending events that triggers a write immediately.
    flush_event_count: int = 64
    #: Minimum and maximum delay between retries while the store fails.
    retry_base: timedelta = timedelta(milliseconds=100)
    retry_cap: timedelta = timedelta(seconds=2)


class AlreadyOpenError(JournalError):
    """A journal object can be opened only once; create another one."""

    def __init__(self, shard: str) -> None:
        super().__init__(
            f"shard {shard}: journal object is already open or was opened before"
        )
        self.shard = shard


class AppendTooLargeError(JournalError):
    """An append exceeds a size limit of the log; nothing was appended."""

    def __init__(self, shard: str, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(
            f"shard {shard}: append of {size_bytes} bytes exceeds {limit_bytes} bytes"
        )
        self.shard = shard
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes
