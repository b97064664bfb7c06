"""Claims of a shard, stored in the shard's head."""

from __future__ import annotations

import random
from collections.abc import Callable

from savorylead.store import (
    ABSENT,
    KeyValue,
    RetryPolicy,
    Store,
    StoreError,
    SwapConflict,
    Swapped,
)

from ._codec import (
    JOURNAL_FORMAT,
    ShardHead,
    SnapshotPointer,
    decode_head,
    encode_head,
)
from ._journal import DeposedError
from ._layout import JournalLayout

#: Attempts at a claim before the store's error is raised.
CLAIM_ATTEMPTS = 3


class HeadWriter:
    """Raises the epoch, and updates the head until another lead claims it."""

    def __init__(
        self,
        store: Store,
        layout: JournalLayout,
        rng: random.Random,
        retry: RetryPolicy,
    ) -> None:
        #: The head as this lead last read or wrote it.
        self.head = ShardHead(JOURNAL_FORMAT, 0, "", "", 0)
        self._revision = ABSENT
        self._claim = ""
        self._store = store
        self._layout = layout
        self._rng = rng
        self._retry = retry

    async def claim(self, lead: str, ring_slots: int) -> None:
        """Raise the epoch and record ``lead`` as the lead.

        ``ring_slots`` is used only if the shard was never led. Raises StoreError, or
        DeposedError if another lead claimed the shard concurrently.
        """
        self._claim = f"{self._rng.getrandbits(64):016x}"
        backoff = self._retry.begin()
        previous_epoch: int | None = None
        while True:
            try:
                self._load(await self._store.get(self._layout.head_key), ring_slots)
                if self.head.claim == self._claim:
                    return
                if previous_epoch is not None and self.head.epoch != previous_epoch:
                    raise DeposedError(self._layout.shard, previous_epoch + 1)
                previous_epoch = self.head.epoch
                if await self._try_claim(lead):
                    return
            except StoreError:
                if backoff.failures + 1 == CLAIM_ATTEMPTS:
                    raise
                await backoff.wait()

    async def move_snapshot(self, pointer: SnapshotPointer) -> None:
        """Set the snapshot pointer; raises DeposedError."""
        await self._change(lambda head: head._replace(snapshot=pointer))

    async def release(self) -> None:
        """Clear the lead's name; raises DeposedError."""
        await self._change(lambda head: head._replace(lead=""))

    async def _try_claim(self, lead: str) -> bool:
        new_head = self.head._replace(
            epoch=self.head.epoch + 1, lead=lead, claim=self._claim
        )
        result = await self._swap(new_head)
        if isinstance(result, SwapConflict):
            return False
        self.head = new_head
        self._revision = result.revision
        return True

    async def _change(self, change: Callable[[ShardHead], ShardHead]) -> None:
        backoff = self._retry.begin()
        while True:
            new_head = change(self.head)
            try:
                result = await self._swap(new_head)
                if not isinstance(result, SwapConflict):
                    self.head = new_head
                    self._revision = result.revision
                    return
                current = result.current
            except StoreError:
                await backoff.wait()
                current = await self._read_back()
            if not self._is_ours(current):
                raise DeposedError(self._layout.shard, new_head.epoch)
            self._load(current, self.head.ring_slots)
            if self.head == new_head:
                return

    async def _swap(self, new_head: ShardHead) -> Swapped | SwapConflict:
        return await self._store.swap(
            self._layout.head_key, encode_head(new_head), self._revision
        )

    async def _read_back(self) -> KeyValue | None:
        backoff = self._retry.begin()
        while True:
            try:
                return await self._store.get(self._layout.head_key)
            except StoreError:
                await backoff.wait()

    def _is_ours(self, item: KeyValue | None) -> bool:
        return bool(item and decode_head(item.key, item.value).claim == self._claim)

    def _load(self, item: KeyValue | None, ring_slots: int) -> None:
        if item is None:
            self.head = ShardHead(JOURNAL_FORMAT, 0, "", "", ring_slots)
            self._revision = ABSENT
            return
        self.head = decode_head(item.key, item.value)
        self._revision = item.revision
