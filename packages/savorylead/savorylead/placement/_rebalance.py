"""Chooses batch tasks to checkpoint in favour of teams below their fair share."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from itertools import islice
from typing import NamedTuple

from savorylead.resources import Resources

from ._rules import AnyRunning

#: Deviation from the fair share that is tolerated, as a fraction of the fleet.
SHARE_TOLERANCE = 0.005
#: Largest fraction of a team's excess that is freed between two digests. The usage in
#: digests still includes tasks being checkpointed, so freeing all would overshoot.
MAX_EXCESS_PART_PER_DIGEST = 0.5
#: Interval between two checks of the shares.
REBALANCE_CHECK_MS = 1_000
#: Maximum number of tasks that one check checkpoints in one shard.
MAX_REBALANCE_TASKS = 16
#: Maximum number of tasks of one team that one check considers, most recently started
#: first.
MAX_REBALANCE_CANDIDATES = 64


class TeamUsage(NamedTuple):
    """A team's weight and usage, as known to one shard."""

    name: str
    weight: float
    #: Usage in the whole fleet, without tasks being checkpointed in this shard.
    used: Resources
    #: Usage of tasks being checkpointed in this shard, which is still allocated.
    stopping: Resources
    #: Whether a task waits in this shard that grant and preset allow to start.
    has_startable_task: bool


class ShareBalancer:
    """Bounds how much a shard checkpoints to enforce fair shares.

    Each shard frees only a part of a team's excess, in proportion to its own capacity,
    so shards that act on the same digest together free at most the excess.
    """

    def __init__(self) -> None:
        #: Share of the fleet freed by this shard since the last digest, by team.
        self._freed: dict[str, float] = {}

    def start_digest(self) -> None:
        """Start a new accounting period, as the usage in other shards was updated."""
        self._freed.clear()

    def allowances(
        self, teams: Sequence[TeamUsage], fleet: Resources, own: Resources
    ) -> list[tuple[str, float]]:
        """Return teams above their share, and the part of the fleet each may lose here.

        The team furthest above its share comes first. The result is empty if no team
        with a startable task is below its share.
        """
        shares = {team.name: team.used.dominant_share(fleet) for team in teams}
        active = [
            team for team in teams if team.has_startable_task or shares[team.name] > 0
        ]
        weights = sum(team.weight for team in active)
        if weights <= 0:
            return []
        total_share = sum(
            team.used.plus(team.stopping).dominant_share(fleet) for team in teams
        )
        distance = {
            team.name: shares[team.name] - team.weight / weights * total_share
            for team in active
        }
        deficit = sum(
            -distance[team.name]
            for team in active
            if team.has_startable_task and distance[team.name] < -SHARE_TOLERANCE
        )
        part = MAX_EXCESS_PART_PER_DIGEST * own.dominant_share(fleet)
        above = sorted(
            (-excess, name)
            for name, excess in distance.items()
            if excess > SHARE_TOLERANCE
        )
        found = []
        for negative_excess, name in above:
            allowance = min(-negative_excess, deficit) * part - self._freed.get(
                name, 0.0
            )
            if allowance > 0:
                found.append((name, allowance))
        return found

    def count_checkpoint(self, team: str, part: float) -> None:
        """Count the checkpoint of a task against the team's allowance."""
        self._freed[team] = self._freed.get(team, 0.0) + part


def choose_victims(
    balancer: ShareBalancer,
    allowances: Sequence[tuple[str, float]],
    running: Callable[[str], Iterable[AnyRunning]],
    fleet: Resources,
) -> list[AnyRunning]:
    """Return tasks to checkpoint; ``running`` yields a team's tasks, latest first."""
    chosen: list[AnyRunning] = []
    for name, allowance in allowances:
        for entry in islice(running(name), MAX_REBALANCE_CANDIDATES):
            if len(chosen) == MAX_REBALANCE_TASKS:
                return chosen
            part = entry.task.spec.resources.dominant_share(fleet)
            if part <= allowance:
                allowance -= part
                balancer.count_checkpoint(name, part)
                chosen.append(entry)
    return chosen
