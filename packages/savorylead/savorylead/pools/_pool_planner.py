"""Decides which waiting tasks start where, and what to ask the adviser.

Load patterns: short urgent steps arrive while wide cheap ones could fill every
worker (head room for the most urgent queue); gangs with large tasks compete with
many small tasks (reservation of workers for the first gangs in line); urgent steps
find every worker full of less urgent work that can be checkpointed (preemption); a
team at its limit waits without holding up others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from savorylead.jobs import Run, RunState, StepRun, Task
from savorylead.resources import ZERO, Resources

from ._advice import AdviceBook, AdviceRequest
from ._contracts import Queue
from ._durations import DurationEstimator
from ._headroom import UrgentHeadroom
from ._pool_worker import PoolWorker, held_by
from ._preemption import Preemption
from ._urgency import Urgency, urgency_of

#: Steps that may keep workers free for themselves at a time.
MAX_RESERVING_STEPS = 4
#: Part of the workers, as a divisor, that reservations may take.
RESERVED_DIVISOR = 2
#: A task may use a reserved worker if this many times its expected length is over
#: before the worker is free for whom it is kept.
BACKFILL_MARGIN = 1.2
#: A task that takes this part of a worker may reserve one.
LARGE_TASK_SHARE = 0.4
#: Least urgent priority whose large tasks may reserve workers.
RESERVING_PRIORITY = 1
#: Steps without room whose advice is asked ahead of time.
MAX_ASKED_AHEAD = 4


class Placement(NamedTuple):
    """A task to start on a worker."""

    task: Task
    worker: PoolWorker
    #: The adviser's ticket; empty if the queue needs none.
    ticket: str


class PlannedGang(NamedTuple):
    """Tasks that must start together."""

    step: StepRun
    placements: tuple[Placement, ...]


class Plan(NamedTuple):
    """What one pass decided."""

    placements: list[Placement]
    gangs: list[PlannedGang]
    requests: list[AdviceRequest]
    #: What workers have room for but a team's limit keeps waiting, by team.
    short_of_limit: dict[str, Resources]
    #: Runs to stop, so that more urgent tasks can start.
    preempted: list[Run]


class _Pass:
    """The state of one pass: what is still free, as placements are decided."""

    def __init__(self, workers: Iterable[PoolWorker], now_ms: int) -> None:
        self.now_ms = now_ms
        self.workers = list(workers)
        self.startable = [w for w in self.workers if w.may_start(now_ms)]
        self.free = {w.id: w.free() for w in self.workers}
        self.free_cores = sum(
            max(0, self.free[w.id].cores_milli) for w in self.startable
        )
        #: Room that is held by runs which are being stopped.
        self.coming = {w.id: _coming(w) for w in self.startable}
        self.added: dict[tuple[str, str], int] = {}
        #: Room for which advice is under way, by worker.
        self.asked_for: dict[str, Resources] = {}
        #: Workers that are kept, and when they will be free for it.
        self.reserved: dict[str, float] = {}
        self.plan = Plan([], [], [], {}, [])

    def take(self, worker: PoolWorker, step: StepRun) -> None:
        """Hold the room of one task."""
        held = held_by(step)
        self.free[worker.id] = self.free[worker.id].minus(held)
        self.free_cores -= held.cores_milli
        key = (step.name, worker.id)
        self.added[key] = self.added.get(key, 0) + 1

    def give_back(self, worker: PoolWorker, step: StepRun) -> None:
        """Undo ``take``."""
        held = held_by(step)
        self.free[worker.id] = self.free[worker.id].plus(held)
        self.free_cores += held.cores_milli
        self.added[(step.name, worker.id)] -= 1

    def may_ask_for(self, worker: PoolWorker, step: StepRun) -> bool:
        """Return whether room is left that no other step has asked for."""
        asked = self.asked_for.get(worker.id, ZERO)
        return held_by(step).fits(self.free[worker.id].minus(asked))

    def note_asked(self, with_room: Iterable[PoolWorker], step: StepRun) -> None:
        """Note for which room the step's advice is under way."""
        left = len(step.waiting())
        held = held_by(step)
        for worker in with_room:
            while left and self.may_ask_for(worker, step):
                asked = self.asked_for.get(worker.id, ZERO)
                self.asked_for[worker.id] = asked.plus(held)
                left -= 1

    def has_room(self, worker: PoolWorker, step: StepRun) -> bool:
        """Return whether one more task of the step fits on the worker now."""
        if not held_by(step).fits(self.free[worker.id]):
            return False
        bound = step.spec.max_per_worker
        if not bound:
            return True
        added = self.added.get((step.name, worker.id), 0)
        return worker.count_of(step) + added < bound


