"""Writing one log entry for certain."""

from __future__ import annotations

import random

from savorylead.clock import Clock
from savorylead.store import (
    ABSENT,
    Backoff,
    KeyValue,
    Store,
    StoreError,
    SwapConflict,
)

from ._codec import decode_entry
from ._layout import JournalLayout


class SlotConflictError(Exception):
    """Another lead's entry lies in the slot."""

    def __init__(self, current: KeyValue | None) -> None:
        super().__init__("another entry lies in the slot")
        #: The slot as it is now.
        self.current = current

    def index(self) -> int | None:
        """Return the index of the entry in the slot, or None if it is empty."""
        if self.current is None:
            return None
        return decode_entry(self.current.key, self.current.value).index


class SlotWriter:
    """Writes entries by compare-and-swap and reads back what became of them."""

    def __init__(
        self,
        store: Store,
        layout: JournalLayout,
        clock: Clock,
        rng: random.Random,
        backoff: Backoff,
    ) -> None:
        #: Whether the write in flight has failed at least once.
        self.stalled = False
        self._retries = 0
        self._store = store
        self._layout = layout
        self._clock = clock
        self._rng = rng
        self._backoff = backoff

    def take_retries(self) -> int:
        """Return the number of tries again since the last call, for metrics."""
        retries, self._retries = self._retries, 0
        return retries

    async def write(
        self, slot: int, value: bytes, batch: str, expected: int, max_tries: int = 0
    ) -> int:
        """Write ``value``, which carries the id ``batch``; return its revision.

        Tries until the write is known to have taken effect or to be impossible,
        then raises SlotConflictError. After ``max_tries`` failures, if not 0,
        the store's error is raised and the write may still land late.
        """
        key = self._layout.slot_key(slot)
        failures = 0
        try:
            while True:
                try:
                    return await self._try_write(key, value, batch, expected, failures)
                except StoreError:
                    failures += 1
                    if failures == max_tries:
                        raise
                    self.stalled = True
                    self._retries += 1
                    await self._clock.sleep(self._backoff.delay(failures, self._rng))
        finally:
            self.stalled = False

    async def _try_write(
        self, key: str, value: bytes, batch: str, expected: int, failures: int
    ) -> int:
        if failures:
            current = await self._store.get(key)
            revision = current.revision if current else ABSENT
            if revision != expected:
                return self._own_revision(current, batch)
        result = await self._store.swap(key, value, expected)
        if isinstance(result, SwapConflict):
            return self._own_revision(result.current, batch)
        return result.revision

    def _own_revision(self, current: KeyValue | None, batch: str) -> int:
        if current and decode_entry(current.key, current.value).batch == batch:
            return current.revision
        raise SlotConflictError(current)
