"""Reader of a shard's journal in the store."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.store import ABSENT, KeyValue, Snapshot, Store

from ._codec import (
    Entry,
    JournalFormatError,
    ShardHead,
    decode_chunk,
    decode_entry,
    decode_events,
    decode_head,
)
from ._events import Event
from ._journal import JournalError
from ._layout import HEADS_PREFIX, JournalLayout
from ._state import ShardState

#: Maximum restarts of a read whose entries were overwritten by concurrent writes.
MAX_RESTARTS = 10


class JournalBusyError(JournalError):
    """The log was compacted during each of several reads; retry later."""

    def __init__(self, shard: str) -> None:
        super().__init__(f"shard {shard}: compacted during {MAX_RESTARTS} reads")
        self.shard = shard


class SnapshotMissingError(JournalError):
    """Chunks of the snapshot that the head points to are missing."""

    def __init__(self, shard: str, snapshot: str) -> None:
        super().__init__(f"shard {shard}: snapshot {snapshot} has missing chunks")
        self.shard = shard
        self.snapshot = snapshot


class EntryLostError(JournalError):
    """An entry was overwritten before it was read."""

    def __init__(self, shard: str, index: int) -> None:
        super().__init__(f"shard {shard}: entry {index} overwritten before it was read")
        self.shard = shard
        self.index = index


class VersionedHead(NamedTuple):
    """A head with its revision in the store."""

    head: ShardHead
    revision: int


class ReplayedShard(NamedTuple):
    """Result of a read-only replay."""

    state: ShardState
    head: ShardHead
    #: Index of the last entry that was applied.
    index: int


async def read_heads(store: Store) -> dict[str, ShardHead]:
    """Return the head of every shard that was ever led, with one list call.

    Raises StoreError and JournalFormatError.
    """
    return decode_heads(await store.list(HEADS_PREFIX))


def decode_heads(snapshot: Snapshot) -> dict[str, ShardHead]:
    """Return the heads by shard, from a list result of HEADS_PREFIX."""
    return {
        item.key.removeprefix(HEADS_PREFIX): decode_head(item.key, item.value)
        for item in snapshot.items
    }


async def replay_shard(store: Store, shard: str) -> ReplayedShard | None:
    """Return a shard's state without a takeover, or None if it was never led.

    The state is a consistent one from some point during the call. Raises StoreError,
    JournalFormatError, and JournalBusyError under unusually fast compaction.
    """
    layout = JournalLayout(shard)
    for _ in range(MAX_RESTARTS):
        current = await read_head(store, layout)
        if current is None:
            return None
        replay = JournalReplay(store, layout, current.head)
        try:
            await replay.load_snapshot()
            await replay.read_log()
        except (SnapshotMissingError, EntryLostError):
            continue
        return ReplayedShard(replay.state, current.head, replay.index)
    raise JournalBusyError(shard)


async def read_head(store: Store, layout: JournalLayout) -> VersionedHead | None:
    """Return the head of one shard, or None if the shard was never led."""
    item = await store.get(layout.head_key)
    if item is None:
        return None
    return VersionedHead(decode_head(item.key, item.value), item.revision)


class JournalReplay:
    """Rebuilds a shard's state from its snapshot and the log entries after it."""

    def __init__(self, store: Store, layout: JournalLayout, head: ShardHead) -> None:
        self.state = ShardState()
        #: Index of the last entry that was read.
        self.index = head.covered
        #: Index of the last entry whose batch is complete and applied.
        self.applied = head.covered
        #: Total size of the entries that were read.
        self.log_bytes = 0
        #: Revision of each chunk in the store, of any snapshot.
        self.chunk_revisions: dict[str, int] = {}
        #: Revision of each ring slot that was read.
        self.slot_revisions: dict[int, int] = {}
        self._store = store
        self._layout = layout
        self._head = head
        self._open_batch: list[Event] = []
        self._open_epoch = 0

    async def load_snapshot(self) -> None:
        """Apply the snapshot that the head points to.

        Raises SnapshotMissingError if it was superseded and deleted meanwhile.
        """
        pointer = self._head.snapshot
        listed = await self._store.list(self._layout.snapshots_prefix)
        self.chunk_revisions = {item.key: item.revision for item in listed.items}
        if pointer is None:
            return
        chunks = {item.key: item.value for item in listed.items}
        for number in range(pointer.chunks):
            key = self._layout.chunk_key(pointer.snapshot, number)
            if key not in chunks:
                raise SnapshotMissingError(self._layout.shard, pointer.snapshot)
            chunk = decode_chunk(key, chunks[key])
            self.state.epoch = chunk.epoch
            self.state.lead = chunk.lead
            self.state.records.update(chunk.records)

    async def read_log(self) -> None:
        """Apply the entries after ``index`` up to the end of the log.

        Raises EntryLostError if the log was compacted meanwhile.
        """
        while True:
            slot = (self.index + 1) % self._head.ring_slots
            prefix = self._layout.segment_prefix(slot)
            listed = await self._store.list(prefix)
            if not self._apply_segment({item.key: item for item in listed.items}):
                return

    def apply_entry(self, item: KeyValue) -> bool:
        """Apply an entry and return True if it is the next one; else return False.

        Raises EntryLostError if the slot already holds a later one.
        """
        entry = decode_entry(item.key, item.value)
        slot = (self.index + 1) % self._head.ring_slots
        self.slot_revisions[slot] = item.revision
        if entry.index > self.index + 1:
            raise EntryLostError(self._layout.shard, self.index + 1)
        if entry.index <= self.index:
            return False
        self._apply(item, entry)
        return True

    def adopt_own_entry(
        self, index: int, revision: int, events: list[Event], size_bytes: int
    ) -> None:
        """Apply an entry that the reading lead itself appended to the log."""
        self.slot_revisions[index % self._head.ring_slots] = revision
        self._open_batch = []
        self.state.apply_all(events)
        self.index = index
        self.applied = index
        self.log_bytes += size_bytes

    def _apply_segment(self, items: dict[str, KeyValue]) -> bool:
        """Apply a segment; return whether the log may continue in the next one."""
        ring_slots = self._head.ring_slots
        first_slot = (self.index + 1) % ring_slots
        prefix = self._layout.segment_prefix(first_slot)
        slot = first_slot
        while self._layout.segment_prefix(slot) == prefix and slot >= first_slot:
            item = items.get(self._layout.slot_key(slot))
            if item is None:
                self.slot_revisions[slot] = ABSENT
                return False
            if not self.apply_entry(item):
                return False
            slot = (self.index + 1) % ring_slots
        return True

    def _apply(self, item: KeyValue, entry: Entry) -> None:
        if entry.epoch < self.state.epoch:
            raise JournalFormatError(
                item.key, f"epoch {entry.epoch} follows a later epoch"
            )
        if entry.epoch != self._open_epoch:
            # The previous lead stopped within a batch, which stays incomplete.
            self._open_batch = []
        self._open_epoch = entry.epoch
        self._open_batch += decode_events(item.key, entry)
        self.index = entry.index
        self.log_bytes += len(item.value)
        if entry.more:
            return
        self.state.apply_all(self._open_batch)
        self._open_batch = []
        self.applied = entry.index
