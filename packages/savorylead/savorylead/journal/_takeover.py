"""Takeover of a shard: claim the head, replay the log, fence off the older lead."""

from __future__ import annotations

import random

from savorylead.store import RetryPolicy, Store

from ._codec import encode_entry, encode_event
from ._events import EpochBegan
from ._head_writer import HeadWriter
from ._journal import DeposedError
from ._layout import JournalLayout
from ._reader import EntryLostError, JournalReplay, SnapshotMissingError, read_head
from ._slot_writer import SlotConflictError, SlotWriter
from ._snapshot_writer import SnapshotCut, SnapshotWriter

#: Attempts at writing the first entry of an epoch before the store's error is raised.
FENCE_ATTEMPTS = 3


class Takeover:
    """Takes over a shard at a new epoch; used once.

    The older lead can append until the new lead's first entry occupies the slot of its
    next one. All entries that it appended until then are replayed.
    """

    def __init__(
        self,
        store: Store,
        layout: JournalLayout,
        head: HeadWriter,
        snapshots: SnapshotWriter,
        rng: random.Random,
        retry: RetryPolicy,
    ) -> None:
        self._store = store
        self._layout = layout
        self._head = head
        self._snapshots = snapshots
        self._rng = rng
        self._slots = SlotWriter(store, layout, retry)

    async def run(self, lead: str, ring_slots: int) -> JournalReplay:
        """Return the replay up to and including the first entry of the epoch.

        Raises StoreError, or DeposedError if another lead claimed the shard meanwhile.
        """
        await self._head.claim(lead, ring_slots)
        replay = JournalReplay(self._store, self._layout, self._head.head)
        try:
            await replay.load_snapshot()
            self._snapshots.adopt(replay.chunk_revisions)
            await replay.read_log()
            while not await self._fence(replay, lead):
                await replay.read_log()
        except (SnapshotMissingError, EntryLostError):
            await self._raise_if_deposed()
            raise
        return replay

    async def _fence(self, replay: JournalReplay, lead: str) -> bool:
        head = self._head.head
        if replay.state.epoch > head.epoch:
            # A later lead began its epoch while this one was reading the log.
            raise DeposedError(self._layout.shard, head.epoch)
        await self._ensure_slot_free(replay)
        head = self._head.head
        index = replay.index + 1
        slot = index % head.ring_slots
        events = [EpochBegan(head.epoch, lead)]
        batch = f"{self._rng.getrandbits(64):016x}"
        encoded = [encode_event(event) for event in events]
        value = encode_entry(index, head.epoch, batch, False, encoded)
        expected = replay.slot_revisions[slot]
        try:
            revision = await self._slots.write(
                slot, value, batch, expected, FENCE_ATTEMPTS
            )
        except SlotConflictError as exc:
            if exc.current is None or not replay.apply_entry(exc.current):
                raise DeposedError(self._layout.shard, head.epoch) from exc
            await self._raise_if_deposed()
            return False
        replay.adopt_own_entry(index, revision, events, len(value))
        return True

    async def _ensure_slot_free(self, replay: JournalReplay) -> None:
        """Write a snapshot if the next entry would overwrite an uncovered one."""
        head = self._head.head
        if replay.index + 1 - head.ring_slots <= head.covered:
            return
        await self._snapshots.write(SnapshotCut.of(replay.state, replay.applied))
        replay.log_bytes = 0

    async def _raise_if_deposed(self) -> None:
        current = await read_head(self._store, self._layout)
        if current is None or current.head.claim != self._head.head.claim:
            raise DeposedError(self._layout.shard, self._head.head.epoch)
