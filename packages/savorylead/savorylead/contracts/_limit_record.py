"""The store's records of upper limits, and the arithmetic on them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from savorylead.resources import ZERO, Resources
from savorylead.store import Store

from ._team_limits import UNLIMITED

#: Below it, one key per team holds its LimitRecord.
LIMITS_PREFIX = "limits/"
#: Below it, one key per team and shard holds a Want while that is not met.
WANTS_PREFIX = "limit-wants/"


class ShardGrant(NamedTuple):
    """What one shard may hold for the team, until that shard writes otherwise."""

    granted: Resources
    #: Epoch of the lead that wrote last; a lower one must not write again.
    epoch: int
    #: Configuration revision of the limit for which idle grants were given back.
    trimmed_revision: int = 0


class LimitRecord(NamedTuple):
    """One team's limit in force and how it is divided among the shards.

    The sum of the grants is at most the limit in every dimension, except after
    the limit was lowered: then no grant grows until it is so again.
    """

    limit: Resources = ZERO
    #: Configuration revision from which the limit was taken.
    config_revision: int = 0
    #: By shard.
    grants: dict[str, ShardGrant] = {}
    #: While a lowered limit is not in force: what each shard shrinks to.
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
        """Return what no shard holds; negative where a lowered limit is exceeded."""
        total = self.granted_sum()
        return Resources(
            *(
                UNLIMITED if limit >= UNLIMITED else limit - taken
                for limit, taken in zip(self.limit, total, strict=True)
            )
        )

    def fully_in_force(self) -> bool:
        """Return whether the grants fit the limit, so that it cannot be exceeded."""
        return min(self.free()) >= 0

    def with_limit(self, limit: Resources, config_revision: int) -> LimitRecord:
        """Return the record with a limit of a newer configuration."""
        return self._replace(
            limit=limit, config_revision=config_revision, allotments={}
        )

    def with_grant(self, shard: str, grant: ShardGrant) -> LimitRecord:
        """Return the record with another grant of one shard."""
        return self._replace(grants={**self.grants, shard: grant})

    def settled(self, may_allot: bool) -> LimitRecord:
        """Return the record with its allotments brought up to date.

        They are fixed once, when every shard has given back what it left idle, or
        when ``may_allot`` says that it was waited long enough for that.
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
    """What a shard was refused and still asks for."""

    amount: Resources
    #: Unix time in milliseconds since which it is refused; orders the shards.
    since_ms: int
    #: Epoch of the lead that wrote it.
    epoch: int


def resources_sum(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of all amounts."""
    total = ZERO
    for amount in amounts:
        total = total.plus(amount)
    return total


def lesser(one: Resources, other: Resources) -> Resources:
    """Return the smaller amount in every dimension."""
    return Resources(*map(min, one, other))


def greater(one: Resources, other: Resources) -> Resources:
    """Return the larger amount in every dimension."""
    return Resources(*map(max, one, other))


def divide_limit(
    limit: Resources, grants: Mapping[str, ShardGrant]
) -> dict[str, Resources]:
    """Return allotments in proportion to the grants; their sum fits ``limit``."""
    capped = {shard: lesser(grant.granted, limit) for shard, grant in grants.items()}
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
    """Return the team and the shard that a Want's key names."""
    team, _, shard = key.removeprefix(WANTS_PREFIX).rpartition("/")
    return team, shard


async def read_limit_records(store: Store) -> dict[str, LimitRecord]:
    """Return the records of all teams, by team, as operators are shown them.

    A changed limit is in force once its team's record shows it as ``limit`` and
    ``fully_in_force`` is true. Raises StoreError.
    """
    snapshot = await store.list(LIMITS_PREFIX)
    return {
        item.key.removeprefix(LIMITS_PREFIX): decode_limit_record(item.value)
        for item in snapshot.items
    }


def encode_limit_record(record: LimitRecord) -> bytes:
    """Return the record as the store keeps it; unlimited amounts take two bytes."""
    return _encode(_mapped(record, _packed))


def decode_limit_record(value: bytes) -> LimitRecord:
    """Return the record that the store keeps as ``value``."""
    return _mapped(_decode_limit_record(value), _unpacked)


def encode_want(want: Want) -> bytes:
    """Return the want as the store keeps it."""
    return _encode(want)


decode_want = msgspec.json.Decoder(Want).decode

#: Stands for UNLIMITED in the store: most amounts of most records are without limit.
_UNLIMITED_MARK = -1

_encode = msgspec.json.Encoder().encode
_decode_limit_record = msgspec.json.Decoder(LimitRecord).decode


def _mapped(
    record: LimitRecord, change: Callable[[Resources], Resources]
) -> LimitRecord:
    """Return the record with all its amounts changed."""
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


def _packed(amounts: Resources) -> Resources:
    return Resources(*(_UNLIMITED_MARK if a == UNLIMITED else a for a in amounts))


def _unpacked(amounts: Resources) -> Resources:
    return Resources(*(UNLIMITED if a == _UNLIMITED_MARK else a for a in amounts))
