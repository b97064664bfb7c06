"""Writer of entries to a shard's log ring."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from savorylead.clock import Clock, Wakeup
from savorylead.store import ABSENT, KeyValue, RetryPolicy, Store, StoreError

from ._codec import ShardHead, decode_entry, encode_entry
from ._journal import DeposedError
from ._layout import SEGMENT_SLOTS, JournalLayout
from ._slot_writer import SlotConflictError, SlotWriter


class LogPosition(NamedTuple):
    """A position in the log."""

    #: Index of the last entry before the position.
    index: int
    #: Size of the log up to the position, from the snapshot that the lead started with.
    log_bytes: int


class LogWriter:
    """Appends entries one at a time at one epoch.

    An entry overwrites the entry one ring length before it, so the write waits until a
    snapshot covers that entry.
    """

    def __init__(
        self,
        store: Store,
        layout: JournalLayout,
        clock: Clock,
        rng: random.Random,
        retry: RetryPolicy,
    ) -> None:
        #: The end of the log.
        self.position = LogPosition(0, 0)
        #: Entries and bytes written by this lead, and retries, for metrics.
        self.entries_written = 0
        self.bytes_written = 0
        self.retries = 0
        self._epoch = 0
        self._ring_slots = 0
        self._covered = LogPosition(0, 0)
        self._slot_revisions: dict[int, int] = {}
        self._store = store
        self._layout = layout
        self._rng = rng
        self._retry = retry
        self._slots = SlotWriter(store, layout, retry)
        self._slot_freed = Wakeup(clock)
        self._fetch_failed = False
        self._ring_full = False

    @property
    def stalled(self) -> bool:
        """Whether the current write has failed at least once, or the ring is full."""
        return self._slots.stalled or self._fetch_failed or self._ring_full

    @property
    def uncovered(self) -> int:
        """Number of entries that are not covered by a snapshot."""
        return self.position.index - self._covered.index

    @property
    def uncovered_bytes(self) -> int:
        """Size in bytes of the entries that are not covered by a snapshot."""
        return self.position.log_bytes - self._covered.log_bytes

    def start(self, head: ShardHead, index: int, log_bytes: int) -> None:
        """Continue the log after entry ``index`` at the epoch of a new head.

        ``log_bytes`` is the size of the entries that are not covered by a snapshot.
        """
        self._epoch = head.epoch
        self._ring_slots = head.ring_slots
        self.position = LogPosition(index, log_bytes)
        self._covered = LogPosition(head.covered, 0)

    async def prefetch_revisions(self) -> None:
        """Prefetch the slot revisions of the next write; it retries if the store fails.

        Raises DeposedError.
        """
        try:
            await self._fetch_revisions(self.position.index + 1)
        except StoreError:
            return

    def mark_covered(self, position: LogPosition) -> None:
        """Record that a snapshot covers all entries before ``position``."""
        self._covered = position
        self._slot_freed.wake()

    async def write(self, events: Sequence[bytes], more: bool) -> None:
        """Write the next entry; raises DeposedError."""
        index = self.position.index + 1
        while index - self._ring_slots > self._covered.index:
            self._ring_full = True
            await self._slot_freed.wait()
        self._ring_full = False
        batch = f"{self._rng.getrandbits(64):016x}"
        value = encode_entry(index, self._epoch, batch, more, events)
        slot = index % self._ring_slots
        expected = await self._expected_revision(index)
        try:
            revision = await self._slots.write(slot, value, batch, expected)
        except SlotConflictError as exc:
            raise self._deposed_error(exc, index, more) from exc
        finally:
            self.retries += self._slots.take_retries()
        self._slot_revisions[slot] = revision
        self.position = LogPosition(index, self.position.log_bytes + len(value))
        self.entries_written += 1
        self.bytes_written += len(value)

    def _deposed_error(
        self, conflict: SlotConflictError, index: int, more: bool
    ) -> DeposedError:
        """Return the error for a write whose slot contains another lead's entry.

        Another entry with the same index proves that this write never took effect: the
        slot no longer has the revision that a delayed copy of it expects. A later index
        proves nothing, since this entry may have been overwritten; but replays drop a
        batch without its last part.
        """
        found_index = conflict.index()
        settled = more or found_index == index
        return DeposedError(self._layout.shard, self._epoch, settled)

    async def _expected_revision(self, index: int) -> int:
        slot = index % self._ring_slots
        known = self._slot_revisions.get(slot)
        backoff = self._retry.begin()
        while known is None:
            try:
                await self._fetch_revisions(index)
                known = self._slot_revisions[slot]
            except StoreError:
                self._fetch_failed = True
                await backoff.wait()
        self._fetch_failed = False
        return known

    async def _fetch_revisions(self, index: int) -> None:
        """Read the revisions of the segment's remaining slots from the previous lap."""
        slot = index % self._ring_slots
        listed = await self._store.list(self._layout.segment_prefix(slot))
        items = {item.key: item for item in listed.items}
        segment_end = (slot // SEGMENT_SLOTS + 1) * SEGMENT_SLOTS
        for other in range(slot, min(segment_end, self._ring_slots)):
            if other in self._slot_revisions:
                break
            item = items.get(self._layout.slot_key(other))
            self._raise_if_overtaken(item, index + other - slot)
            self._slot_revisions[other] = item.revision if item else ABSENT

    def _raise_if_overtaken(self, item: KeyValue | None, index: int) -> None:
        """Raise DeposedError if another lead has written entry ``index``."""
        if item and decode_entry(item.key, item.value).index >= index:
            raise DeposedError(self._layout.shard, self._epoch)
