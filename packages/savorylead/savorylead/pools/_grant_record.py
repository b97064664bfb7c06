"""The stored record of the parts of the teams' limits."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple, TypeVar

import msgspec

from savorylead.resources import ZERO, Resources

from ._limit_claims import LimitClaim

#: Earlier versions keep the parts of teams that they do not know, but reject records
#: with further fields. Claims are therefore stored as parts of a team with this prefix,
#: which no team's name begins with.
CLAIMS_PREFIX = "\0claims/"

_Value = TypeVar("_Value")


class Part(NamedTuple):
    """One pool's grant and demand under one team's limit."""

    granted: tuple[int, ...]
    #: Demand: resources of running and waiting tasks, capped at the limit.
    wanted: tuple[int, ...]


NO_PART = Part(tuple(ZERO), tuple(ZERO))


class GrantRecord(NamedTuple):
    """The stored record of grants and claims, by team, then by pool."""

    parts: Mapping[str, Mapping[str, Part]] = {}
    claims: Mapping[str, Mapping[str, LimitClaim]] = {}


class _StoredGrants(NamedTuple):
    """The record as it is stored."""

    parts: Mapping[str, Mapping[str, Part]] = {}


def encode_grants(record: GrantRecord) -> bytes:
    """Return the record as JSON."""
    claims = {
        CLAIMS_PREFIX + team: {
            pool: Part(tuple(claim.needed), (claim.ticket, claim.turn_ms))
            for pool, claim in by_pool.items()
        }
        for team, by_pool in record.claims.items()
        if by_pool
    }
    return msgspec.json.encode(_StoredGrants({**record.parts, **claims}))


def decode_grants(value: bytes) -> GrantRecord:
    """Return the record; raises msgspec.DecodeError."""
    stored = msgspec.json.decode(value, type=_StoredGrants)
    parts: dict[str, Mapping[str, Part]] = {}
    claims: dict[str, Mapping[str, LimitClaim]] = {}
    for team, pools in stored.parts.items():
        if team.startswith(CLAIMS_PREFIX):
            claims[team.removeprefix(CLAIMS_PREFIX)] = {
                pool: LimitClaim(Resources(*part.granted), *part.wanted)
                for pool, part in pools.items()
            }
        else:
            parts[team] = pools
    return GrantRecord(parts, claims)


def without_pools(
    by_team: Mapping[str, Mapping[str, _Value]], pools: Collection[str]
) -> dict[str, dict[str, _Value]]:
    """Return a copy without the entries of some pools."""
    return {
        team: {pool: value for pool, value in values.items() if pool not in pools}
        for team, values in by_team.items()
    }


def has_same_entries(one: GrantRecord, other: GrantRecord) -> bool:
    """Return whether two records have the same entries."""
    return all(
        a.get(team, {}) == b.get(team, {})
        for a, b in zip(one, other, strict=True)
        for team in a.keys() | b.keys()
    )
