"""Derives the settings of leads and of the directory from the configuration."""

from __future__ import annotations

from collections.abc import Mapping

from savorylead.config import CellDocument
from savorylead.contracts import limit_from_amounts
from savorylead.domains import Shard
from savorylead.placement import Policy
from savorylead.resources import ZERO, Resources
from savorylead_daemon.lead import CellPolicy
from savorylead_daemon.peers import ShardDigest


def policy_of(document: CellDocument, revision: int) -> CellPolicy:
    """Return the policy of a lead; the preset in force sets the weights."""
    teams = document["teams"]
    return CellPolicy(
        revision=revision,
        policy=Policy(**document["presets"][document["preset"]]),
        shares={name: team["share"] for name, team in teams.items()},
        limits={name: limit_from_amounts(t["limit"]) for name, t in teams.items()},
        max_waiting={
            name: queue["max_waiting"] for name, queue in document["queues"].items()
        },
    )


def shards_of(document: CellDocument) -> list[Shard]:
    """Return the shards of a configuration, sorted by name."""
    return [
        Shard(name, shard["region"], shard["domain"], tuple(shard["racks"]))
        for name, shard in sorted(document["shards"].items())
    ]


def fleet_usage_outside(
    own_shard: str, digests: Mapping[str, ShardDigest]
) -> tuple[Resources, dict[str, Resources]]:
    """Return the fleet's capacity, and what each team holds in the other shards."""
    capacity = ZERO
    elsewhere: dict[str, Resources] = {}
    for name, digest in digests.items():
        capacity = capacity.plus(digest.capacity)
        if name == own_shard:
            continue
        for usage in digest.teams:
            held = elsewhere.get(usage.team, ZERO)
            elsewhere[usage.team] = held.plus(usage.held)
    return capacity, elsewhere
