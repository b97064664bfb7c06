"""Chooses the late tasks of which a second run starts on another worker.

Load pattern: a worker hangs, or a task stalls, while short urgent tasks run. The lead
knows the end of such a run only seconds later, several times the duration of the task.
Where the caller permits it, a copy on another worker ends long before. Only capacity
that no waiting task can use is spent, since a copy is usually not needed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from savorylead.jobs import Run, RunState, StepRun, Task
from savorylead.resources import Resources

from ._advice import AdviceBook
from ._contracts import Queue
from ._durations import DurationEstimator
from ._failures import has_failed_on
from ._planning_pass import (
    Placement,
    PlanningPass,
    could_ever_hold,
    may_place,
    suitability,
    tasks_per_worker,
)
from ._pool_worker import PoolWorker, reservation_of
from ._run_ends import MIN_PERCENT, RunEnds
from ._urgency import Urgency

#: A worker counts as silent once a call has been unanswered for this long, in
#: milliseconds. The first overdue poll is repeated at once, so a worker of which a
#: single answer was lost has answered again within a few milliseconds.
SILENT_MS = 100
#: A start order counts as unanswered after this time, in milliseconds. Answers take a
#: few milliseconds, and an order times out after 400.
START_ANSWER_MS = 300
#: A run that is being stopped is late if its end is not reported within this time, in
#: milliseconds.
STOPPING_MS = 300
#: A copy has to end earlier than the first run by this share of the task's expected
#: duration plus this time in milliseconds, since both ends are estimates.
MARGIN_SHARE = 0.25
MARGIN_MS = 200
#: A run without a usable progress is overdue once it has taken this many times its
#: expected duration, and this much longer than that, in milliseconds. Reports arrive
#: each second, so the progress of a short task is often unknown.
OVERDUE_FACTOR = 2.0
OVERDUE_MS = 600
#: An overdue run with this progress in percent is left to finish.
NEARLY_DONE_PERCENT = 75

#: Reasons for a copy, as they are logged.
SILENT = "silent"
STALLED = "stalled"
LATE = "late"


class PlannedCopy(NamedTuple):
    """A second run to start beside a task's first one."""

    placement: Placement
    #: ``SILENT``, ``STALLED`` or ``LATE``.
    reason: str


class TeamLimits:
    """What remains of each team's limit in one pass."""

    def __init__(
        self,
        left: dict[str, Resources | None],
        limit_left: Callable[[str], Resources | None],
    ) -> None:
        """``left`` has the teams already read in this pass, ``limit_left`` reads."""
        self._left = left
        self._limit_left = limit_left

    def fits(self, step: StepRun, count: int = 1) -> bool:
        """Return whether the team's limit suffices for more tasks of the step."""
        team = step.job.record.team
        if team not in self._left:
            self._left[team] = self._limit_left(team)
        left = self._left[team]
        return left is None or step.spec.resources.times(count).fits(left)

    def take(self, step: StepRun) -> None:
        """Deduct one task of the step, which must fit."""
        team = step.job.record.team
        left = self._left[team]
        if left is not None:
            self._left[team] = left.minus(step.spec.resources)


