"""Writer of a single log entry that determines the result of each write."""

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
    """The slot contains another lead's entry."""

    def __init__(self, current: KeyValue | None) -> None:
        super().__init__("log slot contains another entry")
        #: The current value of the slot.
        self.current = current

    def index(self) -> int | None:
        """Return the index of the entry in the slot, or None if it is empty."""
        if self.current is None:
            return None
        return decode_entry(self.current.key, self.current.value).index


class SlotWriter:
    """Writes entries by compare-and-swap, and reads back the result after failures."""

    def __init__(
        self,
        store: Store,
        layout: JournalLayout,
        retry: RetryPolicy,
    ) -> None:
        #: Whether the current write has failed at least once.
        self.stalled = False
        self._retries = 0
        self._store = store
        self._layout = layout
        self._retry = retry

    def take_retries(self) -> int:
        """Return and reset the number of retries, for metrics."""
        retries, self._retries = self._retries, 0
        return retries

    async def write(
        self, slot: int, value: bytes, batch: str, expected: int, max_attempts: int = 0
    ) -> int:
        """Write ``value``, which contains the batch ID, and return its revision.

        Retries until the write took effect or is impossible; raises SlotConflictError
        in the latter case. After ``max_attempts`` failures, unless 0, raises the
        store's error, and the write may still take effect later.
        """
        key = self._layout.slot_key(slot)
        backoff = self._retry.begin()
        try:
            while True:
                try:
                    revision = None
                    if backoff.failures:
                        revision = await self._read_back(key, batch, expected)
                    if revision is None:
                        revision = await self._try_write(key, value, batch, expected)
                    return revision
                except StoreError:
                    if backoff.failures + 1 == max_attempts:
                        raise
                    self.stalled = True
                    self._retries += 1
                    await backoff.wait()
        finally:
            self.stalled = False

    async def _read_back(self, key: str, batch: str, expected: int) -> int | None:
        """Return the written entry's revision, or None if the slot is unchanged."""
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
    """Return the revision if the batch ID matches; else raise SlotConflictError."""
    if current and decode_entry(current.key, current.value).batch == batch:
        return current.revision
    raise SlotConflictError(current)
