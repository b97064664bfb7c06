"""Keeps the teams of a shard within their escrowed grants."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from savorylead.contracts import UNLIMITED_RESOURCES, GrantHolder, TeamLimits
from savorylead.placement import Planner
from savorylead.resources import Resources

from ._dispatcher import TaskDispatcher
from ._parts import CellPolicy


class TeamLimitManager(GrantHolder):
    """Reports demand to the escrow, and applies grants to the planner."""

    def __init__(
        self,
        open_limits: Callable[[GrantHolder], TeamLimits],
        planner: Planner,
        dispatcher: TaskDispatcher,
        free: Callable[[], Resources],
        plan_soon: Callable[[], None],
    ) -> None:
        """``free`` returns the unallocated capacity of the shard's workers."""
        self._planner = planner
        self._dispatcher = dispatcher
        self._free = free
        self._plan_soon = plan_soon
        #: Unallocated capacity of the workers at the last step.
        self._free_at_step = UNLIMITED_RESOURCES
        self._teams: tuple[str, ...] = ()
        self._stepping = False
        self._limits = open_limits(self)

    def apply_policy(self, policy: CellPolicy) -> None:
        """Apply the upper limits of a configuration."""
        self._teams = tuple(sorted(policy.shares))
        self._limits.set_limits(policy.revision, policy.limits)
        for team in self._teams:
            self._planner.set_grant(team, self._limits.grant(team))

    def granted(self, team: str) -> Resources:
        """Return the team's current grant in this shard."""
        return self._limits.grant(team)

    def report_demand(self, teams: set[str]) -> None:
        """Report the total resources that the pending tasks of teams request."""
        for team in sorted(teams):
            self._limits.set_demand(team, self._planner.wanted_by_team(team))

    def step(self) -> None:
        """Report demand, checkpoint tasks above a lowered limit, and run the escrow."""
        self._free_at_step = self._free()
        self.report_demand(set(self._teams))
        for team in self._teams:
            excess = self._limits.excess(team)
            if any(excess):
                self._dispatcher.checkpoint_excess(team, excess)
        if not self._stepping:
            self._stepping = True
            step = Deferred.fromCoroutine(self._limits.step())
            step.addBoth(self._after_step)

    def close(self) -> None:
        """Stop writing to the escrow."""
        self._limits.close()

    def held(self, team: str) -> Resources:
        """Return the resources that the team's tasks hold in the shard."""
        return self._planner.held_by_team(team)

    def free_capacity(self) -> Resources:
        """Return the unallocated capacity of the workers at the last step."""
        return self._free_at_step

    def grant_changed(self, team: str, grant: Resources) -> None:
        """Apply a new grant."""
        self._planner.set_grant(team, grant)
        self._plan_soon()

    def _after_step(self, result: object) -> object:
        self._stepping = False
        return result
