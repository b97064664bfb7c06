"""One team's upper limit as one shard's lead holds it."""

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
    encode_limit_record,
    greater,
    lesser,
    limit_key,
)


class EscrowedLimit:
    """Holds a part of a team's limit for one shard, at one epoch of its lead.

    ``usable`` is what may be held at this moment. It rises only after the store
    has confirmed a write, and sinks before a smaller grant is sent. A write whose
    reply is missing may land late; until a newer revision of the record has been
    seen, which proves that it landed or never can, the smaller of both amounts
    counts. An object that has not yet written its own epoch into the record lets
    nothing start, because an earlier lead may still give grants back.
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
        #: Smallest grant among writes that may still land.
        self._unresolved: Resources | None = None
        #: The record as last seen.
        self.record = LimitRecord()
        #: The limit of the newest configuration that the lead knows.
        self.limit = ZERO
        #: Revision of that configuration; 0 before any was told.
        self.config_revision = 0
        #: What the shard may hold now.
        self.usable = ZERO
        #: Whether a call to the store is under way.
        self.busy = False
        #: Whether the outcome of the last write is not known.
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
        """What the record grants at least, whatever becomes of missing replies."""
        granted = self.record.granted(self._shard)
        if self._unresolved is None:
            return granted
        return lesser(granted, self._unresolved)

    @property
    def base(self) -> Resources:
        """What a write made now starts from: it excludes all earlier ones."""
        return self.assured if self.claimed else self.record.granted(self._shard)

    def current_record(self) -> LimitRecord:
        """Return the record under the newest limit that the lead knows."""
        if not self._limit_is_newer():
            return self.record
        return self.record.with_limit(self.limit, self.config_revision)

    def set_limit(self, config_revision: int, limit: Resources) -> None:
        """Use the limit of a newer configuration with the next write."""
        if config_revision > self.config_revision:
            self.config_revision = config_revision
            self.limit = limit

    def set_cap(self, cap: Resources) -> None:
        """Start nothing above ``cap``, although the grant may be higher."""
        self._cap = cap
        self._update_usable()

    def adopt(self, item: KeyValue | None) -> None:
        """Take over the record as read, unless a newer one was seen already."""
        if item is None or item.revision <= self._revision:
            return
        self._set_known(decode_limit_record(item.value), item.revision)

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

        ``settle`` says that it was waited long enough for shards that have not
        yet answered to a lowered limit. Returns False after a conflict, whose
        record is then adopted. Raises StoreError, after which the write may have
        taken effect or may do so later.
        """
        if self.deposed:
            return False
        record = self._proposal(choice.target, held, settle)
        expected = self._revision
        if self.claimed:
            granted = record.granted(self._shard)
            self._unresolved = lesser(self.assured, granted)
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
            self._set_known(record, reply.revision)
        return True

    def _limit_is_newer(self) -> bool:
        known = self.record.config_revision
        return self.config_revision > known and self.limit != self.record.limit

    def _proposal(
        self, target: Resources, held: Resources, settle: bool
    ) -> LimitRecord:
        record = self.current_record()
        granted = record.granted(self._shard)
        room = greater(record.free(), ZERO)
        target = lesser(target, granted.plus(room))
        target = greater(target, lesser(held, self.base))
        if self._shard not in record.grants:
            # Nothing can be held without a grant, unless the shard is a part of a
            # former one. What runs is then recorded, so that no other takes it.
            target = greater(target, held)
        grant = ShardGrant(target, self._epoch, record.config_revision)
        return record.with_grant(self._shard, grant).settled(settle)

    def _adopt_conflict(self, current: KeyValue | None, expected: int) -> None:
        if current is not None:
            self.adopt(current)
        elif self._revision == expected:
            self._set_known(LimitRecord(), ABSENT)

    def _set_known(self, record: LimitRecord, revision: int) -> None:
        self.record = record
        self._revision = revision
        self._unresolved = None
        self._update_usable()

    def _update_usable(self) -> None:
        usable = self.assured if self.claimed else ZERO
        if self._cap is not None:
            usable = lesser(usable, self._cap)
        if usable != self.usable:
            self.usable = usable
            self._on_usable(usable)
