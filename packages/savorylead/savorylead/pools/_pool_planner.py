"""Decides which waiting tasks start on which workers, and which advice to request.

Load patterns: short urgent steps arrive while wide cheap ones could fill every
worker (headroom for the most urgent queue); gangs with large tasks compete with
many small tasks (reservation of workers for the most urgent gangs); urgent steps
find every worker full of less urgent work that can be checkpointed (preemption); a
team at its limit waits without delaying others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from savorylead.jobs import StepRun, Task
from savorylead.resources import ZERO, Resources

from ._advice import UNBOUNDED, AdviceBook, AdviceSlots
from ._advice_calls import AdviceCalls
from ._contracts import Queue
from ._copies import CopyPlanner, TeamLimits
from ._durations import DurationEstimator, QueueDurations
from ._headroom import UrgentHeadroom
from ._idle_jobs import IdleJobs
from ._learned_durations import LearnedDurations
from ._planning_pass import (
    Placement,
    Plan,
    PlannedGang,
    PlanningPass,
    choose_worker,
    copies_that_fit,
    could_ever_hold,
    could_start,
    may_place,
    rack_groups,
    suitability,
)
from ._policy import SchedulingPolicy
from ._pool_worker import PoolWorker, reservation_of
from ._preemption import Preemption
from ._reservation import Reservation, may_reserve
from ._run_ends import RunEnds
from ._speed_classes import speed_ranks
from ._step_times import StepTimes
from ._turns import Turns, may_take_turn
from ._urgency import Urgency, urgency_of

#: Maximum number of steps that hold reservations in one pass.
MAX_RESERVING_STEPS = 4
#: A task may backfill a reserved worker if this many times its expected length ends
#: before the reservation starts.
BACKFILL_MARGIN = 1.2
#: Even a starved job does not use a reserved worker whose reservation starts within
#: this time, in milliseconds.
IMMINENT_RESERVATION_MS = 1_000
#: Steps without free capacity make no advice request while this many are pending.
MAX_PENDING_FOR_EARLY_REQUEST = 4


class PoolPlanner:
    """Plans for one pool. Does no I/O; its state is observed load and advice."""

    def __init__(
        self,
        policy: SchedulingPolicy = SchedulingPolicy(),  # noqa: B008 - immutable.
        durations: DurationEstimator | None = None,
    ) -> None:
        """``durations`` replaces the estimator of a policy that learns durations."""
        self.policy = policy
        self.book = AdviceBook()
        self.durations: DurationEstimator = QueueDurations()
        if policy.learns_durations:
            self.durations = LearnedDurations() if durations is None else durations
        #: Names of the queues whose steps need advice.
        self._advised_queues: frozenset[str] = frozenset()
        self._headroom = UrgentHeadroom()
        self._idle = IdleJobs()
        self._turns = Turns()
        #: Expected times of steps.
        self.times = StepTimes(self.durations)
        #: Expected ends of runs and the observed duration of stops.
        self.run_ends = RunEnds(self.durations)
        self._reservation = Reservation(self.book, self.run_ends)
        self._calls = AdviceCalls(self.book, self._reservation)
        self._copies = CopyPlanner(
            policy.copy_share, self.book, self.durations, self.run_ends
        )

    def plan(
        self,
        steps: Sequence[StepRun],
        queues: Mapping[str, Queue],
        workers: Iterable[PoolWorker],
        team_limit_left: Callable[[str], Resources | None],
        now_ms: int,
        advice_slots: AdviceSlots = UNBOUNDED,
    ) -> Plan:
        """Return what to start, stop and request now.

        ``steps`` are ready and not done. ``team_limit_left`` returns what remains of a
        team's limit, None for no limit. ``advice_slots`` bounds the advice requests
        made now; the most urgent steps get them.
        """
        self.durations.note_time(now_ms)
        is_ending = self.run_ends.is_ending
        may_be_allowed = self.book.may_be_allowed
        workers = list(workers)
        speeds = None
        if self.policy.learns_durations:
            speeds = speed_ranks(self.durations, workers, queues)
        state = PlanningPass(
            workers, now_ms, advice_slots, is_ending, may_be_allowed, speeds
        )
        preemption = Preemption(self.times, queues, now_ms, is_ending)
        self._idle.update(steps, now_ms)
        ranked = sorted(
            (
                (self._urgency(step, queues, now_ms), index)
                for index, step in enumerate(steps)
                if step.job.record.queue in queues
            ),
        )
        limits_left: dict[str, Resources | None] = {}
        reserving = 0
        pending_requests = sum(
            1
            for step in steps
            if self._needs_advice(step) and self.book.of(step).pending
        )
        in_time = [steps[index] for urgency, index in ranked if not urgency.lateness]
        headroom = self._headroom.cores_milli(state.workers, in_time, queues, now_ms)
        with_turn, new_turns = self._turns.choose(
            [s for _, index in ranked if may_take_turn(s := steps[index])],
            self._idle.since_ms,
            lambda step: could_start(
                step,
                [w for w in state.startable_for(step) if may_be_allowed(step, w)],
                team_limit_left(step.job.record.team),
            ),
            now_ms,
        )
        state.plan.turns.extend(new_turns)
        ranked.sort(key=lambda row: steps[row[1]] not in with_turn)
        handled = self._place_prime_suspects(
            state, [steps[index] for _, index in ranked], limits_left, team_limit_left
        )
        for urgency, index in ranked:
            step = steps[index]
            if not may_place(step):
                continue
            waiting = [task for task in step.waiting() if task not in handled]
            queue = queues[step.job.record.queue]
            team = step.job.record.team
            if team not in limits_left:
                limits_left[team] = team_limit_left(team)
            min_free_milli = 0 if urgency.priority <= 0 else headroom
            # Work beyond its team's share never preempts others.
            may_preempt = urgency.lateness == 0 and not urgency.surplus
            is_starved = self._idle.is_starved(step, now_ms)
            candidates = self._candidates(state, step, is_starved)
            if step.spec.gang:
                placed = self._place_gang(state, step, waiting, candidates, limits_left)
            else:
                # A starved job may start only one task on reserved workers.
                placeable = waiting[:1] if is_starved else waiting
                placed = self._place_each(
                    state, step, placeable, candidates, limits_left, min_free_milli
                )
            if placed == len(waiting):
                continue
            if self._is_blocked_by_limit(
                state, step, waiting, placed, candidates, limits_left
            ):
                if may_preempt:
                    missing = len(waiting) - placed
                    self._preempt_at_limit(
                        state,
                        preemption,
                        step,
                        urgency.priority,
                        missing,
                        candidates,
                        limits_left[team],
                    )
                continue
            if may_preempt:
                missing = len(waiting) - placed
                self._preempt(state, preemption, step, urgency.priority, missing)
            if queue.advice is not None:
                may_request_early = pending_requests < MAX_PENDING_FOR_EARLY_REQUEST
                pending_requests += self._calls.add(
                    state,
                    preemption,
                    step,
                    queue,
                    candidates,
                    may_request_early,
                    may_preempt,
                )
            may_reserve_workers = reserving < MAX_RESERVING_STEPS and (
                step in with_turn or not urgency.surplus
            )
            if may_reserve_workers and may_reserve(step, queue, state):
                allowed = self.book.of(step).good if self._needs_advice(step) else ()
                reserving += self._reservation.reserve(
                    state, step, len(waiting), allowed
                )
        copies = self._copies.choose(
            state,
            [(urgency, steps[index]) for urgency, index in ranked],
            queues,
            TeamLimits(limits_left, team_limit_left),
            headroom,
        )
        return state.plan._replace(copies=copies)

    def _place_prime_suspects(
        self,
        state: PlanningPass,
        steps: Sequence[StepRun],
        limits_left: dict[str, Resources | None],
        team_limit_left: Callable[[str], Resources | None],
    ) -> set[Task]:
        """Place prime suspects before all other tasks, outside gangs.

        Later in the pass each worker with free capacity may have got other tasks, which
        would be as likely a cause of a crash. Returns the suspects that were placed or
        wait for a worker on which they are isolated.
        """
        handled = set()
        for step in steps:
            if not step.has_suspects or step.spec.gang:
                continue
            primes = [task for task in step.waiting() if task.is_prime_suspect]
            if not primes:
                continue
            team = step.job.record.team
            if team not in limits_left:
                limits_left[team] = team_limit_left(team)
            candidates = self._candidates(state, step, is_starved=False)
            for task in primes:
                if self._place_each(state, step, [task], candidates, limits_left, 0):
                    handled.add(task)
        return handled

    def _urgency(
        self, step: StepRun, queues: Mapping[str, Queue], now_ms: int
    ) -> Urgency:
        queue = queues[step.job.record.queue]
        return urgency_of(step, queue, self.times, now_ms)

    def _preempt(
        self,
        state: PlanningPass,
        preemption: Preemption,
        step: StepRun,
        priority: int,
        missing: int,
    ) -> None:
        """Stop less urgent runs for tasks that fit on no worker."""
        workers = [
            w
            for w in state.startable_for(step)
            if w.id not in state.reserved and could_ever_hold(w, step)
        ]
        tickets = self._usable_tickets(state, step, workers)
        if tickets is not None:
            workers = [w for w in workers if w.id in tickets]
        # Of workers with equally cheap victims, the first one is chosen.
        state.sort_by_speed(workers, step)
        # Room that is freed bit by bit does not serve a gang.
        if not step.spec.gang:
            missing -= state.take_ending(workers, step, missing)
        victims = preemption.victims(
            step, priority, missing, workers, state.free, state.releasing
        )
        state.plan.preempted.extend(victims)

    def _preempt_at_limit(
        self,
        state: PlanningPass,
        preemption: Preemption,
        step: StepRun,
        priority: int,
        missing: int,
        candidates: Sequence[PoolWorker],
        limit_left: Resources | None,
    ) -> None:
        """Stop less urgent runs of the team for tasks that its limit blocks."""
        if limit_left is None:
            return
        held = reservation_of(step)
        fitting = sum(copies_that_fit(held, state.free[w.id], step) for w in candidates)
        if step.spec.gang and fitting < missing:
            return
        victims = preemption.victims_at_limit(
            step, priority, min(missing, fitting), limit_left, state.workers
        )
        state.plan.preempted.extend(victims)

    def _candidates(
        self, state: PlanningPass, step: StepRun, is_starved: bool
    ) -> list[PoolWorker]:
        """Return the workers that could start a task of the step now, best first.

        A starved job may use workers that are reserved for others.
        """
        durations = self.durations
        length_ms = durations.step_ms(step) * BACKFILL_MARGIN
        is_long_running = step.spec.long_running
        free, fits = state.free, reservation_of(step).fits
        found = [
            worker
            for worker in state.startable_for(step)
            # In a full pool most workers fail this first test, so it takes one call.
            if fits(free[worker.id])
            and state.has_capacity(worker, step)
            and could_ever_hold(worker, step)
            and (
                worker.id not in state.reserved
                or (
                    is_starved
                    and not step.spec.gang
                    and not is_long_running
                    and state.reserved[worker.id] - state.now_ms
                    > IMMINENT_RESERVATION_MS
                )
                or (
                    state.now_ms + length_ms * durations.factor(worker.id)
                    <= state.reserved[worker.id]
                    and not is_long_running
                )
            )
        ]
        found.sort(key=lambda worker: suitability(state, step, worker))
        return found

    def _usable_tickets(
        self, state: PlanningPass, step: StepRun, candidates: Iterable[PoolWorker]
    ) -> dict[str, str] | None:
        """Return usable tickets by worker; None if the queue needs none."""
        if not self._needs_advice(step):
            return None
        tickets = {}
        for worker in candidates:
            ticket = self.book.ticket(step, worker, state.now_ms)
            if ticket is not None:
                tickets[worker.id] = ticket
        return tickets

    def _needs_advice(self, step: StepRun) -> bool:
        return step.job.record.queue in self._advised_queues

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Set which queues need advice."""
        self._advised_queues = frozenset(q.name for q in queues if q.advice is not None)

    def _place_each(
        self,
        state: PlanningPass,
        step: StepRun,
        waiting: Sequence[Task],
        candidates: Sequence[PoolWorker],
        limits_left: dict[str, Resources | None],
        min_free_milli: int,
    ) -> int:
        """Place tasks independently; return how many need no further capacity.

        These are the placed ones, and prime suspects that wait for a worker on which
        they are isolated.
        """
        tickets = self._usable_tickets(state, step, candidates)
        team = step.job.record.team
        held = reservation_of(step)
        placed = to_isolate = 0
        for task in waiting:
            leaves_too_little = state.free_cores - held.cores_milli < min_free_milli
            if min_free_milli and leaves_too_little and held.cores_milli:
                break
            limit_left = limits_left[team]
            if limit_left is not None and not step.spec.resources.fits(limit_left):
                break
            usable = self._with_capacity(state, step, candidates, tickets)
            if not usable:
                break
            worker = choose_worker(state, task, usable, must_isolate=True)
            if worker is None:
                to_isolate += 1
                continue
            state.allocate(worker, step)
            if task.is_prime_suspect:
                state.isolate(worker, step)
            if limit_left is not None:
                limits_left[team] = limit_left.minus(step.spec.resources)
            ticket = tickets[worker.id] if tickets is not None else ""
            state.plan.placements.append(Placement(task, worker, ticket))
            placed += 1
        return placed + to_isolate

    def _with_capacity(
        self,
        state: PlanningPass,
        step: StepRun,
        candidates: Sequence[PoolWorker],
        tickets: Mapping[str, str] | None,
    ) -> list[PoolWorker]:
        """Return the workers on which one more task of the step may start."""
        free, fits = state.free, reservation_of(step).fits
        return [
            worker
            for worker in candidates
            if (tickets is None or worker.id in tickets)
            and fits(free[worker.id])
            and state.has_capacity(worker, step)
        ]

    def _place_gang(
        self,
        state: PlanningPass,
        step: StepRun,
        waiting: Sequence[Task],
        candidates: Sequence[PoolWorker],
        limits_left: dict[str, Resources | None],
    ) -> int:
        """Place all tasks or none; return how many were placed."""
        if len(waiting) != step.spec.count:
            return 0
        team = step.job.record.team
        limit_left = limits_left[team]
        total = step.spec.resources.times(len(waiting))
        if limit_left is not None and not total.fits(limit_left):
            return 0
        tickets = self._usable_tickets(state, step, candidates)
        for group in rack_groups(step, candidates):
            chosen = self._place_all(state, step, waiting, group, tickets)
            if chosen is None:
                continue
            if limit_left is not None:
                limits_left[team] = limit_left.minus(total)
            state.plan.gangs.append(PlannedGang(step, tuple(chosen)))
            return len(waiting)
        return 0

    def _place_all(
        self,
        state: PlanningPass,
        step: StepRun,
        waiting: Sequence[Task],
        group: Sequence[PoolWorker],
        tickets: Mapping[str, str] | None,
    ) -> list[Placement] | None:
        chosen: list[Placement] = []
        for task in waiting:
            usable = self._with_capacity(state, step, group, tickets)
            # A gang needs many workers at once, so it is isolated only by preference.
            worker = choose_worker(state, task, usable, must_isolate=False)
            if worker is None:
                for placement in chosen:
                    state.release(placement.worker, step)
                return None
            state.allocate(worker, step)
            ticket = tickets[worker.id] if tickets is not None else ""
            chosen.append(Placement(task, worker, ticket))
        for placement in chosen:
            if placement.task.is_prime_suspect:
                state.isolate(placement.worker, step)
        return chosen

    def _is_blocked_by_limit(
        self,
        state: PlanningPass,
        step: StepRun,
        waiting: Sequence[Task],
        placed: int,
        candidates: Sequence[PoolWorker],
        limits_left: Mapping[str, Resources | None],
    ) -> bool:
        """Return whether the team's limit blocks the next task, and record how much.

        Only tasks that the workers could hold are recorded: requesting a larger limit
        for the rest would only take it from other pools.
        """
        team = step.job.record.team
        limit_left = limits_left[team]
        remaining = len(waiting) - placed
        needed = step.spec.resources.times(remaining if step.spec.gang else 1)
        if limit_left is None or needed.fits(limit_left):
            return False
        held = reservation_of(step)
        fitting = sum(copies_that_fit(held, state.free[w.id], step) for w in candidates)
        if step.spec.gang and fitting < remaining:
            fitting = 0
        shortfall = state.plan.blocked_by_limit
        blocked = step.spec.resources.times(min(remaining, fitting))
        shortfall[team] = shortfall.get(team, ZERO).plus(blocked)
        if fitting:
            state.plan.blocked_pieces.setdefault(team, []).append(needed)
        return True
