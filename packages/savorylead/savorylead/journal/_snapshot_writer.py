"""Writer of a shard's snapshots, which also deletes superseded ones."""

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
    """A shard's records as of one log entry; the records are immutable."""

    covered: int
    epoch: int
    lead: str
    records: dict[TaskId, TaskRecord]

    @classmethod
    def of(cls, state: ShardState, covered: int) -> SnapshotCut:
        """Return a shallow copy of the current records."""
        return cls(covered, state.epoch, state.lead, dict(state.records))


class SnapshotWriter:
    """Writes the chunks in sequence, moves the pointer, then deletes old chunks.

    Chunks are encoded one at a time, so that appends continue in between.
    """

    def __init__(
        self,
        store: Store,
        layout: JournalLayout,
        head: HeadWriter,
        retry: RetryPolicy,
        chunk_bytes: int,
    ) -> None:
        #: Chunk bytes written, for metrics.
        self.written_bytes = 0
        #: Revisions of chunks that the pointer no longer references.
        self._garbage: dict[str, int] = {}
        #: Revisions of the chunks that the pointer references.
        self._live: dict[str, int] = {}
        self._store = store
        self._layout = layout
        self._head = head
        self._retry = retry
        self._chunk_bytes = chunk_bytes

    def adopt(self, chunk_revisions: dict[str, int]) -> None:
        """Register chunks of earlier leads, from complete and incomplete snapshots.

        Unreferenced chunks are deleted only after this lead has moved the pointer. That
        succeeds only while it has no successor, so none of the chunks that it read
        before belongs to a successor.
        """
        pointer = self._head.head.snapshot
        current = pointer.snapshot if pointer else ""
        for key, revision in chunk_revisions.items():
            if self._layout.snapshot_of(key) == current:
                self._live[key] = revision
            else:
                self._garbage[key] = revision

    async def write(self, cut: SnapshotCut) -> SnapshotPointer:
        """Write the snapshot and set the pointer to it; raises DeposedError.

        Retries store errors until the lead is deposed or this call is cancelled.
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

    async def delete_superseded(self) -> None:
        """Delete superseded chunks; after a store error, leave the rest for later."""
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
        backoff = self._retry.begin()
        while True:
            try:
                result = await self._store.swap(key, chunk, ABSENT)
            except StoreError:
                await backoff.wait()
                continue
            self.written_bytes += len(chunk)
            # The key contains this lead's epoch, so an existing chunk was written by
            # this lead in a call whose reply was lost.
            if isinstance(result, SwapConflict):
                return result.current.revision if result.current else ABSENT
            return result.revision