class CopyPlanner:
    """Plans copies once all waiting tasks of a pass were placed. Does no I/O."""

    def __init__(
        self,
        share: float,
        book: AdviceBook,
        durations: DurationEstimator,
        run_ends: RunEnds,
    ) -> None:
        """``share`` is the largest part of the pool's cores that copies may hold."""
        self._share = share
        self._book = book
        self._durations = durations
        self._run_ends = run_ends

    def choose(
        self,
        state: PlanningPass,
        ranked: Sequence[tuple[Urgency, StepRun]],
        queues: Mapping[str, Queue],
        limits: TeamLimits,
        headroom_milli: int,
    ) -> list[PlannedCopy]:
        """Return the copies to start, of the most urgent steps first.

        May add one advice request to the plan. ``headroom_milli`` are the cores that
        less urgent tasks leave free for the most urgent queue.
        """
        if self._share <= 0:
            return []
        workers = {worker.id: worker for worker in state.workers}
        factors = (self._durations.factor(worker.id) for worker in state.startable)
        best_factor = min(factors, default=1.0)
        chosen: list[PlannedCopy] = []
        left_milli: int | None = None
        spare: _SpareCapacity | None = None
        may_request = True
        for urgency, step in ranked:
            late = self._late_runs(step, workers, best_factor, state.now_ms)
            if not late:
                continue
            if left_milli is None or spare is None:
                left_milli = _cores_left_milli(self._share, state.workers)
                spare = _SpareCapacity(
                    state, ranked, queues, limits, headroom_milli, self._book
                )
            if step.job.record.team in state.plan.blocked_by_limit:
                continue
            queue = queues[step.job.record.queue]
            held = reservation_of(step)
            candidates = self._candidates(state, step, spare)
            for run, reason in late:
                if held.cores_milli > left_milli or not limits.fits(step):
                    break
                if spare.is_kept_from(urgency, step):
                    break
                usable = [
                    worker
                    for worker in candidates
                    if worker.id != run.worker
                    and state.has_capacity(worker, step)
                    and (
                        reason is not LATE
                        or self._ends_earlier(run, workers[run.worker], worker, state)
                    )
                ]
                if not usable:
                    continue
                ticket = ""
                if queue.advice is not None:
                    allowed = [
                        worker
                        for worker in usable
                        if self._book.ticket(step, worker, state.now_ms)
                    ]
                    if not allowed:
                        if may_request:
                            may_request = not self._request(state, step, queue, usable)
                        continue
                    usable = allowed
                best = min(usable, key=lambda w: self._rank(state, step, w))
                if queue.advice is not None:
                    ticket = self._book.ticket(step, best, state.now_ms) or ""
                state.allocate(best, step)
                limits.take(step)
                left_milli -= held.cores_milli
                chosen.append(PlannedCopy(Placement(run.task, best, ticket), reason))
        return chosen

    def _late_runs(
        self,
        step: StepRun,
        workers: Mapping[str, PoolWorker],
        best_factor: float,
        now_ms: int,
    ) -> list[tuple[Run, str]]:
        """Return the runs of the step that need a copy, and the reason of each.

        ``best_factor`` is that of the fastest worker. Whether one as fast is free is
        not known yet, so a late run may turn out to need none.
        """
        if not step.spec.speculative:
            return []
        late_after_ms = now_ms + self._min_left_ms(step, best_factor)
        found = []
        for task in step.tasks:
            run = task.run
            if run is None or not task.may_have_copy or run.worker not in workers:
                continue
            reason = self._reason(run, workers[run.worker], late_after_ms, now_ms)
            if reason:
                found.append((run, reason))
        return found

    def _min_left_ms(self, step: StepRun, factor: float) -> float:
        """Return how far from now a run must end for a copy to be worthwhile.

        ``factor`` is that of the copy's worker.
        """
        if step.spec.count == 1:
            # A single task's own progress says nothing of how long a copy takes.
            queue = step.job.record.queue
            expected_ms = self._durations.estimate_ms(queue, step.spec)
        else:
            expected_ms = self._durations.step_ms(step)
        return expected_ms * (factor + MARGIN_SHARE) + MARGIN_MS

    def _reason(
        self, run: Run, worker: PoolWorker, late_after_ms: float, now_ms: int
    ) -> str:
        """Return the reason for a copy, empty for none.

        The run is late if it is expected to end after ``late_after_ms``.
        """
        since_ms = worker.silent_since_ms
        if since_ms and now_ms - since_ms >= SILENT_MS:
            # Two workers that fell silent under one task may have crashed by it.
            return "" if run.copy_reason else SILENT
        if run.state is RunState.STARTING:
            return SILENT if now_ms - run.sent_at_ms >= START_ANSWER_MS else ""
        if run.state is RunState.STOPPING:
            if run.stop_reason == "start_unanswered":
                return SILENT
            stopping_ms = now_ms - run.stop_ordered_at_ms
            is_late = run.stop_reason == "stalled" or stopping_ms >= STOPPING_MS
            return STALLED if is_late else ""
        ends_late = self._run_ends.ends_at_ms(run) > late_after_ms
        return LATE if ends_late or self._is_overdue(run, worker, now_ms) else ""

    def _is_overdue(self, run: Run, worker: PoolWorker, now_ms: int) -> bool:
        """Return whether a run took far longer than expected, with no end in sight.

        The expectation is the one before the step ran: it is not raised by the time
        that this run has taken.
        """
        if run.percent >= NEARLY_DONE_PERCENT:
            return False
        has_pace = run.percent >= MIN_PERCENT and not run.resumed
        if has_pace and self._run_ends.ends_at_ms(run) >= now_ms:
            return False
        step = run.task.step
        expected_ms = self._durations.estimate_ms(step.job.record.queue, step.spec)
        expected_ms *= self._durations.factor(worker.id)
        worked_ms = now_ms - run.confirmed_at_ms
        is_long = worked_ms > OVERDUE_FACTOR * expected_ms
        return is_long and worked_ms > expected_ms + OVERDUE_MS

    def _ends_earlier(
        self, run: Run, worker: PoolWorker, other: PoolWorker, state: PlanningPass
    ) -> bool:
        """Return whether a copy that starts now on the other worker clearly ends first.

        A copy away from the step's data takes an unknown time.
        """
        step = run.task.step
        rack = step.spec.data_rack
        if rack and other.entry.rack != rack and worker.entry.rack == rack:
            return False
        if self._is_overdue(run, worker, state.now_ms):
            return True
        left_ms = self._min_left_ms(step, self._durations.factor(other.id))
        return self._run_ends.ends_at_ms(run) > state.now_ms + left_ms

    def _candidates(
        self, state: PlanningPass, step: StepRun, spare: _SpareCapacity
    ) -> list[PoolWorker]:
        """Return the workers without doubts whose capacity no waiting task can use."""
        return [
            worker
            for worker in state.startable_for(step)
            if state.has_capacity(worker, step)
            and could_ever_hold(worker, step)
            and worker.id not in state.reserved
            and not state.doubts.get(worker.id, 0.0)
            and not worker.is_cold(state.now_ms)
            and not worker.hosts_other_suspects(step.job, state.now_ms)
            and not has_failed_on(step, worker.id)
            and self._book.may_be_allowed(step, worker)
            and state.fits_unrequested(worker, step)
            and not spare.is_wanted(worker)
        ]

    def _rank(
        self, state: PlanningPass, step: StepRun, worker: PoolWorker
    ) -> tuple[float, ...]:
        """Return the rank of a worker for a copy; lower is better."""
        rack = step.spec.data_rack
        remote = float(bool(rack) and worker.entry.rack != rack)
        factor = self._durations.factor(worker.id)
        return (remote, factor, *suitability(state, step, worker))

    def _request(
        self,
        state: PlanningPass,
        step: StepRun,
        queue: Queue,
        available: Sequence[PoolWorker],
    ) -> bool:
        """Add an advice request for copies of a step; return whether one was added."""
        if queue.advice is None or not state.advice_slots.allow(queue.advice.decide_ms):
            return False
        if any(request.step is step for request in state.plan.requests):
            return False
        fitting = tasks_per_worker(step, available)
        request = self._book.request(
            step, queue.advice, available, (), fitting, state.now_ms
        )
        if request is None or not state.advice_slots.allow(request.expected_ms):
            return False
        state.advice_slots = state.advice_slots.without(request.expected_ms)
        state.plan.requests.append(request)
        return True


