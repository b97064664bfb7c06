"""The appends that wait to be written."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Wakeup

from ._codec import encode_event
from ._events import Accepted, Event
from ._settings import JournalSettings


class PendingAppend:
    """The events of one call of ``append``, which become durable together."""

    def __init__(self, events: Sequence[Event]) -> None:
        self.events = list(events)
        self.encoded = [encode_event(event) for event in self.events]
        #: Length in an entry.
        self.size = sum(len(event) + 1 for event in self.encoded)
        #: Whether it must not wait for others to gather.
        self.urgent = any(
            type(event) is Accepted and event.spec.urgent for event in self.events
        )
        #: Fires once the events are durable.
        self.done: Deferred[None] = Deferred()

    @property
    def largest_event(self) -> int:
        """Length of the longest event."""
        return max(map(len, self.encoded), default=0)


class AppendQueue:
    """Gathers appends while a write is in flight or too recent."""

    def __init__(self, clock: Clock, settings: JournalSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._waiting: deque[PendingAppend] = deque()
        self._events = 0
        self._urgent = 0
        self._wakeup = Wakeup(clock)
        self._last_batch_at = clock.now() - settings.gather

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def put(self, append: PendingAppend) -> None:
        """Add an append behind the others."""
        self._waiting.append(append)
        self._events += len(append.events)
        self._urgent += append.urgent
        self._wakeup.wake()

    async def next_batch(self) -> list[PendingAppend]:
        """Return the appends of the next write, which are at least one.

        Several are at most as long as an entry; one alone may be longer.
        """
        due_at = self._last_batch_at + self._settings.gather
        while (
            self._clock.now() < due_at
            and self._events < self._settings.gather_events
            and not self._urgent
        ):
            await self._wakeup.wait(due_at - self._clock.now())
        self._last_batch_at = self._clock.now()
        return self._take()

    def clear(self) -> list[PendingAppend]:
        """Remove and return every append that waits."""
        dropped = list(self._waiting)
        self._waiting.clear()
        self._events = 0
        self._urgent = 0
        return dropped

    def _take(self) -> list[PendingAppend]:
        batch = [self._waiting.popleft()]
        size = batch[0].size
        while self._waiting:
            size += self._waiting[0].size
            if size > self._settings.entry_bytes:
                break
            batch.append(self._waiting.popleft())
        self._events -= sum(len(append.events) for append in batch)
        self._urgent -= sum(append.urgent for append in batch)
        return batch


def divide(encoded: Sequence[bytes], entry_bytes: int) -> Iterator[list[bytes]]:
    """Yield the events of a batch in parts that are at most ``entry_bytes`` long."""
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
    """Fail every append with the error."""
    for append in appends:
        if not append.done.called:
            append.done.errback(error)
