"""Keys of a shard's journal in the store."""

from __future__ import annotations

#: Prefix of the heads, one per shard, so that one list call reads them all.
HEADS_PREFIX = "journal/heads/"
#: Number of slots that a reader fetches with one list call.
SEGMENT_SLOTS = 32


class JournalLayout:
    """The keys of one shard's journal."""

    def __init__(self, shard: str) -> None:
        self.shard = shard
        #: Epoch, lead and snapshot pointer.
        self.head_key = f"{HEADS_PREFIX}{shard}"
        #: Prefix of all snapshot chunks, including those of incomplete snapshots.
        self.snapshots_prefix = f"journal/snapshots/{shard}/"

    def segment_prefix(self, slot: int) -> str:
        """Return the prefix of the segment that contains the slot."""
        return f"journal/log/{self.shard}/{slot // SEGMENT_SLOTS:04d}/"

    def slot_key(self, slot: int) -> str:
        """Return the key of a slot of the ring."""
        return f"{self.segment_prefix(slot)}{slot:06d}"

    def chunk_key(self, snapshot: str, chunk: int) -> str:
        """Return the key of one chunk of a snapshot."""
        return f"{self.snapshots_prefix}{snapshot}/{chunk:04d}"

    def snapshot_of(self, chunk_key: str) -> str:
        """Return the id of the snapshot that a chunk belongs to."""
        return chunk_key.removeprefix(self.snapshots_prefix).split("/")[0]
