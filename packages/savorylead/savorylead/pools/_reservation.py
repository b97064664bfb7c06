"""Reservation of workers for gangs and for tasks that need much of a worker.

Load pattern: tasks that take a large part of a worker, or members of a gang, compete
with a constant stream of small tasks that occupy capacity as soon as it is freed.
"""

from __future__ import annotations

import math
from collections.abc import Container

from savorylead.jobs import RunState, StepRun
from savorylead.resources import Resources

from ._advice import AdviceBook
from ._contracts import Queue
from ._planning_pass import PlanningPass, copies_that_fit, could_ever_hold
from ._pool_worker import PoolWorker, reservation_of
from ._run_ends import RunEnds

#: Divisor: reservations may cover at most 1/RESERVED_DIVISOR of the workers.
RESERVED_DIVISOR = 2
#: Share of a worker from which on a task counts as large and may reserve one.
LARGE_TASK_SHARE = 0.4
#: Least urgent priority whose steps may reserve workers.
RESERVING_PRIORITY = 1


class Reservation:
    """Chooses the workers to reserve, earliest free ones first. Pure."""

    def __init__(self, book: AdviceBook, run_ends: RunEnds) -> None:
        self._book = book
        self._run_ends = run_ends

    def reserve(
        self,
        state: PlanningPass,
        step: StepRun,
        missing: int,
        known_allowed: Container[str],
    ) -> int:
        """Reserve workers for ``missing`` tasks of a step; return 1 if any, else 0.

        Workers in ``known_allowed`` are known to be allowed and are preferred.
        """
        accepting = sum(1 for worker in state.workers if worker.accepts_tasks)
        max_reserved = max(1, accepting // RESERVED_DIVISOR)
        if len(state.reserved) >= max_reserved:
            return 0
        held = reservation_of(step)
        allowed = [
            (
                w.id not in known_allowed,
                not self._book.has_or_awaits_ticket(step, w, state.now_ms),
                self.free_at_ms(state, w, held),
                w.id,
                w,
            )
            for w in state.startable_for(step)
            if w.id not in state.reserved
            and could_ever_hold(w, step)
            and self._book.may_be_allowed(step, w)
            and self.free_at_ms(state, w, held) < math.inf
        ]
        chosen: dict[str, float] = {}
        for _, _, free_at_ms, _, worker in sorted(allowed, key=lambda row: row[:4]):
            if missing <= 0 or len(state.reserved) + len(chosen) >= max_reserved:
                break
            chosen[worker.id] = free_at_ms
            missing -= max(1, copies_that_fit(held, worker.entry.capacity, step))
        if step.spec.gang and chosen:
            # Other tasks may backfill the rest until the last worker is free.
            chosen = dict.fromkeys(chosen, max(chosen.values()))
        state.reserved.update(chosen)
        return int(bool(chosen))

    def free_at_ms(
        self, state: PlanningPass, worker: PoolWorker, held: Resources
    ) -> float:
        """Return when enough runs should have ended for one more task.

        Infinite if long-running tasks hold the resources.
        """
        free = state.free[worker.id]
        key = (worker.id, held)
        known = state.free_at.get(key)
        if known is not None and known[0] is free:
            return known[1]
        free_at_ms = self._estimate_free_at_ms(state, worker, held)
        state.free_at[key] = (free, free_at_ms)
        return free_at_ms

    def _estimate_free_at_ms(
        self, state: PlanningPass, worker: PoolWorker, held: Resources
    ) -> float:
        free = state.free[worker.id]
        if not held.fits(_capacity_without_long_running(worker)):
            return math.inf
        free_at_ms = float(state.now_ms)
        for end_ms, freed in self._ends(state, worker):
            if held.fits(free):
                break
            free = free.plus(freed)
            free_at_ms = max(free_at_ms, end_ms)
        return free_at_ms

    def _ends(
        self, state: PlanningPass, worker: PoolWorker
    ) -> list[tuple[float, Resources]]:
        """Return the expected ends of a worker's runs, and what each frees."""
        ends = state.run_ends.get(worker.id)
        if ends is None:
            ends = state.run_ends[worker.id] = sorted(
                (self._run_ends.ends_at_ms(run), reservation_of(run.task.step))
                for run in worker.runs.values()
                if not run.task.step.spec.long_running
            )
        return ends


def _capacity_without_long_running(worker: PoolWorker) -> Resources:
    """Return the capacity that long-running tasks leave, apart from those stopping."""
    remaining = worker.entry.capacity
    for run in worker.runs.values():
        if run.task.step.spec.long_running and run.state is not RunState.STOPPING:
            remaining = remaining.minus(reservation_of(run.task.step))
    return remaining


def may_reserve(step: StepRun, queue: Queue, state: PlanningPass) -> bool:
    """Return whether the step is urgent and large enough to reserve workers."""
    if queue.priority > RESERVING_PRIORITY or step.spec.fills:
        return False
    if step.spec.gang or step.spec.long_running:
        return True
    held = reservation_of(step)
    return any(
        held.dominant_share(w.entry.capacity) >= LARGE_TASK_SHARE
        for w in state.workers[:1]
    )
