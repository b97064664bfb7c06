"""How much running batch work should make room for teams below their share."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from itertools import islice
from typing import NamedTuple

from savorylead.resources import Resources

from ._rules import AnyRunning

#: Distance from the fair share, in fleets, that starts nothing.
SLACK = 0.005
#: Part of the excess that goes at most between two digests. The use that digests tell
#: still counts tasks that are being checkpointed, so taking all of it would overshoot.
PART_A_DIGEST = 0.5
#: Pause between two looks at the shares.
REBALANCE_CHECK_MS = 1_000
#: Most tasks that one look checkpoints in one shard.
REBALANCE_TASKS = 16
#: Most tasks of one team that one look considers, the latest started first.
REBALANCE_CANDIDATES = 64


class TeamUse(NamedTuple):
    """One team as a shard sees it."""

    name: str
    weight: float
    #: What it uses of the whole fleet, without what is being checkpointed here.
    used: Resources
    #: What is being checkpointed here, which is still held.
    stopping: Resources
    #: Whether a task waits here that its grant and the preset would let start.
    waits: bool


class ShareBalancer:
    """Bounds what a shard checkpoints for shares.

    Each shard frees only its own part of a team's excess, so that shards which act on
    the same digest together free no more than the excess.
    """

    def __init__(self) -> None:
        #: What this shard freed of each team since the last digest, in fleets.
        self._freed: dict[str, float] = {}

    def digest_came(self) -> None:
        """Note that the use in the other shards is known anew."""
        self._freed.clear()

    def allowances(
        self, teams: Sequence[TeamUse], fleet: Resources, own: Resources
    ) -> list[tuple[str, float]]:
        """Return the teams above their share and what each may lose here, in fleets.

        The team that is furthest above comes first. Empty if no team that waits is
        below its share.
        """
        shares = {team.name: team.used.dominant_share(fleet) for team in teams}
        active = [team for team in teams if team.waits or shares[team.name] > 0]
        weights = sum(team.weight for team in active)
        if weights <= 0:
            return []
        whole = sum(
            team.used.plus(team.stopping).dominant_share(fleet) for team in teams
        )
        distance = {
            team.name: shares[team.name] - team.weight / weights * whole
            for team in active
        }
        missing = sum(
            -distance[team.name]
            for team in active
            if team.waits and distance[team.name] < -SLACK
        )
        part = PART_A_DIGEST * own.dominant_share(fleet)
        above = sorted((-away, name) for name, away in distance.items() if away > SLACK)
        found = []
        for negative, name in above:
            allowance = min(-negative, missing) * part - self._freed.get(name, 0.0)
            if allowance > 0:
                found.append((name, allowance))
        return found

    def freed(self, team: str, part: float) -> None:
        """Note that a task of the team is being checkpointed."""
        self._freed[team] = self._freed.get(team, 0.0) + part


def choose_victims(
    balancer: ShareBalancer,
    allowances: Sequence[tuple[str, float]],
    running: Callable[[str], Iterable[AnyRunning]],
    fleet: Resources,
) -> list[AnyRunning]:
    """Return what to checkpoint; ``running`` gives a team's tasks, latest first."""
    chosen: list[AnyRunning] = []
    for name, allowance in allowances:
        for entry in islice(running(name), REBALANCE_CANDIDATES):
            if len(chosen) == REBALANCE_TASKS:
                return chosen
            part = entry.task.spec.resources.dominant_share(fleet)
            if part <= allowance:
                allowance -= part
                balancer.freed(name, part)
                chosen.append(entry)
    return chosen
