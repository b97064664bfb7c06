"""Writing snapshots of a shard, and deleting superseded ones."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from savorylead.contracts import TaskId
from savorylead.store import ABSENT, RetryPolicy, Store, StoreError, SwapConflict

from ._codec import SnapshotPointer, encode_chunk, encode_record
from ._head_writer import HeadWriter
from ._layout import JournalLayout
from ._state import ShardState, TaskRecord


class SnapshotCut(NamedTuple):
    """A shard's records after one log entry; the records are never changed."""

    covered: int
    epoch: int
    lead: str
    records: dict[TaskId, TaskRecord]

    @classmethod
    def of(cls, state: ShardState, covered: int) -> SnapshotCut:
        """Return the records as they are now."""
        return cls(covered, state.epoch, state.lead, dict(state.records))


class SnapshotWriter:
    """Writes chunks one after the other, moves the pointer, then deletes.

    Chunks are encoded one at a time, so that appends go on in between.
    """

    def __init__(
        self,
        store: Store,
        layout: JournalLayout,
        head: HeadWriter,
        retry: RetryPolicy,
        chunk_bytes: int,
    ) -> None:
        #: Bytes written in chunks, for metrics.
        self.written_bytes = 0
        #: Revisions of chunks that no pointer needs any more.
        self._garbage: dict[str, int] = {}
        #: Revisions of the chunks that the pointer needs.
        self._live: dict[str, int] = {}
        self._store = store
        self._layout = layout
        self._head = head
        self._retry = retry
        self._chunk_bytes = chunk_bytes

    def adopt(self, chunk_revisions: dict[str, int]) -> None:
        """Take over the chunks that earlier leads left, finished or not.

        Those that the pointer does not need are deleted only after this lead has
        moved the pointer. It can then have no successor yet, so none of the chunks
        that it read before is a successor's.
        """
        pointer = self._head.head.snapshot
        current = pointer.snapshot if pointer else ""
        for key, revision in chunk_revisions.items():
            if self._layout.snapshot_of(key) == current:
                self._live[key] = revision
            else:
                self._garbage[key] = revision

    async def write(self, cut: SnapshotCut) -> SnapshotPointer:
        """Make the cut durable and point to it; raises DeposedError.

        Store errors are retried until the lead is deposed or this is cancelled.
        """
        epoch = self._head.head.epoch
        snapshot = f"{epoch:010d}-{cut.covered:014d}"
        revisions: dict[str, int] = {}
        size_bytes = 0
        for number, chunk in enumerate(self._chunks(cut)):
            key = self._layout.chunk_key(snapshot, number)
            revisions[key] = await self._put(key, chunk)
            size_bytes += len(chunk)
        pointer = SnapshotPointer(snapshot, len(revisions), cut.covered, size_bytes)
        await self._head.move_snapshot(pointer)
        self._garbage |= self._live
        self._live = revisions
        return pointer

    async def collect(self) -> None:
        """Delete superseded chunks; what the store refuses is left for next time."""
        for key, revision in list(self._garbage.items()):
            try:
                await self._store.swap(key, None, revision)
            except StoreError:
                return
            del self._garbage[key]

    def _chunks(self, cut: SnapshotCut) -> Iterator[bytes]:
        records: list[bytes] = []
        size = 0
        for task, record in cut.records.items():
            encoded = encode_record(task, record)
            if records and size + len(encoded) > self._chunk_bytes:
                yield encode_chunk(cut.epoch, cut.lead, records)
                records = []
                size = 0
            records.append(encoded)
            size += len(encoded) + 1
        yield encode_chunk(cut.epoch, cut.lead, records)

    async def _put(self, key: str, chunk: bytes) -> int:
        pauses = self._retry.begin()
        while True:
            try:
                result = await self._store.swap(key, chunk, ABSENT)
            except StoreError:
                await pauses.wait()
                continue
            self.written_bytes += len(chunk)
            # The key names this lead's epoch: a chunk that lies there is ours,
            # written by a call whose reply was lost.
            if isinstance(result, SwapConflict):
                return result.current.revision if result.current else ABSENT
            return result.revision
