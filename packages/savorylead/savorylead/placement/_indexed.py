"""The indexed planner: makes the naive planner's decisions without full scans."""

from __future__ import annotations

from collections.abc import Collection

from . import _rules as rules
from ._amounts import fits, plus
from ._indexed_overflow import IndexedOverflow
from ._indexed_teams import Lane, TaskClass, Team
from ._planner import Decision, PendingTask, Place, Preempt

#: Up to this many usable shapes, the oldest class is found by shape, not by age.
FEW_SHAPES = 8


class IndexedPlanner(IndexedOverflow):
    """Decides from incremental indexes, with the same results as the naive planner."""

    def __init__(self) -> None:
        super().__init__()
        self._placements = 0
        #: Value of ``_fit_version`` when claimed starts, or preemptions, last failed.
        self._claims_failed_version = -1
        self._preemption_failed_version = -1

    def place_now(self, tasks: Collection[PendingTask], now_ms: int) -> list[Decision]:
        """Decide on tasks on arrival; those without a decision are queued."""
        arrivals = {task.spec.id for task in tasks}
        for task in tasks:
            self.add_pending(task)
        self._refresh_reservations(now_ms)
        late = [i for i in arrivals if 0 < self._start_by_ms(i) < now_ms]
        decisions = [*self._reject_late(late), *self._overflow_impossible(now_ms)]
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
        decisions: list[Decision] = []
        if self._deadlines and self._deadlines[0][0] < now_ms:
            late = self._late(now_ms)
            decisions.extend(self._reject_late(late))
        decisions.extend(self._overflow_impossible(now_ms))
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

    def _next_start(self, now_ms: int) -> list[Decision]:
        """Return decisions that start the next task or whole job.

        If no urgent task can start, they may preempt tasks for one. Empty if nothing
        can be started or preempted.
        """
        if self._claims and self._claims_failed_version != self._fit_version:
            claimed = self._claimed_start()
            if claimed:
                return claimed
            self._claims_failed_version = self._fit_version
        if self._urgent_count:
            chosen = self._urgent_start(now_ms)
            if chosen:
                return chosen
        if self._placements % rules.AGEING_INTERVAL == rules.AGEING_INTERVAL - 1:
            chosen = self._aged_start(now_ms)
            if chosen:
                return chosen
        mask = self._open_mask(now_ms)
        for _, _, team in self._order.current():
            if team.normal.mask & mask:
                chosen = self._first_start(team, team.normal, mask, now_ms)
                if chosen:
                    return chosen
                mask = self._open_mask(now_ms)
        return []

    def _open_mask(self, now_ms: int) -> int:
        """Return the bits of the shapes that may fit on some worker.

        Includes those that may fit only on reserved workers, as backfill.
        """
        mask = self._open.mask()
        if self._reservation is not None and self._backfills(now_ms):
            mask |= self._open_reserved.mask() & self._shapes.short_mask
        return mask

    def _claimed_start(self) -> list[Decision]:
        for task_id, claim in sorted(self._claims.items()):
            queued_at_ms, number, cls = self._pending[task_id]
            task = cls.queue[cls.position(queued_at_ms, number)][2]
            row = self._rows[claim.worker]
            free = plus(row.room, claim.need)
            enough = fits(task.spec.resources, free)
            if enough and self._admitted(task, task.spec.resources):
                return [Place(task_id, claim.worker)]
        return []

    def _urgent_start(self, now_ms: int) -> list[Decision]:
        mask = self._open_mask(now_ms)
        for _, _, team in self._order.current():
            if team.urgent.mask & mask:
                chosen = self._first_start(team, team.urgent, mask, now_ms)
                if chosen:
                    return chosen
                mask = self._open_mask(now_ms)
        if not self._policy.preemption or len(self._claims) >= rules.MAX_CLAIMS:
            return []
        if self._preemption_failed_version == self._fit_version:
            return []
        for _, _, team in self._order.current():
            for _, _, task in self._unclaimed(team.urgent):
                chosen = self._preemptions_for(task)
                if chosen:
                    return chosen
        self._preemption_failed_version = self._fit_version
        return []

    def _unclaimed(self, lane: Lane) -> list[tuple[int, int, PendingTask]]:
        """Return the oldest task without a claim of each class, oldest first."""
        found = []
        for _, _, _, cls in lane.entries:
            if cls.is_gang:
                continue
            for entry in cls.queue:
                if entry[2].spec.id not in self._claims:
                    found.append(entry)
                    break
        found.sort()
        return found

    def _aged_start(self, now_ms: int) -> list[Decision]:
        """Return the start of the longest waiting task, regardless of shares."""
        mask = self._open_mask(now_ms)
        limit_ms = now_ms - int(self._policy.ageing_s * 1000)
        aged: list[tuple[int, int, int, TaskClass]] = []
        for _, _, team in self._order.current():
            usable = self._usable(team, team.normal, mask)
            if not usable:
                continue
            for entry in team.normal.entries:
                if entry[0] > limit_ms:
                    break
                if entry[2] & usable:
                    aged.append(entry)
        aged.sort(key=lambda entry: entry[:2])
        for _, _, bit, cls in aged:
            if bit & mask:
                chosen = self._try(cls, now_ms)
                if chosen:
                    return chosen
                mask = self._open_mask(now_ms)
        return []

    def _usable(self, team: Team, lane: Lane, mask: int) -> int:
        """Return the bits of the lane's shapes that may fit on a worker and the grant.

        ``mask`` has the shapes that may fit on a worker. They must also fit in the
        unused part of the team's grant.
        """
        usable = lane.mask & mask
        if usable:
            if team.grant_stale:
                self._refresh_grant_left(team)
            usable &= team.grant_mask
        return usable

    def _first_start(
        self, team: Team, lane: Lane, mask: int, now_ms: int
    ) -> list[Decision]:
        """Return the start of the oldest task of the lane that can start."""
        usable = self._usable(team, lane, mask)
        while usable:
            if usable.bit_count() <= FEW_SHAPES:
                cls = lane.oldest_by_shape(usable)
            else:
                cls = lane.oldest_by_scan(usable)
            chosen = self._try(cls, now_ms)
            if chosen:
                return chosen
            usable &= self._open_mask(now_ms)
            if usable & cls.shape.bit:
                return self._first_by_age(lane, usable, now_ms)
        return []

    def _first_by_age(self, lane: Lane, usable: int, now_ms: int) -> list[Decision]:
        """Try all classes by age; some cannot start although their shapes may fit."""
        for _, _, bit, cls in lane.entries:
            if bit & usable:
                chosen = self._try(cls, now_ms)
                if chosen:
                    return chosen
                usable &= self._open_mask(now_ms)
        return []

    def _try(self, cls: TaskClass, now_ms: int) -> list[Decision]:
        """Return decisions that start the class's oldest task, or its whole job.

        Empty if it can't start.
        """
        if cls.is_gang:
            return self._try_job(cls, now_ms)
        if cls.is_batch and not self._policy.admit_batch:
            return []
        task = cls.queue[0][2]
        if not self._admitted(task, task.spec.resources):
            return []
        worker = self._search(task, cls, now_ms)
        return [Place(task.spec.id, worker)] if worker is not None else []

    def _try_job(self, cls: TaskClass, now_ms: int) -> list[Decision]:
        if cls.failed_version == self._fit_version:
            return []
        short = cls.cores_milli > self._index.free_cores_milli
        if short and not self._backfills(now_ms):
            cls.failed_version = self._fit_version
            return []
        members = self._members(cls)
        need = rules.total_need(members)
        chosen: list[Decision] = []
        if members and self._admitted(members[0], need):
            chosen = self._place_all(members, rules.unit_of(members[0]), now_ms)
        if not chosen:
            cls.failed_version = self._fit_version
        return chosen

    def _commit(self, chosen: list[Decision], now_ms: int) -> None:
        for decision in chosen:
            if isinstance(decision, Place):
                task = self._unqueue(decision.task)
                if decision.task in self._claims:
                    self._drop_claim(decision.task)
                self._hold(task, self._rows[decision.worker], now_ms)
                self._placements += 1
            elif isinstance(decision, Preempt):
                self._mark_stopping(decision.task)
        if chosen and isinstance(chosen[0], Preempt):
            self._claim_worker(chosen[0], now_ms)

    def _claim_worker(self, preempt: Preempt, now_ms: int) -> None:
        queued_at_ms, number, cls = self._pending[preempt.beneficiary]
        task = cls.queue[cls.position(queued_at_ms, number)][2]
        until_ms = now_ms + int(self._policy.reservation_s * 1000)
        claim = rules.Claim(preempt.worker, task.spec.resources, until_ms)
        self._claim(preempt.beneficiary, claim)
