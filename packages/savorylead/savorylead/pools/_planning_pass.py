"""One pass of the planner: its decisions so far and the capacity that remains."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import cached_property
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from savorylead.jobs import Run, RunState, StepRun, Task
from savorylead.resources import ZERO, Resources

from ._advice import AdviceRequest, AdviceSlots
from ._failures import has_failed_on
from ._pool_worker import PoolWorker, reservation_of
from ._speed_classes import SpeedRanks

if TYPE_CHECKING:
    from ._copies import PlannedCopy

#: Age up to which a run is as likely to crash its worker as one that starts now, in
#: milliseconds.
NEW_RUN_MS = 60
#: A prime suspect waits until it can be isolated for at most this long after the crash,
#: in milliseconds. The crash itself is known only after three to four seconds.
ISOLATION_WAIT_MS = 6_000
#: Rank of a worker that is avoided, and of one that gets one task at a time.
AVOIDED_RANK = 1.0
PROBED_RANK = 0.5


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
    #: Waiting tasks that workers could hold but a team's limit blocks, by team.
    blocked_by_limit: dict[str, Resources]
    #: The next task or whole gang of each step that a team's limit blocks, by team, the
    #: most urgent first.
    blocked_pieces: dict[str, list[Resources]]
    #: Runs to stop in favour of more urgent tasks.
    preempted: list[Run]
    #: Steps whose turn begins in this pass, and how long their jobs have waited, in
    #: milliseconds.
    turns: list[tuple[StepRun, int]]
    #: Second runs to start beside first ones.
    copies: Sequence[PlannedCopy] = ()


class PlanningPass:
    """The state of one pass: free capacity after the placements decided so far."""

    def __init__(
        self,
        workers: Iterable[PoolWorker],
        now_ms: int,
        advice_slots: AdviceSlots,
        is_ending: Callable[[Run, int], bool],
        may_be_allowed: Callable[[StepRun, PoolWorker], bool],
        speeds: SpeedRanks | None = None,
    ) -> None:
        """``may_be_allowed()`` is False if a policy is known to forbid a worker.

        ``speeds`` is None if workers are not told apart by speed.
        """
        self.now_ms = now_ms
        self.speeds = speeds
        self.advice_slots = advice_slots
        self.workers = list(workers)
        #: Ids of the workers that should get one task at a time.
        self._probed = {w.id for w in self.workers if w.failures.is_probed()}
        #: Ranks by what is known against workers; those without an entry have 0.
        self.doubts = dict.fromkeys(self._probed, PROBED_RANK)
        #: Workers that would start tasks now.
        self.able = [w for w in self.workers if w.can_start(now_ms)]
        #: Those of them to which others are preferred, the first to be used first.
        self._avoided = sorted(
            (w for w in self.able if now_ms < w.avoided_until_ms()),
            key=lambda worker: worker.avoided_until_ms(),
        )
        self.doubts.update((w.id, AVOIDED_RANK) for w in self._avoided)
        self._probed -= {w.id for w in self._avoided}
        #: The others.
        self._trusted = [
            w for w in self.able if self.doubts.get(w.id, 0.0) < AVOIDED_RANK
        ]
        #: Workers on which tasks should start, unless a step may use few of them.
        self.startable = (
            self._trusted
            + self._avoided[: _to_be_used(len(self._avoided), len(self._trusted))]
        )
        self._may_be_allowed = may_be_allowed
        self.free = {w.id: w.free() for w in self.workers}
        self.free_cores = sum(
            max(0, self.free[w.id].cores_milli) for w in self.startable
        )
        self._is_ending = is_ending
        #: Resources held by runs that end by themselves as soon as if they were stopped
        #: now, by worker; computed on demand.
        self._ending: dict[str, Resources] = {}
        #: Resources held by long-running tasks, by worker; computed on demand.
        self._lasting: dict[str, Resources] = {}
        #: Tasks placed in this pass, by step name and worker.
        self.placed_counts: dict[tuple[str, str], int] = {}
        #: Ids of the jobs with tasks placed in this pass, by worker.
        self._jobs_placed: dict[str, set[str]] = {}
        #: Workers on which a prime suspect was placed in this pass, and its job's id.
        self._isolated: dict[str, str] = {}
        #: Free resources that pending advice requests already cover, by worker.
        self.requested: dict[str, Resources] = {}
        #: Reserved workers, and when each should be free for its reservation.
        self.reserved: dict[str, float] = {}
        #: Expected end of each run and what it frees, by worker; computed on demand.
        self.run_ends: dict[str, list[tuple[float, Resources]]] = {}
        #: When a worker should have capacity for a task, by the task's resources; valid
        #: for the free resources stored with it.
        self.free_at: dict[tuple[str, Resources], tuple[Resources, float]] = {}
        self.plan = Plan([], [], [], {}, {}, [], [])

    def sort_by_speed(self, workers: list[PoolWorker], step: StepRun) -> None:
        """Sort workers by their speed, those first that the step prefers.

        The order of others is kept.
        """
        speeds = self.speeds
        if speeds is not None:
            workers.sort(key=lambda worker: speeds.rank(step, worker))

    @cached_property
    def releasing(self) -> dict[str, Resources]:
        """Resources held by runs that are being stopped, by worker."""
        return {w.id: releasing_resources(w) for w in self.able}

    def startable_for(self, step: StepRun) -> list[PoolWorker]:
        """Return the workers on which tasks of a step should start.

        Of the workers that the step may use, now or once others end there, at most half
        are left out, and none if a gang could not start without them.
        """
        avoided = [w for w in self._avoided if self._may_use(step, w)]
        if not avoided:
            return self._trusted
        # No more than as many trusted ones are needed to leave out all avoided ones.
        trusted = (w for w in self._trusted if self._may_use(step, w))
        trusted_count = sum(1 for _ in islice(trusted, len(avoided)))
        used_count = _to_be_used(len(avoided), trusted_count)
        chosen = self._trusted + avoided[:used_count] if used_count else self._trusted
        if step.spec.gang and not could_start(step, chosen, None):
            return self._trusted + avoided
        return chosen

    def _may_use(self, step: StepRun, worker: PoolWorker) -> bool:
        """Return whether the step may fit on the worker, and is not forbidden there.

        What long-running tasks hold is not freed by waiting for them.
        """
        if not could_ever_hold(worker, step) or not self._may_be_allowed(step, worker):
            return False
        left = worker.entry.capacity.minus(self._held_for_good(worker))
        return reservation_of(step).fits(left)

    def _held_for_good(self, worker: PoolWorker) -> Resources:
        held = self._lasting.get(worker.id)
        if held is None:
            held = ZERO
            for run in worker.runs.values():
                if run.task.step.spec.long_running:
                    held = held.plus(reservation_of(run.task.step))
            self._lasting[worker.id] = held
        return held

    def _ending_on(self, worker: PoolWorker) -> Resources:
        ending = self._ending.get(worker.id)
        if ending is None:
            ending = ZERO
            for run in worker.runs.values():
                if self._is_ending(run, self.now_ms):
                    ending = ending.plus(reservation_of(run.task.step))
            self._ending[worker.id] = ending
        return ending

    def take_ending(
        self, workers: Iterable[PoolWorker], step: StepRun, missing: int
    ) -> int:
        """Promise resources of ending runs to a step; return for how many tasks."""
        held = reservation_of(step)
        promised = 0
        for worker in workers:
            while promised < missing:
                free, ending = self.free[worker.id], self._ending_on(worker)
                if not held.fits(free.plus(ending)):
                    break
                # Free resources are used first.
                used = Resources(
                    *(max(0, min(h, f)) for h, f in zip(held, free, strict=True))
                )
                self.free[worker.id] = free.minus(used)
                self._ending[worker.id] = ending.minus(held.minus(used))
                promised += 1
        return promised

    def allocate(self, worker: PoolWorker, step: StepRun) -> None:
        """Allocate the resources of one task of the step on the worker."""
        held = reservation_of(step)
        self.free[worker.id] = self.free[worker.id].minus(held)
        self.free_cores -= held.cores_milli
        key = (step.name, worker.id)
        self.placed_counts[key] = self.placed_counts.get(key, 0) + 1
        self._jobs_placed.setdefault(worker.id, set()).add(step.job.id)

    def isolate(self, worker: PoolWorker, step: StepRun) -> None:
        """Place no more tasks of other jobs where a prime suspect starts."""
        self._isolated[worker.id] = step.job.id

    def is_isolated_from(self, worker: PoolWorker, step: StepRun) -> bool:
        """Return whether no new run or prime suspect of other jobs is there."""
        if self._jobs_placed.get(worker.id, set()) - {step.job.id}:
            return False
        began_after_ms = self.now_ms - NEW_RUN_MS
        return not worker.hosts_other_suspects(step.job, self.now_ms) and not any(
            run.sent_at_ms > began_after_ms and run.task.step.job is not step.job
            for run in worker.runs.values()
        )

    def release(self, worker: PoolWorker, step: StepRun) -> None:
        """Undo ``allocate``."""
        held = reservation_of(step)
        self.free[worker.id] = self.free[worker.id].plus(held)
        self.free_cores += held.cores_milli
        self.placed_counts[(step.name, worker.id)] -= 1

    def fits_unrequested(self, worker: PoolWorker, step: StepRun) -> bool:
        """Return whether the task fits into what no pending request covers."""
        requested = self.requested.get(worker.id, ZERO)
        return reservation_of(step).fits(self.free[worker.id].minus(requested))

    def note_requested(self, available: Iterable[PoolWorker], step: StepRun) -> None:
        """Record the free resources that the step's pending request covers."""
        remaining = len(step.waiting())
        held = reservation_of(step)
        for worker in available:
            while remaining and self.fits_unrequested(worker, step):
                requested = self.requested.get(worker.id, ZERO)
                self.requested[worker.id] = requested.plus(held)
                remaining -= 1

    def has_capacity(self, worker: PoolWorker, step: StepRun) -> bool:
        """Return whether one more task of the step fits on the worker now."""
        if self._isolated.get(worker.id, step.job.id) != step.job.id:
            return False
        if not reservation_of(step).fits(self.free[worker.id]):
            return False
        if worker.id in self._probed and worker.id in self._jobs_placed:
            return False
        bound = step.spec.max_per_worker
        if not bound:
            return True
        placed = self.placed_counts.get((step.name, worker.id), 0)
        return worker.count_of(step) + placed < bound