class _SpareCapacity:
    """Tells which capacity waiting tasks could use in this pass."""

    def __init__(
        self,
        state: PlanningPass,
        ranked: Sequence[tuple[Urgency, StepRun]],
        queues: Mapping[str, Queue],
        limits: TeamLimits,
        headroom_milli: int,
        book: AdviceBook,
    ) -> None:
        self._state = state
        self._queues = queues
        self._headroom_milli = headroom_milli
        self._book = book
        placed = _placed_tasks(state)
        #: Steps with waiting tasks that a team's limit or the headroom don't hold back.
        self._waiting = [
            step
            for urgency, step in ranked
            if not urgency.surplus
            and may_place(step)
            and any(task not in placed for task in step.waiting())
            and limits.fits(step, step.spec.count if step.spec.gang else 1)
            and not self.is_kept_from(urgency, step)
        ]
        self._is_wanted: dict[str, bool] = {}

    def is_kept_from(self, urgency: Urgency, step: StepRun) -> bool:
        """Return whether the headroom for more urgent tasks holds the step back."""
        held_milli = reservation_of(step).cores_milli
        if urgency.priority <= 0 or not self._headroom_milli or not held_milli:
            return False
        return self._state.free_cores - held_milli < self._headroom_milli

    def is_wanted(self, worker: PoolWorker) -> bool:
        """Return whether a waiting task could start on the worker now."""
        wanted = self._is_wanted.get(worker.id)
        if wanted is None:
            wanted = any(self._could_use(step, worker) for step in self._waiting)
            self._is_wanted[worker.id] = wanted
        return wanted

    def _could_use(self, step: StepRun, worker: PoolWorker) -> bool:
        if not self._state.has_capacity(worker, step):
            return False
        if not could_ever_hold(worker, step):
            return False
        if self._queues[step.job.record.queue].advice is None:
            return True
        return self._book.ticket(step, worker, self._state.now_ms) is not None


def _placed_tasks(state: PlanningPass) -> set[Task]:
    placed = {placement.task for placement in state.plan.placements}
    for gang in state.plan.gangs:
        placed.update(placement.task for placement in gang.placements)
    return placed


def _cores_left_milli(share: float, workers: Iterable[PoolWorker]) -> int:
    """Return how many thousandths of a core further copies may hold."""
    total_milli = held_milli = 0
    for worker in workers:
        if worker.accepts_tasks:
            total_milli += worker.entry.capacity.cores_milli
        for run in worker.runs.values():
            # A copy whose first run has ended otherwise is its task's only run.
            if run.copy_reason and (run.task.copy is run or run.task.done):
                held_milli += reservation_of(run.task.step).cores_milli
    return int(share * total_milli) - held_milli
