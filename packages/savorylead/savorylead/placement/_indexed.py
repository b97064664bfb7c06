"""The indexed planner: decides as the naive one does, without scans."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from savorylead.contracts import TaskId
from savorylead.outcomes import Refusal

from . import _rules as rules
from ._amounts import fits, plus
from ._indexed_balancing import IndexedBalancing
from ._indexed_teams import Lane, TaskClass, Team
from ._planner import Decision, Overflow, PendingTask, Place, Preempt, Reject

#: Up to so many usable shapes, the oldest class is found by shape, not by age.
FEW_SHAPES = 8


class IndexedPlanner(IndexedBalancing):
    """Decides from kept indexes; equal calls give the naive planner's decisions."""

    def __init__(self) -> None:
        super().__init__()
        self._placements = 0
        self._overflowed_ms: dict[TaskId, int] = {}
        self._overflow_check_ms = 0
        #: Value of ``_growth`` at which no claim and no preemption was possible.
        self._claims_failed_at = -1
        self._preemption_failed_at = -1

    def place_now(self, tasks: Collection[PendingTask], now_ms: int) -> list[Decision]:
        """Decide on tasks on arrival; those without a decision are queued."""
        arrivals = {task.spec.id for task in tasks}
        for task in tasks:
            self.add_pending(task)
        self._keep_house(now_ms)
        late = [i for i in arrivals if 0 < self._start_by_ms(i) < now_ms]
        decisions = [*self._refuse_late(late), *self._refuse_impossible()]
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
        """Decide on queued tasks, best first."""
        self._keep_house(now_ms)
        decisions: list[Decision] = []
        if self._deadlines and self._deadlines[0][0] < now_ms:
            late = self._late(now_ms)
            decisions.extend(self._refuse_late(late))
        decisions.extend(self._refuse_impossible())
        reserved = self._reserved_start(now_ms)
        self._commit(reserved, now_ms)
        decisions.extend(reserved)
        while len(decisions) < max_decisions:
            chosen = self._next_start(now_ms)
            if not chosen:
                decisions.extend(self._send_elsewhere(now_ms))
                decisions.extend(self._rebalance(now_ms))
                break
            self._commit(chosen, now_ms)
            decisions.extend(chosen)
        return decisions

    # -- what leaves the queue without a start

    def _start_by_ms(self, task_id: TaskId) -> int:
        queued_at_ms, number, cls = self._pending[task_id]
        return cls.queue[cls.position(queued_at_ms, number)][2].spec.start_by_ms

    def _late(self, now_ms: int) -> list[TaskId]:
        late = []
        for start_by_ms, _, task_id in self._deadlines:
            if start_by_ms >= now_ms:
                break
            late.append(task_id)
        return late

    def _refuse_late(self, late: Iterable[TaskId]) -> list[Decision]:
        """Refuse tasks, each with all waiting members of its job."""
        found: dict[TaskId, tuple[int, int]] = {}
        for task_id in late:
            queued_at_ms, number, cls = self._pending[task_id]
            if cls.is_gang:
                found.update({t.spec.id: (at, n) for at, n, t in cls.queue})
            else:
                found[task_id] = (queued_at_ms, number)
        refused = sorted(found, key=found.__getitem__)
        for task_id in refused:
            self.remove(task_id)
        return [Reject(task_id, Refusal.DEADLINE_PASSED) for task_id in refused]

    def _refuse_impossible(self) -> list[Decision]:
        if not self._impossible:
            return []
        entries = sorted(entry for cls in self._impossible for entry in cls.queue)
        for _, _, task in entries:
            self.remove(task.spec.id)
        return [Overflow(task.spec.id) for _, _, task in entries]

    def _send_elsewhere(self, now_ms: int) -> list[Decision]:
        """Return tasks that waited long and for which the other shards have room."""
        if now_ms < self._overflow_check_ms:
            return []
        self._overflow_check_ms = now_ms + rules.OVERFLOW_CHECK_MS
        for task_id, at_ms in list(self._overflowed_ms.items()):
            if now_ms - at_ms >= rules.OVERFLOW_AGAIN_MS:
                del self._overflowed_ms[task_id]
        room = self._order.fleet.minus(self._capacity).minus(self._elsewhere_total)
        if min(room) < 0 or not any(room):
            return []
        entries = [
            (queued_at_ms, number, cls)
            for team in self._teams.values()
            for lane in (team.urgent, team.normal)
            for queued_at_ms, number, _, cls in lane.entries
        ]
        entries.sort(key=lambda entry: entry[:2])
        chosen: list[Decision] = []
        for queued_at_ms, _, cls in entries:
            spec = cls.queue[0][2].spec
            limit = rules.URGENT_OVERFLOW_MS if spec.urgent else rules.OVERFLOW_MS
            if cls.is_gang or now_ms - queued_at_ms < limit:
                continue
            if spec.id in self._overflowed_ms or spec.id in self._claims:
                continue
            if not spec.resources.fits(room):
                continue
            if len(chosen) == rules.MAX_OVERFLOWS:
                break
            room = room.minus(spec.resources)
            chosen.append(Overflow(spec.id))
        for decision in chosen:
            self.remove(decision.task)
            self._overflowed_ms[decision.task] = now_ms
        return chosen

    # -- what starts

    def _next_start(self, now_ms: int) -> list[Decision]:
        """Return the best start, all members of a job together, or nothing."""
        if self._claims and self._claims_failed_at != self._growth:
            claimed = self._claimed_start()
            if claimed:
                return claimed
            self._claims_failed_at = self._growth
        if self._urgent_count:
            chosen = self._urgent_start(now_ms)
            if chosen:
                return chosen
        if self._placements % rules.AGEING_TURN == rules.AGEING_TURN - 1:
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
        """Return the shapes that may find room, reserved or not."""
        mask = self._open.mask()
        if self._reservation is not None and self._backfills(now_ms):
            mask |= self._open_reserved.mask() & self._shapes.short_mask
        return mask

    def _claimed_start(self) -> list[Decision]:
        for task_id, claim in sorted(self._claims.items()):
            queued_at_ms, number, cls = self._pending[task_id]
            task = cls.queue[cls.position(queued_at_ms, number)][2]
            row = self._rows[claim.worker]
            room = plus(row.room, claim.need)
            enough = fits(task.spec.resources, room)
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
        if self._preemption_failed_at == self._growth:
            return []
        for _, _, team in self._order.current():
            for _, _, task in self._unclaimed(team.urgent):
                chosen = self._clear_room(task)
                if chosen:
                    return chosen
        self._preemption_failed_at = self._growth
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
        """Return the longest waiting start, whatever the shares."""
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
        """Return the shapes of the lane that may find room and grant."""
        usable = lane.mask & mask
        if usable:
            if team.room_stale:
                self._refresh_left(team)
            usable &= team.room_mask
        return usable

    def _first_start(
        self, team: Team, lane: Lane, mask: int, now_ms: int
    ) -> list[Decision]:
        """Return the start of the oldest task of the lane that can start."""
        usable = self._usable(team, lane, mask)
        if not usable:
            return []
        if usable.bit_count() <= FEW_SHAPES:
            oldest = lane.oldest(usable)
            if oldest is not None:
                chosen = self._try(oldest, now_ms)
                if chosen:
                    return chosen
        for _, _, bit, cls in lane.entries:
            if bit & usable:
                chosen = self._try(cls, now_ms)
                if chosen:
                    return chosen
        return []

    def _try(self, cls: TaskClass, now_ms: int) -> list[Decision]:
        """Return the start of the class's oldest task or job, if it can start."""
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
        if cls.failed_at == self._growth:
            return []
        members = self._members(cls)
        need = rules.total_need(members)
        chosen: list[Decision] = []
        if members and self._admitted(members[0], need):
            chosen = self._place_all(members, rules.unit_of(members[0]), now_ms)
        if not chosen:
            cls.failed_at = self._growth
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
                self._stop(decision.task)
        if chosen and isinstance(chosen[0], Preempt):
            self._claim_room(chosen[0], now_ms)

    def _claim_room(self, preempt: Preempt, now_ms: int) -> None:
        queued_at_ms, number, cls = self._pending[preempt.beneficiary]
        task = cls.queue[cls.position(queued_at_ms, number)][2]
        until_ms = now_ms + int(self._policy.reservation_s * 1000)
        claim = rules.Claim(preempt.worker, task.spec.resources, until_ms)
        self._claim(preempt.beneficiary, claim)
