"""Placement rules shared by all planners, as pure functions."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from savorylead.contracts import TaskId, TaskKind
from savorylead.resources import ZERO, Resources

from ._planner import Decision, PendingTask, Policy, Preempt

#: One in this many placements goes to the longest waiting task, regardless of shares.
AGEING_INTERVAL = 64
#: Longest declared run time of a task that may use reserved workers (backfill).
BACKFILL_RUN_MS = 10_000
#: Maximum number of urgent tasks with a claim on a worker at the same time in one
#: shard.
MAX_CLAIMS = 64
#: Interval between two searches for a task that needs a reservation.
RESERVATION_CHECK_MS = 1_000
#: Maximum number of waiting tasks or jobs for which one such search scans all workers.
RESERVATION_TRIES = 4
#: Interval between two searches for tasks to offer to other shards.
OVERFLOW_CHECK_MS = 1_000
#: Waiting time after which an urgent task may be offered to another shard.
URGENT_OVERFLOW_MS = 2_000
#: Waiting time after which any other task may be offered to another shard.
OVERFLOW_MS = 10_000
#: Minimum time between two offers of the same task to other shards.
OVERFLOW_RETRY_MS = 60_000
#: Maximum number of tasks or jobs offered to other shards by one search.
MAX_OVERFLOWS = 16
#: Part of cores and memory reserved for urgent work while it may not preempt.
URGENT_RESERVE_PERCENT = 2


class PackingOrder(NamedTuple):
    """Orders workers by free capacity; the lowest that suffices is the best fit.

    Free accelerators are compared first, so that workers with free accelerators are
    the last choice for tasks that need none; then the free amount of the scarcer of
    cores and memory, then that of the other.
    """

    #: Index of the scarcer of cores and memory in Resources, and of the other.
    scarce: int = 0
    plentiful: int = 1
    scarce_weight: int = 1
    accelerator_weight: int = 1
    #: Key of the largest worker without its accelerators, and with them.
    largest_key: int = 1
    largest_accelerated_key: int = 1

    @staticmethod
    def of_largest(largest: Resources, scarce: int) -> PackingOrder:
        """Return the order for a shard whose largest capacities are given."""
        plentiful = 1 - scarce
        scarce_weight = largest[plentiful] + 1
        largest_key = max((largest[scarce] + 1) * scarce_weight, 1)
        return PackingOrder(
            scarce=scarce,
            plentiful=plentiful,
            scarce_weight=scarce_weight,
            accelerator_weight=largest_key,
            largest_key=largest_key,
            largest_accelerated_key=largest_key * (largest.accelerators + 1),
        )

    def key(self, free: Resources) -> int:
        """Return the sort key of a free capacity."""
        return (
            free[2] * self.accelerator_weight
            + free[self.scarce] * self.scarce_weight
            + free[self.plentiful]
        )

    def leftover(self, free_key: int, need_key: int, accelerated: bool) -> float:
        """Return what stays free, as a fraction of the largest worker of its kind."""
        largest_key = self.largest_accelerated_key if accelerated else self.largest_key
        return (free_key - need_key) / largest_key


def placement_cost(
    policy: Policy,
    leftover: float,
    same_in_rack: int,
    wastes_accelerators: bool,
) -> float:
    """Return the cost of placing a task on a worker; the lowest cost is the best.

    ``leftover`` is the fraction of a whole worker that stays free, and
    ``same_in_rack`` counts the services of the same workspace in the rack.
    """
    cost = policy.packing_weight * leftover
    if wastes_accelerators:
        cost += policy.accelerator_guard_weight
    return cost + policy.spread_weight * same_in_rack


def weighted_share(used: Resources, fleet: Resources, weight: float) -> float:
    """Return the team's dominant share of the fleet divided by its weight."""
    if weight <= 0:
        return float("inf")
    return used.dominant_share(fleet) / weight


def is_gang(task: PendingTask) -> bool:
    """Return whether the task is a member of an all-at-once job."""
    return task.spec.kind is TaskKind.ALL_AT_ONCE


def unit_of(task: PendingTask) -> TaskId:
    """Return the id of the unit that starts together: the job, or the task itself."""
    task_id = task.spec.id
    return task_id.job() if is_gang(task) else task_id


def total_need(tasks: Iterable[PendingTask]) -> Resources:
    """Return the total request of the tasks."""
    need = ZERO
    for task in tasks:
        need = need.plus(task.spec.resources)
    return need


def subject(decision: Decision) -> TaskId:
    """Return the waiting task that the decision is for."""
    if isinstance(decision, Preempt):
        return decision.beneficiary
    return decision.task


def may_backfill(task: PendingTask) -> bool:
    """Return whether the declared run time is short enough for backfill."""
    return 0 < task.spec.run_time_ms <= BACKFILL_RUN_MS


def is_preemptible(task: PendingTask) -> bool:
    """Return whether the task may be checkpointed in favour of another.

    Tasks that must not be repeated are never preempted.
    """
    spec = task.spec
    return spec.kind is TaskKind.BATCH and spec.repeatable and not spec.urgent


def equivalence_class(task: PendingTask) -> Hashable:
    """Return a key that is equal for tasks of a team that fit on the same workers."""
    spec = task.spec
    if spec.kind is TaskKind.ALL_AT_ONCE:
        return spec.id.job()
    workspace = spec.id.workspace if spec.kind is TaskKind.SERVICE else ""
    return (
        spec.kind,
        spec.urgent,
        spec.resources,
        workspace,
        task.avoid,
        may_backfill(task),
    )


def urgent_reserve(capacity: Resources) -> Resources:
    """Return what other work must leave free while urgent work may not preempt."""
    return Resources(
        cores_milli=capacity.cores_milli * URGENT_RESERVE_PERCENT // 100,
        memory_mb=capacity.memory_mb * URGENT_RESERVE_PERCENT // 100,
    )


class Running(Protocol):
    """A running task, as far as the choice of preemption victims needs it."""

    @property
    def task(self) -> PendingTask:
        """The task as it was placed."""


AnyRunning = TypeVar("AnyRunning", bound=Running)


def fewest_victims(
    need: Resources, free: Resources, candidates: Sequence[AnyRunning]
) -> list[AnyRunning]:
    """Return candidates whose end frees enough for ``need``, in the given order.

    No victim is superfluous. Empty if all candidates together are not enough.
    """
    chosen: list[AnyRunning] = []
    for candidate in candidates:
        if need.fits(free):
            break
        chosen.append(candidate)
        free = free.plus(candidate.task.spec.resources)
    if not need.fits(free):
        return []
    for candidate in list(chosen):
        without = free.minus(candidate.task.spec.resources)
        if need.fits(without):
            chosen.remove(candidate)
            free = without
    return chosen


class Claim(NamedTuple):
    """Capacity on one worker that is being freed for an urgent task."""

    worker: str
    need: Resources
    until_ms: int


class Reservation(NamedTuple):
    """Workers reserved for a waiting job until it fits on them."""

    #: Id of the task, or of the first member of the job.
    job: TaskId
    workers: frozenset[str]
    until_ms: int
