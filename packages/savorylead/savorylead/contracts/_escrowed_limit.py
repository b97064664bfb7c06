"""The part of one team's upper limit that is granted to one shard."""

from __future__ import annotations

from collections.abc import Callable

from savorylead.resources import ZERO, Resources
from savorylead.store import (
    ABSENT,
    KeyValue,
    Store,
    StoreError,
    SwapConflict,
)

from ._limit_policy import GrantChoice
from ._limit_record import (
    LimitRecord,
    ShardGrant,
    decode_limit_record,
    elementwise_max,
    elementwise_min,
    encode_limit_record,
    limit_key,
)


class EscrowedLimit:
    """Manages the grant of one shard for one team, at one epoch of its lead.

    ``usable`` is the amount that the team may hold in the shard now. It increases
    only after the store has confirmed a write, and decreases before a smaller grant
    is sent. A write without a reply may still take effect; until a newer revision
    of the record has been read, which proves that the write was applied or never
    can be, the smaller of both amounts counts. Until this epoch is written into the
    record, ``usable`` is zero, because an earlier lead may still reduce the grant.
    """

    def __init__(
        self,
        store: Store,
        team: str,
        shard: str,
        epoch: int,
        on_usable: Callable[[Resources], None],
    ) -> None:
        self._store = store
        self._key = limit_key(team)
        self._shard = shard
        self._epoch = epoch
        self._on_usable = on_usable
        self._revision = ABSENT
        self._cap: Resources | None = None
        #: Smallest grant among writes that may still take effect.
        self._min_unresolved_grant: Resources | None = None
        #: The record as last read or written.
        self.record = LimitRecord()
        #: The limit in the newest known configuration.
        self.limit = ZERO
        #: Revision of that configuration; 0 before the first.
        self.config_revision = 0
        #: The amount that the team may hold in the shard now.
        self.usable = ZERO
        #: Whether a call to the store is in flight.
        self.busy = False
        #: Whether the outcome of the last write is unknown.
        self.in_doubt = False

    @property
    def claimed(self) -> bool:
        """Whether the shard's grant in the record carries this lead's epoch."""
        return self.record.epoch(self._shard) == self._epoch

    @property
    def deposed(self) -> bool:
        """Whether a later lead of the shard has claimed the grant."""
        return self.record.epoch(self._shard) > self._epoch

    @property
    def assured(self) -> Resources:
        """The minimum grant, whatever the outcome of writes without a reply."""
        granted = self.record.granted(self._shard)
        if self._min_unresolved_grant is None:
            return granted
        return elementwise_min(granted, self._min_unresolved_grant)

    @property
    def base(self) -> Resources:
        """The grant that the next write is based on.

        That write fails if any earlier write takes effect before it.
        """
        return self.assured if self.claimed else self.record.granted(self._shard)

    def current_record(self) -> LimitRecord:
        """Return the record with the newest known limit."""
        if not self._limit_is_newer():
            return self.record
        return self.record.with_limit(self.limit, self.config_revision)

    def set_limit(self, config_revision: int, limit: Resources) -> None:
        """Set the limit that the next write uses; older revisions are ignored."""
        if config_revision > self.config_revision:
            self.config_revision = config_revision
            self.limit = limit

    def set_cap(self, cap: Resources) -> None:
        """Bound ``usable`` by ``cap``, although the grant may be higher."""
        self._cap = cap
        self._update_usable()

    def adopt(self, item: KeyValue | None) -> None:
        """Adopt the record as read, unless a newer revision is known."""
        if item is None or item.revision <= self._revision:
            return
        self._set_record(decode_limit_record(item.value), item.revision)

    async def refresh(self) -> None:
        """Read the record; raises StoreError."""
        self.busy = True
        try:
            self.adopt(await self._store.get(self._key))
            self.in_doubt = False
        finally:
            self.busy = False

    async def write(self, choice: GrantChoice, held: Resources, settle: bool) -> bool:
        """Write the chosen grant; return whether the store confirmed it.

        ``settle`` allows the lowered limit to be divided although some shards have
        not yet released their unused grants. After a conflict the conflicting record
        is adopted and False is returned. Raises StoreError, after which the write
        may have taken effect or may do so later.
        """
        if self.deposed:
            return False
        record = self._proposed_record(choice.target, held, settle)
        expected = self._revision
        if self.claimed:
            granted = record.granted(self._shard)
            self._min_unresolved_grant = elementwise_min(self.assured, granted)
        self.set_cap(choice.cap)
        self.busy = True
        try:
            reply = await self._store.swap(
                self._key, encode_limit_record(record), expected
            )
        except StoreError:
            self.in_doubt = True
            raise
        finally:
            self.busy = False
        self.in_doubt = False
        if isinstance(reply, SwapConflict):
            self._adopt_conflict(reply.current, expected)
            return False
        if reply.revision > self._revision:
            self._set_record(record, reply.revision)
        return True

    def _limit_is_newer(self) -> bool:
        known = self.record.config_revision
        return self.config_revision > known and self.limit != self.record.limit

    def _proposed_record(
        self, target: Resources, held: Resources, settle: bool
    ) -> LimitRecord:
        record = self.current_record()
        granted = record.granted(self._shard)
        free = elementwise_max(record.free(), ZERO)
        target = elementwise_min(target, granted.plus(free))
        target = elementwise_max(target, elementwise_min(held, self.base))
        if self._shard not in record.grants:
            # A shard without a grant holds something only if it was split from a
            # former shard. The amount held is recorded, so that no other shard
            # takes it.
            target = elementwise_max(target, held)
        grant = ShardGrant(target, self._epoch, record.config_revision)
        return record.with_grant(self._shard, grant).with_allotments(settle)

    def _adopt_conflict(self, current: KeyValue | None, expected: int) -> None:
        if current is not None:
            self.adopt(current)
        elif self._revision == expected:
            self._set_record(LimitRecord(), ABSENT)

    def _set_record(self, record: LimitRecord, revision: int) -> None:
        self.record = record
        self._revision = revision
        self._min_unresolved_grant = None
        self._update_usable()

    def _update_usable(self) -> None:
        usable = self.assured if self.claimed else ZERO
        if self._cap is not None:
            usable = elementwise_min(usable, self._cap)
        if usable != self.usable:
            self.usable = usable
            self._on_usable(usable)
