"""Enforcement of fair shares by the indexed planner."""

from __future__ import annotations

from collections.abc import Iterator

from savorylead.contracts import TaskId
from savorylead.resources import ZERO, Resources
from savorylead.workers import WorkerState

from . import _rebalance as rebalance, _rules as rules
from ._amounts import plus
from ._indexed_reservations import IndexedReservations
from ._indexed_rows import RunningEntry
from ._indexed_teams import Team
from ._planner import Decision, Preempt


class IndexedBalancing(IndexedReservations):
    """Checkpoints batch tasks of teams above their share, at most once a second."""

    def __init__(self) -> None:
        super().__init__()
        self._rebalance_check_ms = 0
        #: Teams whose weight was set.
        self._weighted_teams: set[str] = set()

    def set_share(self, team: str, weight: float) -> None:
        """Set the weight of the team's share of a full fleet; 0 removes the team."""
        super().set_share(team, weight)
        self._weighted_teams.add(team)

    def _rebalance(self, now_ms: int) -> list[Decision]:
        """Checkpoint tasks of teams above their share in favour of teams below it."""
        if not self._policy.rebalance or now_ms < self._rebalance_check_ms:
            return []
        self._rebalance_check_ms = now_ms + rebalance.REBALANCE_CHECK_MS
        usages = self._usages()
        fleet = self._order.fleet
        allowances = self._balancer.allowances(usages, fleet, self._capacity)
        victims = rebalance.choose_victims(
            self._balancer, allowances, self._checkpointable, fleet
        )
        if not victims:
            return []
        beneficiary = self._next_startable()
        for victim in victims:
            self._mark_stopping(victim.task.spec.id)
        return [Preempt(v.task.spec.id, v.row.name, beneficiary) for v in victims]

    def _usages(self) -> list[rebalance.TeamUsage]:
        stopping = dict.fromkeys(self._weighted_teams, ZERO)
        for task_id in self._stopping:
            need = self._running[task_id].task.spec.resources
            if task_id.team in stopping:
                stopping[task_id.team] = stopping[task_id.team].plus(need)
        return [
            self._usage(self._teams[name], stopping[name])
            for name in sorted(self._weighted_teams)
        ]

    def _usage(self, team: Team, stopping: Resources) -> rebalance.TeamUsage:
        used = Resources(*plus(team.held, team.elsewhere)).minus(stopping)
        waits = self._startable(team) is not None
        return rebalance.TeamUsage(team.name, team.weight, used, stopping, waits)

    def _startable(self, team: Team) -> TaskId | None:
        """Return the oldest pending task that grant and preset allow to start."""
        for _, _, _, cls in team.normal.entries:
            task = cls.queue[0][2]
            if not cls.is_gang and self._admitted(task, task.spec.resources):
                return task.spec.id
        return None

    def _next_startable(self) -> TaskId:
        """Return the startable task of the team furthest below its share."""
        for _, _, team in self._order.current():
            task_id = self._startable(team)
            if task_id is not None:
                return task_id
        raise LookupError

    def _checkpointable(self, name: str) -> Iterator[RunningEntry]:
        for task_id, entry in reversed(self._teams[name].running.items()):
            if task_id in self._stopping or not rules.is_preemptible(entry.task):
                continue
            if entry.row.state is WorkerState.READY:
                yield entry
