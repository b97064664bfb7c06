"""Records of upper limits in the store, and arithmetic on them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from savorylead.resources import ZERO, Resources
from savorylead.store import Store

from ._team_limits import UNLIMITED

#: Prefix of the keys that hold one LimitRecord per team.
LIMITS_PREFIX = "limits/"
#: Prefix of the keys that hold one Want per team and shard while demand is unmet.
WANTS_PREFIX = "limit-wants/"


class ShardGrant(NamedTuple):
    """The amount that one shard may hold for the team, until that shard changes it."""

    granted: Resources
    #: Epoch of the last lead that wrote the grant; lower epochs must not write it.
    epoch: int
    #: Configuration revision of the limit for which unused grants were released.
    trimmed_revision: int = 0


class LimitRecord(NamedTuple):
    """One team's limit in force and how it is divided among the shards.

    The sum of the grants is at most the limit in every dimension, except after
    the limit was lowered: then no grant grows until the sum fits the limit again.
    """

    limit: Resources = ZERO
    #: Configuration revision from which the limit was taken.
    config_revision: int = 0
    #: By shard.
    grants: dict[str, ShardGrant] = {}
    #: Amounts to which the shards shrink while a lowered limit is not in force.
    allotments: dict[str, Resources] = {}

    def granted_sum(self) -> Resources:
        """Return the sum of all grants."""
        return resources_sum(grant.granted for grant in self.grants.values())

    def granted(self, shard: str) -> Resources:
        """Return the shard's grant."""
        grant = self.grants.get(shard)
        return ZERO if grant is None else grant.granted

    def epoch(self, shard: str) -> int:
        """Return the epoch of the lead that wrote the shard's grant; 0 for none."""
        grant = self.grants.get(shard)
        return 0 if grant is None else grant.epoch

    def free(self) -> Resources:
        """Return the limit less all grants; negative where the limit is exceeded."""
        total = self.granted_sum()
        return Resources(
            *(
                UNLIMITED if limit >= UNLIMITED else limit - taken
                for limit, taken in zip(self.limit, total, strict=True)
            )
        )

    def fully_in_force(self) -> bool:
        """Return whether the sum of the grants fits the limit."""
        return min(self.free()) >= 0

    def with_limit(self, limit: Resources, config_revision: int) -> LimitRecord:
        """Return the record with a limit of a newer configuration."""
        return self._replace(
            limit=limit, config_revision=config_revision, allotments={}
        )

    def with_grant(self, shard: str, grant: ShardGrant) -> LimitRecord:
        """Return the record with another grant of one shard."""
        return self._replace(grants={**self.grants, shard: grant})

    def with_allotments(self, may_allot: bool) -> LimitRecord:
        """Return the record with up-to-date allotments.

        They are computed once per lowered limit: when every shard has released its
        unused grants, or earlier if ``may_allot`` is true.
        """
        if self.fully_in_force():
            return self._replace(allotments={})
        if self.allotments:
            return self
        trimmed = all(
            grant.trimmed_revision >= self.config_revision
            for grant in self.grants.values()
        )
        if not trimmed and not may_allot:
            return self
        return self._replace(allotments=divide_limit(self.limit, self.grants))


class Want(NamedTuple):
    """The amount that a shard requests of one team's limit: its unmet demand.

    Stored so that other shards release unused grants.
    """

    amount: Resources
    #: Unix time in milliseconds since which it is unmet; older wants go first.
    since_ms: int
    #: Epoch of the lead that wrote it.
    epoch: int


def resources_sum(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of all amounts."""
    total = ZERO
    for amount in amounts:
        total = total.plus(amount)
    return total


def elementwise_min(one: Resources, other: Resources) -> Resources:
    """Return the minimum in every dimension."""
    return Resources(*map(min, one, other))


def elementwise_max(one: Resources, other: Resources) -> Resources:
    """Return the maximum in every dimension."""
    return Resources(*map(max, one, other))


def divide_limit(
    limit: Resources, grants: Mapping[str, ShardGrant]
) -> dict[str, Resources]:
    """Return allotments in proportion to the grants; their sum fits ``limit``."""
    capped = {
        shard: elementwise_min(grant.granted, limit) for shard, grant in grants.items()
    }
    total = resources_sum(capped.values())
    return {
        shard: Resources(
            *(
                amount
                if whole <= bound or bound >= UNLIMITED
                else amount * bound // whole
                for amount, whole, bound in zip(granted, total, limit, strict=True)
            )
        )
        for shard, granted in capped.items()
    }


def limit_key(team: str) -> str:
    """Return the key of a team's LimitRecord."""
    return f"{LIMITS_PREFIX}{team}"


def want_key(team: str, shard: str) -> str:
    """Return the key of the Want of one shard for a team."""
    return f"{WANTS_PREFIX}{team}/{shard}"


def team_and_shard(key: str) -> tuple[str, str]:
    """Return the team and the shard in the key of a Want."""
    team, _, shard = key.removeprefix(WANTS_PREFIX).rpartition("/")
    return team, shard


async def read_limit_records(store: Store) -> dict[str, LimitRecord]:
    """Return the records of all teams, by team, for display to operators.

    A changed limit is in force once its team's record shows it as ``limit`` and
    ``fully_in_force`` is true. Raises StoreError.
    """
    snapshot = await store.list(LIMITS_PREFIX)
    return {
        item.key.removeprefix(LIMITS_PREFIX): decode_limit_record(item.value)
        for item in snapshot.items
    }


def encode_limit_record(record: LimitRecord) -> bytes:
    """Encode the record for the store; unlimited amounts take two bytes."""
    return _encode(_map_amounts(record, _pack))


def decode_limit_record(value: bytes) -> LimitRecord:
    """Decode a record from the store."""
    return _map_amounts(_decode_limit_record(value), _unpack)


def encode_want(want: Want) -> bytes:
    """Encode the amount that a shard requests of a team's limit, for the store."""
    return _encode(want)


decode_want = msgspec.json.Decoder(Want).decode

#: Short form of UNLIMITED in the store, where most amounts are unlimited.
_UNLIMITED_MARK = -1

_encode = msgspec.json.Encoder().encode
_decode_limit_record = msgspec.json.Decoder(LimitRecord).decode


def _map_amounts(
    record: LimitRecord, change: Callable[[Resources], Resources]
) -> LimitRecord:
    """Return the record with ``change`` applied to all amounts."""
    return record._replace(
        limit=change(record.limit),
        grants={
            shard: grant._replace(granted=change(grant.granted))
            for shard, grant in record.grants.items()
        },
        allotments={
            shard: change(amount) for shard, amount in record.allotments.items()
        },
    )


def _pack(amounts: Resources) -> Resources:
    return Resources(*(_UNLIMITED_MARK if a == UNLIMITED else a for a in amounts))


def _unpack(amounts: Resources) -> Resources:
    return Resources(*(UNLIMITED if a == _UNLIMITED_MARK else a for a in amounts))
