"""Deliberately broken upper limits without escrow: each shard uses all of a limit."""

from __future__ import annotations

from collections.abc import Mapping

from savorylead.contracts import GrantHolder, TeamLimits
from savorylead.resources import ZERO, Resources


class UnsharedTeamLimits(TeamLimits):
    """Grants every shard the full limit, which the checkers must catch."""

    def __init__(self, holder: GrantHolder) -> None:
        self._holder = holder
        self._limits: Mapping[str, Resources] = {}

    def set_limits(self, config_revision: int, limits: Mapping[str, Resources]) -> None:
        """Use the limits of a configuration."""
        self._limits = dict(limits)
        for team, limit in limits.items():
            self._holder.grant_changed(team, limit)

    def set_demand(self, team: str, wanted: Resources) -> None:
        """Ignore the demand."""

    def grant(self, team: str) -> Resources:
        """Return the full limit."""
        return self._limits.get(team, ZERO)

    def excess(self, team: str) -> Resources:
        """Return zero."""
        return ZERO

    async def step(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