def could_ever_hold(worker: PoolWorker, step: StepRun) -> bool:
    """Return whether an empty worker could run a task of the step."""
    label = step.spec.required_label
    if label and label not in worker.entry.labels:
        return False
    return held_by(step).fits(worker.entry.capacity)


class PoolPlanner:
    """Plans for one pool. Pure, but for what it remembers of loads and advice."""

    def __init__(self) -> None:
        self.book = AdviceBook()
        self.durations = DurationEstimator()
        self._headroom = UrgentHeadroom()
        self._preemption = Preemption(self.durations)

    def plan(
        self,
        steps: Sequence[StepRun],
        queues: Mapping[str, Queue],
        workers: Iterable[PoolWorker],
        team_room: Callable[[str], Resources | None],
        now_ms: int,
    ) -> Plan:
        """Return what to start and to ask now.

        ``steps`` are ready and not done. ``team_room`` returns what a team may
        still start, None for no limit.
        """
        state = _Pass(workers, now_ms)
        ranked = sorted(
            (
                (self._urgency(step, queues, now_ms), index)
                for index, step in enumerate(steps)
                if step.job.record.queue in queues
            ),
        )
        rooms: dict[str, Resources | None] = {}
        reserving = 0
        asked_ahead = sum(
            1
            for step in steps
            if self._needs_advice(step) and self.book.of(step).pending
        )
        in_time = [steps[index] for urgency, index in ranked if not urgency.lateness]
        headroom = self._headroom.cores_milli(state.workers, in_time, queues, now_ms)
        for urgency, index in ranked:
            step = steps[index]
            waiting = step.waiting()
            if not waiting or (step.spec.gang and step.running()):
                continue
            queue = queues[step.job.record.queue]
            team = step.job.record.team
            if team not in rooms:
                rooms[team] = team_room(team)
            keep_free = 0 if urgency.priority <= 0 else headroom
            candidates = self._candidates(state, step)
            if step.spec.gang:
                placed = self._place_gang(state, step, waiting, candidates, rooms)
            else:
                placed = self._place_each(
                    state, step, waiting, candidates, rooms, keep_free
                )
            if placed == len(waiting):
                continue
            if self._is_short_of_limit(state, step, waiting, placed, candidates, rooms):
                continue
            if urgency.lateness == 0:
                self._make_room(state, step, urgency.priority, waiting[placed:], queues)
            if queue.advice is not None:
                may_ask_ahead = asked_ahead < MAX_ASKED_AHEAD
                asked_ahead += self._ask(
                    state,
                    step,
                    queue,
                    urgency.priority,
                    candidates,
                    may_ask_ahead,
                    queues,
                )
            if reserving < MAX_RESERVING_STEPS and _may_reserve(step, queue, state):
                reserving += self._reserve(state, step, waiting)
        return state.plan

    def _urgency(
        self, step: StepRun, queues: Mapping[str, Queue], now_ms: int
    ) -> Urgency:
        queue = queues[step.job.record.queue]
        return urgency_of(step, queue, self.durations, now_ms)

    def _make_room(
        self,
        state: _Pass,
        step: StepRun,
        priority: int,
        waiting: Sequence[Task],
        queues: Mapping[str, Queue],
    ) -> None:
        """Stop less urgent runs for tasks that found no room."""
        workers = [
            w
            for w in state.startable
            if w.id not in state.reserved and could_ever_hold(w, step)
        ]
        tickets = self._usable(state, step, workers)
        if tickets is not None:
            workers = [w for w in workers if w.id in tickets]
        victims = self._preemption.victims(
            step,
            priority,
            len(waiting),
            workers,
            state.free,
            state.coming,
            queues,
            state.now_ms,
        )
        state.plan.preempted.extend(victims)

    def _candidates(self, state: _Pass, step: StepRun) -> list[PoolWorker]:
        """Return the workers that could start a task of the step now, best first."""
        queue = step.job.record.queue
        length_ms = self.durations.estimate_ms(queue, step.spec) * BACKFILL_MARGIN
        ends_ms = state.now_ms + length_ms
        lasts = step.spec.long_running
        found = [
            worker
            for worker in state.startable
            if could_ever_hold(worker, step)
            and state.has_room(worker, step)
            and (
                worker.id not in state.reserved
                or (ends_ms <= state.reserved[worker.id] and not lasts)
            )
        ]
        found.sort(key=lambda worker: _rank(state, step, worker))
        return found

    def _usable(
        self, state: _Pass, step: StepRun, candidates: Iterable[PoolWorker]
    ) -> dict[str, str] | None:
        """Return tickets by worker; None if the queue needs none."""
        if not self._needs_advice(step):
            return None
        tickets = {}
        for worker in candidates:
            ticket = self.book.ticket(step, worker, state.now_ms)
            if ticket is not None:
                tickets[worker.id] = ticket
        return tickets

    def _needs_advice(self, step: StepRun) -> bool:
        return step.job.record.queue in self._advised

    #: Names of the queues whose steps need advice; set by the lead.
    _advised: frozenset[str] = frozenset()

    def set_queues(self, queues: Iterable[Queue]) -> None:
        """Take over which queues need advice."""
        self._advised = frozenset(q.name for q in queues if q.advice is not None)

    def _place_each(
        self,
        state: _Pass,
        step: StepRun,
        waiting: Sequence[Task],
        candidates: Sequence[PoolWorker],
        rooms: dict[str, Resources | None],
        keep_free: int,
    ) -> int:
        """Place tasks one by one; return how many were placed."""
        tickets = self._usable(state, step, candidates)
        team = step.job.record.team
        held = held_by(step)
        placed = 0
        for task in waiting:
            if state.free_cores - held.cores_milli < keep_free and held.cores_milli:
                break
            room = rooms[team]
            if room is not None and not step.spec.resources.fits(room):
                break
            worker = self._choose(state, step, candidates, tickets)
            if worker is None:
                break
            state.take(worker, step)
            if room is not None:
                rooms[team] = room.minus(step.spec.resources)
            ticket = tickets[worker.id] if tickets is not None else ""
            state.plan.placements.append(Placement(task, worker, ticket))
            placed += 1
        return placed

    def _choose(
        self,
        state: _Pass,
        step: StepRun,
        candidates: Sequence[PoolWorker],
        tickets: Mapping[str, str] | None,
    ) -> PoolWorker | None:
        best = None
        best_rank = None
        for worker in candidates:
            if tickets is not None and worker.id not in tickets:
                continue
            if not state.has_room(worker, step):
                continue
            rank = _rank(state, step, worker)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def _place_gang(
        self,
        state: _Pass,
        step: StepRun,
        waiting: Sequence[Task],
        candidates: Sequence[PoolWorker],
        rooms: dict[str, Resources | None],
    ) -> int:
        """Place all tasks or none; return how many were placed."""
        if len(waiting) != step.spec.count:
            return 0
        team = step.job.record.team
        room = rooms[team]
        whole = step.spec.resources.times(len(waiting))
        if room is not None and not whole.fits(room):
            return 0
        tickets = self._usable(state, step, candidates)
        for group in _racks(step, candidates):
            chosen = self._fit_all(state, step, waiting, group, tickets)
            if chosen is None:
                continue
            if room is not None:
                rooms[team] = room.minus(whole)
            state.plan.gangs.append(PlannedGang(step, tuple(chosen)))
            return len(waiting)
        return 0

    def _fit_all(
        self,
        state: _Pass,
        step: StepRun,
        waiting: Sequence[Task],
        group: Sequence[PoolWorker],
        tickets: Mapping[str, str] | None,
    ) -> list[Placement] | None:
        chosen: list[Placement] = []
        for task in waiting:
            worker = self._choose(state, step, group, tickets)
            if worker is None:
                for placement in chosen:
                    state.give_back(placement.worker, step)
                return None
            state.take(worker, step)
            ticket = tickets[worker.id] if tickets is not None else ""
            chosen.append(Placement(task, worker, ticket))
        return chosen

    def _is_short_of_limit(
        self,
        state: _Pass,
        step: StepRun,
        waiting: Sequence[Task],
        placed: int,
        candidates: Sequence[PoolWorker],
        rooms: Mapping[str, Resources | None],
    ) -> bool:
        """Return whether the team's limit keeps the next task waiting.

        What the workers have room for is noted; asking other pools for more would
        only take it from them.
        """
        team = step.job.record.team
        room = rooms[team]
        left = len(waiting) - placed
        needed = step.spec.resources.times(left if step.spec.gang else 1)
        if room is None or needed.fits(room):
            return False
        held = held_by(step)
        fitting = sum(_copies(held, state.free[w.id], step) for w in candidates)
        if step.spec.gang and fitting < left:
            fitting = 0
        short = state.plan.short_of_limit
        lacking = step.spec.resources.times(min(left, fitting))
        short[team] = short.get(team, ZERO).plus(lacking)
        return True

    def _ask(
        self,
        state: _Pass,
        step: StepRun,
        queue: Queue,
        priority: int,
        candidates: Sequence[PoolWorker],
        may_ask_ahead: bool,
        queues: Mapping[str, Queue],
    ) -> int:
        """Add a call for advice if one is due; return 1 if it was asked ahead."""
        with_room = [w for w in candidates if state.has_room(w, step)]
        if priority > 0:
            # Room that others have asked for is not there for this step too.
            with_room = [w for w in with_room if state.may_ask_for(w, step)]
        if step.spec.gang and not self._gang_could_fit(state, step, with_room):
            with_room = []
        if self.book.of(step).pending:
            state.note_asked(with_room, step)
            return 0
        if not with_room:
            with_room = [
                w
                for w in self._preemption.could_make_room(
                    step, priority, state.startable, state.free, queues, state.now_ms
                )
                if w.id not in state.reserved and w.id not in state.asked_for
            ]
        if not with_room and not may_ask_ahead:
            return 0
        if not with_room and self.book.of(step).good:
            return 0
        others = [
            w
            for w in state.workers
            if w.entry.accepting and w.usable and could_ever_hold(w, step)
        ]
        others.sort(key=lambda w: -state.free[w.id].cores_milli)
        fitting = _tasks_per_worker(step, with_room or others)
        assert queue.advice is not None
        request = self.book.request(
            step, queue.advice, with_room, others, fitting, state.now_ms
        )
        if request is None:
            return 0
        state.note_asked(with_room, step)
        state.plan.requests.append(request)
        return 0 if with_room else 1

    def _gang_could_fit(
        self, state: _Pass, step: StepRun, with_room: Sequence[PoolWorker]
    ) -> bool:
        """Return whether workers not known to be forbidden could hold the gang."""
        allowed = [w for w in with_room if self.book.may_be_allowed(step, w)]
        held = held_by(step)
        total = sum(_copies(held, state.free[w.id], step) for w in allowed)
        return total >= step.spec.count

    def _reserve(self, state: _Pass, step: StepRun, waiting: Sequence[Task]) -> int:
        """Keep the workers that are free first for the step; return 1 if any are."""
        most = max(1, len(state.workers) // RESERVED_DIVISOR)
        good = self.book.of(step).good if self._needs_advice(step) else {}
        held = held_by(step)
        allowed = [
            (w.id not in good, self._free_at_ms(state, w, held), w.id, w)
            for w in state.startable
            if w.id not in state.reserved
            and could_ever_hold(w, step)
            and self.book.may_be_allowed(step, w)
        ]
        missing = len(waiting)
        kept = 0
        for _, free_at_ms, _, worker in sorted(allowed, key=lambda row: row[:3]):
            if missing <= 0 or len(state.reserved) >= most:
                break
            state.reserved[worker.id] = free_at_ms
            missing -= max(1, _copies(held, worker.entry.capacity, step))
            kept += 1
        return int(kept > 0)

    def _free_at_ms(self, state: _Pass, worker: PoolWorker, held: Resources) -> float:
        """Return when enough runs should have ended for one more task."""
        room = state.free[worker.id]
        ends = []
        for run in worker.runs.values():
            spec = run.task.step.spec
            if spec.long_running:
                continue
            length_ms = self.durations.estimate_ms(run.task.step.job.record.queue, spec)
            left_ms = length_ms * (1 - min(99, run.percent) / 100)
            ends.append((run.percent_at_ms + left_ms, held_by(run.task.step)))
        free_at_ms = float(state.now_ms)
        for end_ms, freed in sorted(ends):
            if held.fits(room):
                break
            room = room.plus(freed)
            free_at_ms = max(free_at_ms, end_ms)
        return free_at_ms


def _coming(worker: PoolWorker) -> Resources:
    """Return the room that stops under way will free."""
    coming = ZERO
    for run in worker.runs.values():
        if run.state is RunState.STOPPING:
            coming = coming.plus(held_by(run.task.step))
    return coming


def _may_reserve(step: StepRun, queue: Queue, state: _Pass) -> bool:
    if queue.priority > RESERVING_PRIORITY or step.spec.fills:
        return False
    if step.spec.gang or step.spec.long_running:
        return True
    held = held_by(step)
    return any(
        held.dominant_share(w.entry.capacity) >= LARGE_TASK_SHARE
        for w in state.workers[:1]
    )


def _racks(
    step: StepRun, candidates: Sequence[PoolWorker]
) -> list[Sequence[PoolWorker]]:
    """Return groups of workers to try for a gang, best first."""
    if not step.spec.same_rack:
        return [candidates]
    racks: dict[str, list[PoolWorker]] = {}
    for worker in candidates:
        racks.setdefault(worker.entry.rack, []).append(worker)
    by_size = sorted(racks.values(), key=len, reverse=True)
    return [*by_size, candidates]


def _copies(held: Resources, free: Resources, step: StepRun) -> int:
    """Return how many tasks of the step fit into ``free``."""
    fitting = min(
        (f // h for f, h in zip(free, held, strict=True) if h > 0),
        default=step.spec.count,
    )
    if step.spec.max_per_worker:
        fitting = min(fitting, step.spec.max_per_worker)
    return max(0, min(fitting, step.spec.count))


def _tasks_per_worker(step: StepRun, workers: Sequence[PoolWorker]) -> float:
    if not workers:
        return 1.0
    held = held_by(step)
    return sum(_copies(held, w.free(), step) for w in workers) / len(workers)


def _rank(state: _Pass, step: StepRun, worker: PoolWorker) -> tuple[float, ...]:
    """Return how well a worker suits a task of the step; lower is better."""
    spec = step.spec
    free = state.free[worker.id]
    far = float(bool(spec.data_rack) and worker.entry.rack != spec.data_rack)
    if spec.fills:
        left = free.cores_milli - worker.fill_load()
        return (far, float(worker.serves()), -left)
    if spec.long_running:
        same = worker.count_of(step) + state.added.get((step.name, worker.id), 0)
        disturbed = float(worker.fill_load() > 0)
        return (far, same, disturbed, -free.cores_milli)
    # Best fit: what is left free is smallest, so large tasks find room later.
    left = free.minus(held_by(step))
    return (far, left.dominant_share(worker.entry.capacity))
