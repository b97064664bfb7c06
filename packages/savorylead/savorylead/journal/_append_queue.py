"""Queue of appends that are batched into journal writes."""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Iterator, Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Wakeup

from ._codec import encode_event
from ._events import Event
from ._settings import JournalSettings


class WritePriority(enum.IntEnum):
    """How long an append may be delayed in order to batch it with others."""

    #: Up to ``max_end_delay`` of the settings.
    DEFERRABLE = 0
    #: Up to the minimum interval between two writes, ``gather`` of the settings.
    NORMAL = 1
    #: No delay.
    IMMEDIATE = 2


class PendingAppend:
    """The events of one ``append`` call, which become durable atomically."""

    def __init__(self, events: Sequence[Event], priority: WritePriority) -> None:
        self.events = list(events)
        self.encoded = [encode_event(event) for event in self.events]
        #: Encoded size within an entry, in bytes.
        self.size = sum(len(event) + 1 for event in self.encoded)
        self.priority = priority
        #: Fires when the events are durable.
        self.done: Deferred[None] = Deferred()

    @property
    def largest_event(self) -> int:
        """Encoded size of the largest event, in bytes."""
        return max(map(len, self.encoded), default=0)


class AppendQueue:
    """Collects appends during a write and until the next write is due."""

    def __init__(self, clock: Clock, settings: JournalSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._waiting: deque[PendingAppend] = deque()
        self._events = 0
        self._count_by_priority: Counter[WritePriority] = Counter()
        self._wakeup = Wakeup(clock)
        self._last_batch_at = clock.now() - settings.min_write_interval
        #: Arrival time of the oldest pending append.
        self._waiting_since = clock.now()

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def put(self, append: PendingAppend) -> None:
        """Add an append at the end of the queue."""
        if not self._waiting:
            self._waiting_since = self._clock.now()
        self._waiting.append(append)
        self._events += len(append.events)
        self._count_by_priority[append.priority] += 1
        self._wakeup.wake()

    async def next_batch(self) -> list[PendingAppend]:
        """Wait until a write is due and return its appends, at least one.

        Several appends fit into one entry; a single append may exceed it.
        """
        while (wait := self._due_at() - self._clock.now()) > timedelta(0):
            await self._wakeup.wait(wait)
        self._last_batch_at = self._clock.now()
        return self._take_batch()

    def _due_at(self) -> datetime:
        """Return when the next write may start."""
        threshold_reached = self._events >= self._settings.flush_event_count
        if threshold_reached or self._count_by_priority[WritePriority.IMMEDIATE]:
            return self._clock.now()
        due_at = self._last_batch_at + self._settings.min_write_interval
        if self._count_by_priority[WritePriority.NORMAL]:
            return due_at
        return max(due_at, self._waiting_since + self._settings.max_end_delay)

    def clear(self) -> list[PendingAppend]:
        """Remove and return all pending appends."""
        dropped = list(self._waiting)
        self._waiting.clear()
        self._events = 0
        self._count_by_priority.clear()
        return dropped

    def _take_batch(self) -> list[PendingAppend]:
        batch = [self._waiting.popleft()]
        size = batch[0].size
        while self._waiting:
            size += self._waiting[0].size
            if size > self._settings.entry_bytes:
                break
            batch.append(self._waiting.popleft())
        self._events -= sum(len(append.events) for append in batch)
        self._count_by_priority.subtract(append.priority for append in batch)
        self._waiting_since = self._clock.now()
        return batch


def split_batch(encoded: Sequence[bytes], entry_bytes: int) -> Iterator[list[bytes]]:
    """Yield the events of a batch in parts of at most ``entry_bytes``."""
    part: list[bytes] = []
    size = 0
    for event in encoded:
        if part and size + len(event) + 1 > entry_bytes:
            yield part
            part = []
            size = 0
        part.append(event)
        size += len(event) + 1
    yield part


def fail_all(appends: Sequence[PendingAppend], error: Exception) -> None:
    """Fail all appends that are not yet complete with the error."""
    for append in appends:
        if not append.done.called:
            append.done.errback(error)
