"""Writing one log entry for certain."""

from __future__ import annotations

from savorylead.store import (
    ABSENT,
    KeyValue,
    RetryPolicy,
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
        retry: RetryPolicy,
    ) -> None:
        #: Whether the write in flight has failed at least once.
        self.stalled = False
        self._retries = 0
        self._store = store
        self._layout = layout
        self._retry = retry

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
        pauses = self._retry.begin()
        try:
            while True:
                try:
                    revision = None
                    if pauses.failures:
                        revision = await self._read_back(key, batch, expected)
                    if revision is None:
                        revision = await self._try_write(key, value, batch, expected)
                    return revision
                except StoreError:
                    if pauses.failures + 1 == max_tries:
                        raise
                    self.stalled = True
                    self._retries += 1
                    await pauses.wait()
        finally:
            self.stalled = False

    async def _read_back(self, key: str, batch: str, expected: int) -> int | None:
        """Return the revision of our entry, or None if the slot is unchanged."""
        current = await self._store.get(key)
        revision = current.revision if current else ABSENT
        if revision == expected:
            return None
        return _own_revision(current, batch)

    async def _try_write(
        self, key: str, value: bytes, batch: str, expected: int
    ) -> int:
        result = await self._store.swap(key, value, expected)
        if isinstance(result, SwapConflict):
            return _own_revision(result.current, batch)
        return result.revision


def _own_revision(current: KeyValue | None, batch: str) -> int:
    """Return the revision of our entry; raises SlotConflictError if it isn't ours."""
    if current and decode_entry(current.key, current.value).batch == batch:
        return current.revision
    raise SlotConflictError(current)
