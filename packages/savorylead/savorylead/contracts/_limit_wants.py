"""Unmet demand of shards, published so that others release unused grants."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.resources import Resources
from savorylead.store import ABSENT, KeyValue, Snapshot, Store, SwapConflict

from ._limit_record import (
    WANTS_PREFIX,
    Want,
    decode_want,
    encode_want,
    team_and_shard,
    want_key,
)

#: A want that was not refreshed for this long is ignored: its shard has no lead, or
#: the lead cannot reach the store.
WANT_TTL_MS = 45_000
#: Minimum time between two writes of a want when its amount changes.
MIN_WANT_INTERVAL_MS = 4_000
#: Interval at which an unchanged want is written again.
WANT_REFRESH_MS = 15_000


class _OtherWant(NamedTuple):
    """A want of another shard and when this lead first read that revision."""

    want: Want
    revision: int
    first_read_at_ms: int


class _OwnWant(NamedTuple):
    """The want of this shard as last written."""

    amount: Resources
    revision: int
    written_at_ms: int


class PublishedWants:
    """Reads the wants of all shards and writes those of one shard.

    Wants only affect which shard releases grants, and when. A wrong or late want
    delays work but cannot break a limit, so a failed write is not retried before
    the next refresh.
    """

    def __init__(self, store: Store, shard: str, epoch: int) -> None:
        self._store = store
        self._shard = shard
        self._epoch = epoch
        self._other_wants: dict[str, dict[str, _OtherWant]] = {}
        self._own_wants: dict[str, _OwnWant] = {}

    async def read(self, now_ms: int) -> None:
        """Read the wants of all teams with one call; raises StoreError."""
        self.adopt(await self._store.list(WANTS_PREFIX), now_ms)

    def adopt(self, snapshot: Snapshot, now_ms: int) -> None:
        """Replace the known wants by those of one read."""
        wants: dict[str, dict[str, _OtherWant]] = {}
        for item in snapshot.items:
            team, shard = team_and_shard(item.key)
            if shard == self._shard:
                self._adopt_own(team, item)
                continue
            known = self._other_wants.get(team, {}).get(shard)
            if known is None or known.revision != item.revision:
                known = _OtherWant(decode_want(item.value), item.revision, now_ms)
            wants.setdefault(team, {})[shard] = known
        self._other_wants = wants

    def others(self, team: str, now_ms: int) -> dict[str, Want]:
        """Return the unexpired wants of other shards, by shard."""
        return {
            shard: other.want
            for shard, other in self._other_wants.get(team, {}).items()
            if now_ms - other.first_read_at_ms < WANT_TTL_MS
        }

    def is_due(self, team: str, amount: Resources, now_ms: int) -> bool:
        """Return whether this shard's want should be written or deleted now."""
        own = self._own_wants.get(team)
        if own is None:
            return any(amount)
        age_ms = now_ms - own.written_at_ms
        if age_ms < MIN_WANT_INTERVAL_MS:
            return False
        if age_ms >= WANT_REFRESH_MS or not any(amount):
            return True
        return any(
            new > 2 * old or 2 * new < old
            for new, old in zip(amount, own.amount, strict=True)
        )

    async def write(
        self, team: str, amount: Resources, since_ms: int, now_ms: int
    ) -> None:
        """Write ``amount``, which this shard requests of the team's limit.

        Deletes the shard's record if the amount is zero. Raises StoreError.
        """
        own = self._own_wants.get(team)
        expected = ABSENT if own is None else own.revision
        value = None
        if any(amount):
            value = encode_want(Want(amount, since_ms, self._epoch))
        reply = await self._store.swap(want_key(team, self._shard), value, expected)
        if isinstance(reply, SwapConflict):
            self._adopt_conflict(team, reply.current)
        elif value is None:
            self._own_wants.pop(team, None)
        else:
            self._own_wants[team] = _OwnWant(amount, reply.revision, now_ms)

    def _adopt_conflict(self, team: str, current: KeyValue | None) -> None:
        if current is None:
            self._own_wants.pop(team, None)
        else:
            self._adopt_own(team, current)

    def _adopt_own(self, team: str, item: KeyValue) -> None:
        own = self._own_wants.get(team)
        if own is None or item.revision > own.revision:
            # Written by an earlier lead, or by a write without a reply: due at once.
            amount = decode_want(item.value).amount
            self._own_wants[team] = _OwnWant(amount, item.revision, -WANT_REFRESH_MS)