def _to_be_used(avoided: int, trusted: int) -> int:
    """Return how many of the avoided workers have to be used nevertheless.

    If more than half are avoided, the others would have to do work that these can do as
    well: what they have in common is then rather the work.
    """
    return max(0, (avoided - trusted + 1) // 2)


def could_ever_hold(worker: PoolWorker, step: StepRun) -> bool:
    """Return whether an empty worker could run a task of the step."""
    label = step.spec.required_label
    if label and label not in worker.entry.labels:
        return False
    return reservation_of(step).fits(worker.entry.capacity)


def may_place(step: StepRun) -> bool:
    """Return whether tasks of the step wait; for a gang, whether none of it runs."""
    return bool(step.waiting()) and not (step.spec.gang and step.running())


def could_start(
    step: StepRun, workers: Iterable[PoolWorker], limit_left: Resources | None
) -> bool:
    """Return whether a task, or the whole gang, would fit on these workers if empty.

    ``room`` is what remains of the team's limit, None for no limit.
    """
    count = step.spec.count if step.spec.gang else 1
    if limit_left is not None and not step.spec.resources.times(count).fits(limit_left):
        return False
    held = reservation_of(step)
    for worker in workers:
        if could_ever_hold(worker, step):
            count -= copies_that_fit(held, worker.entry.capacity, step)
            if count <= 0:
                return True
    return False


def releasing_resources(worker: PoolWorker) -> Resources:
    """Return the resources held by runs that are being stopped."""
    releasing = ZERO
    for run in worker.runs.values():
        if run.state is RunState.STOPPING:
            releasing = releasing.plus(reservation_of(run.task.step))
    return releasing


def rack_groups(
    step: StepRun, candidates: Sequence[PoolWorker]
) -> list[Sequence[PoolWorker]]:
    """Return the groups of workers to try for a gang, best first."""
    if not step.spec.same_rack:
        return [candidates]
    racks: dict[str, list[PoolWorker]] = {}
    for worker in candidates:
        racks.setdefault(worker.entry.rack, []).append(worker)
    by_size = sorted(racks.values(), key=len, reverse=True)
    return [*by_size, candidates]


def copies_that_fit(held: Resources, free: Resources, step: StepRun) -> int:
    """Return how many tasks of the step fit into ``free``."""
    fitting = min(
        (f // h for f, h in zip(free, held, strict=True) if h > 0),
        default=step.spec.count,
    )
    if step.spec.max_per_worker:
        fitting = min(fitting, step.spec.max_per_worker)
    return max(0, min(fitting, step.spec.count))


def tasks_per_worker(step: StepRun, workers: Sequence[PoolWorker]) -> float:
    if not workers:
        return 1.0
    held = reservation_of(step)
    return sum(copies_that_fit(held, w.free(), step) for w in workers) / len(workers)


def suitability(
    state: PlanningPass, step: StepRun, worker: PoolWorker
) -> tuple[float, ...]:
    """Return the rank of a worker for a task of the step; lower is better."""
    spec = step.spec
    free = state.free[worker.id]
    # An attempt is worth more than a local copy of the data.
    failing = state.doubts.get(worker.id, 0.0) + has_failed_on(step, worker.id)
    remote = float(bool(spec.data_rack) and worker.entry.rack != spec.data_rack)
    cold = float(worker.is_cold(state.now_ms))
    risky = float(worker.hosts_other_suspects(step.job, state.now_ms))
    if spec.fills:
        remaining = free.cores_milli - worker.filler_demand_milli()
        return (failing, remote, cold, risky, float(worker.serves()), -remaining)
    if spec.long_running:
        of_same_step = worker.count_of(step) + state.placed_counts.get(
            (step.name, worker.id), 0
        )
        disturbed = float(worker.filler_demand_milli() > 0)
        return (
            failing,
            remote,
            cold,
            risky,
            of_same_step,
            disturbed,
            -free.cores_milli,
        )
    # A slower worker costs an urgent task more than best fit gains; of workers of one
    # class of speed, best fit decides.
    speed = 0
    if state.speeds is not None and not spec.gang:
        # Looked up without a call: a pass ranks workers a hundred thousand times.
        speed = state.speeds.by_queue[step.job.record.queue][worker.id]
    # Best fit: the least capacity remains, which leaves other workers for large tasks.
    remaining = free.minus(reservation_of(step))
    left = remaining.dominant_share(worker.entry.capacity)
    return (failing, remote, cold, risky, speed, left)


def choose_worker(
    state: PlanningPass, task: Task, usable: Sequence[PoolWorker], must_isolate: bool
) -> PoolWorker | None:
    """Return the best of the workers that have capacity for a task.

    A prime suspect starts apart from those of other jobs, and where a crash would hit
    the fewest jobs. If ``must_isolate``, it rather waits a while.
    """
    step = task.step
    if not task.is_prime_suspect:
        return min(usable, key=lambda w: suitability(state, step, w), default=None)
    if must_isolate and state.now_ms < task.crashes[-1].at_ms + ISOLATION_WAIT_MS:
        usable = [w for w in usable if state.is_isolated_from(w, step)]

    def rank(worker: PoolWorker) -> tuple[float, ...]:
        shared = float(not state.is_isolated_from(worker, step))
        runs = worker.runs.values()
        # A service is missed by its own users from the crash on.
        services = sum(run.task.step.spec.long_running for run in runs)
        jobs = len({run.task.step.job.id for run in runs})
        return (shared, services, jobs, *suitability(state, step, worker))

    return min(usable, key=rank, default=None)
