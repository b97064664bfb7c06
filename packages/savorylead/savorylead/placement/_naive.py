"""The reference planner, which scans all workers and tasks for each decision."""

from __future__ import annotations

from collections.abc import Collection, Hashable, Iterable

from savorylead.contracts import TaskId
from savorylead.outcomes import Refusal
from savorylead.resources import ZERO
from savorylead.workers import WorkerState

from . import _rebalance as rebalance, _rules as rules
from ._naive_reservations import NaiveReservations
from ._naive_state import QueuedTask, RunningTask, total
from ._planner import Decision, Overflow, PendingTask, Place, Preempt, Reject


class NaivePlanner(NaiveReservations):
    """Applies the rules without any index; the reference for other planners."""

    def __init__(self) -> None:
        super().__init__()
        self._placements = 0
        self._overflowed_ms: dict[TaskId, int] = {}
        self._overflow_check_ms = 0
        self._rebalance_check_ms = 0

    def place_now(self, tasks: Collection[PendingTask], now_ms: int) -> list[Decision]:
        """Decide on tasks on arrival; those without a decision are queued."""
        arrivals = {task.spec.id for task in tasks}
        for task in tasks:
            self.add_pending(task)
        self._refresh_reservations(now_ms)
        decisions = [
            *self._reject_late(now_ms, arrivals),
            *self._overflow_impossible(now_ms),
        ]
        reserved = self._reserved_start(now_ms)
        self._commit(reserved, now_ms)
        decisions.extend(reserved)
        while True:
            chosen = self._next_start(now_ms)
            if arrivals.isdisjoint(rules.subject(decision) for decision in chosen):
                return decisions
            self._commit(chosen, now_ms)
            decisions.extend(chosen)

    def plan(self, now_ms: int, max_decisions: int) -> list[Decision]:
        """Decide on queued tasks in the order of starts."""
        self._refresh_reservations(now_ms)
        late = self._reject_late(now_ms, self._pending)
        decisions = [*late, *self._overflow_impossible(now_ms)]
        reserved = self._reserved_start(now_ms)
        self._commit(reserved, now_ms)
        decisions.extend(reserved)
        while len(decisions) < max_decisions:
            chosen = self._next_start(now_ms)
            if not chosen:
                decisions.extend(self._overflow_waiting(now_ms))
                decisions.extend(self._rebalance(now_ms))
                break
            self._commit(chosen, now_ms)
            decisions.extend(chosen)
        return decisions

    # -- rejections and overflow to other shards

    def _reject_late(self, now_ms: int, among: Iterable[TaskId]) -> list[Decision]:
        late = set()
        for task_id in among:
            queued = self._pending.get(task_id)
            if queued and 0 < queued.task.spec.start_by_ms < now_ms:
                late.add(rules.unit_of(queued.task))
        members = [q for q in self._in_order() if rules.unit_of(q.task) in late]
        for queued in members:
            self.remove(queued.task.spec.id)
        return [Reject(q.task.spec.id, Refusal.DEADLINE_PASSED) for q in members]

    def _overflow_impossible(self, now_ms: int) -> list[Decision]:
        """Overflow tasks that fit on no worker here, each at most once a minute."""
        if not self._workers:
            return []
        impossible = set()
        for queued in self._pending.values():
            if not self.ever_fits(queued.task.spec):
                impossible.add(rules.unit_of(queued.task))
        for queued in self._pending.values():
            if self._overflowed_recently(queued.task.spec.id, now_ms):
                impossible.discard(rules.unit_of(queued.task))
        members = [q for q in self._in_order() if rules.unit_of(q.task) in impossible]
        return self._overflow([queued.task for queued in members], now_ms)

    def _overflowed_recently(self, task_id: TaskId, now_ms: int) -> bool:
        sent_ms = self._overflowed_ms.get(task_id)
        return sent_ms is not None and now_ms - sent_ms < rules.OVERFLOW_RETRY_MS

    def _overflow(self, tasks: list[PendingTask], now_ms: int) -> list[Decision]:
        for task in tasks:
            self.remove(task.spec.id)
            self._overflowed_ms[task.spec.id] = now_ms
        return [Overflow(task.spec.id) for task in tasks]

    def _overflow_waiting(self, now_ms: int) -> list[Decision]:
        """Overflow tasks that waited too long, as far as other shards have capacity."""
        if now_ms < self._overflow_check_ms:
            return []
        self._overflow_check_ms = now_ms + rules.OVERFLOW_CHECK_MS
        free = self._fleet.minus(self._capacity()).minus(
            total(list(self._elsewhere.values()))
        )
        if not any(free):
            return []
        chosen: list[PendingTask] = []
        units = 0
        seen_classes: set[Hashable] = set()
        for queued in self._in_order():
            spec = queued.task.spec
            limit = rules.URGENT_OVERFLOW_MS if spec.urgent else rules.OVERFLOW_MS
            class_key = (spec.id.team, rules.equivalence_class(queued.task))
            if class_key in seen_classes:
                continue
            seen_classes.add(class_key)
            if now_ms - queued.queued_at_ms < limit or spec.id in self._claims:
                continue
            members = self._members(queued.task)
            need = rules.total_need(members)
            if any(self._overflowed_recently(m.spec.id, now_ms) for m in members):
                continue
            if not members or not need.fits(free):
                continue
            if units == rules.MAX_OVERFLOWS:
                break
            units += 1
            free = free.minus(need)
            chosen.extend(members)
        return self._overflow(chosen, now_ms)

    # -- starts

    def _next_start(self, now_ms: int) -> list[Decision]:
        """Return the next start, of a task or a whole job; empty if there is none."""
        claimed = self._claimed_start()
        if claimed:
            return claimed
        for urgent in (True, False):
            chosen = self._aged_start(now_ms) if not urgent else []
            chosen = chosen or self._best_by_share(urgent, now_ms)
            if chosen:
                return chosen
            if urgent and self._policy.preemption:
                chosen = self._preemption(now_ms)
            if chosen:
                return chosen
        return []

    def _claimed_start(self) -> list[Decision]:
        for task_id, claim in sorted(self._claims.items()):
            queued = self._pending[task_id]
            need = queued.task.spec.resources
            ready = self._states.get(claim.worker) is WorkerState.READY
            if not ready or not self._admitted([queued.task]):
                continue
            if need.fits(self._free(claim.worker)):
                return [Place(task_id, claim.worker)]
        return []

    def _aged_start(self, now_ms: int) -> list[Decision]:
        """Return decisions that start the longest waiting task or job that can start.

        Only tasks that are not urgent and have waited for the ageing time count. Empty
        unless this is one of every AGEING_INTERVAL placements.
        """
        if self._placements % rules.AGEING_INTERVAL != rules.AGEING_INTERVAL - 1:
            return []
        limit_ms = now_ms - int(self._policy.ageing_s * 1000)
        aged = [q for q in self._in_order() if q.queued_at_ms <= limit_ms]
        return self._first_start([q for q in aged if not q.task.spec.urgent], now_ms)

    def _best_by_share(self, urgent: bool, now_ms: int) -> list[Decision]:
        for team in self._teams():
            queue = [
                queued
                for queued in self._in_order()
                if queued.task.spec.id.team == team
                and queued.task.spec.urgent is urgent
            ]
            chosen = self._first_start(queue, now_ms)
            if chosen:
                return chosen
        return []

    def _first_start(self, queue: list[QueuedTask], now_ms: int) -> list[Decision]:
        seen_classes: set[Hashable] = set()
        for queued in queue:
            task = queued.task
            class_key = (task.spec.id.team, rules.equivalence_class(task))
            if class_key in seen_classes:
                continue
            seen_classes.add(class_key)
            members = self._members(task)
            chosen = self._start_of(members, now_ms) if self._admitted(members) else []
            if chosen:
                return chosen
        return []

    def _preemption(self, now_ms: int) -> list[Decision]:
        """Return the preemptions for the first urgent task without a claim."""
        if len(self._claims) >= rules.MAX_CLAIMS:
            return []
        for team in self._teams():
            seen_classes: set[Hashable] = set()
            for queued in self._in_order():
                task = queued.task
                spec = task.spec
                if spec.id.team != team or not spec.urgent or rules.is_gang(task):
                    continue
                class_key = rules.equivalence_class(task)
                if spec.id in self._claims or class_key in seen_classes:
                    continue
                seen_classes.add(class_key)
                victims = self._victims(task) if self._admitted([task]) else []
                if victims:
                    return [Preempt(v.task.spec.id, v.worker, spec.id) for v in victims]
        return []

    def _rebalance(self, now_ms: int) -> list[Decision]:
        """Checkpoint tasks of teams above their share in favour of teams below it."""
        if not self._policy.rebalance or now_ms < self._rebalance_check_ms:
            return []
        self._rebalance_check_ms = now_ms + rebalance.REBALANCE_CHECK_MS
        startable: dict[str, TaskId] = {}
        for queued in self._in_order():
            task = queued.task
            if task.spec.urgent or rules.is_gang(task):
                continue
            if self._admitted([task]):
                startable.setdefault(task.spec.id.team, task.spec.id)
        usages = [
            self._usage(name, name in startable) for name in sorted(self._weights)
        ]
        allowances = self._balancer.allowances(usages, self._fleet, self._capacity())
        teams_by_share = [name for name in self._teams() if name in startable]
        victims = rebalance.choose_victims(
            self._balancer, allowances, self._checkpointable, self._fleet
        )
        for victim in victims:
            self._stopping.add(victim.task.spec.id)
        return [
            Preempt(v.task.spec.id, v.worker, startable[teams_by_share[0]])
            for v in victims
        ]

    def _usage(self, team: str, waits: bool) -> rebalance.TeamUsage:
        stopping = [
            self._running[task_id].task.spec.resources
            for task_id in self._stopping
            if task_id.team == team
        ]
        used = self.held_by_team(team).plus(self._elsewhere.get(team, ZERO))
        stopping_total = total(stopping)
        used = used.minus(stopping_total)
        return rebalance.TeamUsage(
            team, self._weights[team], used, stopping_total, waits
        )

    def _checkpointable(self, team: str) -> list[RunningTask]:
        found = [
            running
            for running in self._running.values()
            if running.task.spec.id.team == team
            and running.task.spec.id not in self._stopping
            and rules.is_preemptible(running.task)
            and self._states.get(running.worker) is WorkerState.READY
        ]
        return sorted(found, key=lambda running: -running.number)

    def _commit(self, chosen: list[Decision], now_ms: int) -> None:
        for decision in chosen:
            if isinstance(decision, Place):
                queued = self._pending.pop(decision.task)
                self._claims.pop(decision.task, None)
                self.add_running(queued.task, decision.worker, now_ms)
                self._placements += 1
            elif isinstance(decision, Preempt):
                self._stopping.add(decision.task)
                until_ms = now_ms + int(self._policy.reservation_s * 1000)
                need = self._pending[decision.beneficiary].task.spec.resources
                claim = rules.Claim(decision.worker, need, until_ms)
                self._claims[decision.beneficiary] = claim

    def _teams(self) -> list[str]:
        """Return teams with pending tasks, the one furthest below its share first."""
        names = {queued.task.spec.id.team for queued in self._pending.values()}
        return sorted(names, key=lambda name: (self._share(name), name))

    def _share(self, team: str) -> float:
        elsewhere = self._elsewhere.get(team, ZERO)
        used = self.held_by_team(team).plus(elsewhere)
        return rules.weighted_share(used, self._fleet, self._weights.get(team, 0.0))
