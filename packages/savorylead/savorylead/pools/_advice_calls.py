"""Chooses the advice requests of a planner pass.

Load patterns: many steps wait for the same capacity, and each request for a step that
will not get it delays another; gangs need several workers that become free one by one.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from savorylead.jobs import StepRun

from ._advice import AdviceBook, AdviceRequest
from ._contracts import Queue
from ._gang_advice import GangCapacity
from ._planning_pass import (
    PlanningPass,
    copies_that_fit,
    could_ever_hold,
    tasks_per_worker,
)
from ._pool_worker import PoolWorker, reservation_of
from ._preemption import Preemption
from ._reservation import Reservation
from ._urgency import LONG_RUNNING_PRIORITY


class AdviceCalls:
    """Adds advice requests to a plan, most urgent steps first. Pure."""

    def __init__(self, book: AdviceBook, reservation: Reservation) -> None:
        self._book = book
        self._reservation = reservation

    def add(
        self,
        state: PlanningPass,
        preemption: Preemption,
        step: StepRun,
        queue: Queue,
        candidates: Sequence[PoolWorker],
        may_request_early: bool,
        may_preempt: bool,
    ) -> int:
        """Add a request if due; return 1 if no worker has capacity yet, else 0."""
        assert queue.advice is not None
        priority = LONG_RUNNING_PRIORITY if step.spec.long_running else queue.priority
        available = [w for w in candidates if state.has_capacity(w, step)]
        if priority > 0:
            # Capacity that other pending requests cover is not available.
            available = [w for w in available if state.fits_unrequested(w, step)]
        if self._book.of(step).pending:
            state.note_requested(available, step)
            return 0
        if not state.advice_slots.allow(queue.advice.decide_ms):
            return 0
        if may_preempt and (step.spec.gang or not available):
            preemptable = [
                w
                for w in preemption.preemptable_workers(
                    step, priority, state.startable_for(step), state.free
                )
                if w.id not in state.reserved and w.id not in state.requested
            ]
            state.sort_by_speed(preemptable, step)
        else:
            preemptable = []
        if step.spec.gang:
            request = self._for_gang(state, step, queue, available, preemptable)
        else:
            available = available or preemptable
            if not available and (not may_request_early or self._book.of(step).good):
                return 0
            request = self._for_tasks(state, step, queue, available)
        if request is None or not state.advice_slots.allow(request.expected_ms):
            return 0
        state.advice_slots = state.advice_slots.without(request.expected_ms)
        state.note_requested(available, step)
        state.plan.requests.append(request)
        return 0 if available else 1

    def _for_tasks(
        self,
        state: PlanningPass,
        step: StepRun,
        queue: Queue,
        available: Sequence[PoolWorker],
    ) -> AdviceRequest | None:
        """Return the request for a step whose tasks start independently."""
        assert queue.advice is not None
        others = _eligible_workers(state, step)
        others.sort(key=lambda w: -state.free[w.id].cores_milli)
        state.sort_by_speed(others, step)
        fitting = tasks_per_worker(step, available or others)
        return self._book.request(
            step, queue.advice, available, others, fitting, state.now_ms
        )

    def _for_gang(
        self,
        state: PlanningPass,
        step: StepRun,
        queue: Queue,
        available: Sequence[PoolWorker],
        preemptable: Sequence[PoolWorker],
    ) -> AdviceRequest | None:
        """Return the request for a gang.

        ``available`` could start one of its tasks now; ``preemptable`` could start one
        after preemption of less urgent work.
        """
        assert queue.advice is not None
        held = reservation_of(step)
        available_ids = {w.id for w in available}
        preemptable_ids = {w.id for w in preemptable}
        capacities = []
        for worker in _eligible_workers(state, step):
            copies = 1
            if worker.id in available_ids:
                copies = copies_that_fit(held, state.free[worker.id], step)
                free_at_ms = float(state.now_ms)
            elif worker.id in preemptable_ids:
                free_at_ms = float(state.now_ms)
            else:
                free_at_ms = max(
                    self._reservation.free_at_ms(state, worker, held),
                    worker.may_start_at_ms(),
                )
                if free_at_ms == math.inf:
                    # It is not known when the worker may start a task.
                    continue
                if worker.id in state.reserved:
                    # Reserved for another step, but may be named to learn the policy.
                    free_at_ms = math.inf
            empty = copies_that_fit(held, worker.entry.capacity, step)
            capacities.append(GangCapacity(worker, max(1, copies), empty, free_at_ms))
        fitting = tasks_per_worker(step, available or [r.worker for r in capacities])
        return self._book.request_for_gang(
            step, queue.advice, capacities, fitting, state.now_ms
        )


def _eligible_workers(state: PlanningPass, step: StepRun) -> list[PoolWorker]:
    """Return the workers that could hold a task of the step once they are free."""
    return [
        w
        for w in state.workers
        if w.accepts_tasks and w.usable and could_ever_hold(w, step)
    ]
