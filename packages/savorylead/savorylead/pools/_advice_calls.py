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
from ._gang_advice import GangRoom
from ._planning_pass import (
    PlanningPass,
    copies_that_fit,
    could_ever_hold,
    tasks_per_worker,
)
from ._pool_worker import PoolWorker, held_by
from ._preemption import Preemption
from ._reservation import Reservation
from ._urgency import LASTING_PRIORITY


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
        may_ask_ahead: bool,
        may_displace: bool,
    ) -> int:
        """Add a request if due; return 1 if no worker has capacity yet, else 0."""
        assert queue.advice is not None
        priority = LASTING_PRIORITY if step.spec.long_running else queue.priority
        with_room = [w for w in candidates if state.has_room(w, step)]
        if priority > 0:
            # Capacity that other pending requests cover is not available.
            with_room = [w for w in with_room if state.may_ask_for(w, step)]
        if self._book.of(step).pending:
            state.note_asked(with_room, step)
            return 0
        if not state.advice_slots.allow(queue.advice.decide_ms):
            return 0
        if may_displace and (step.spec.gang or not with_room):
            makeable = [
                w
                for w in preemption.could_make_room(
                    step, priority, state.startable, state.free
                )
                if w.id not in state.reserved and w.id not in state.asked_for
            ]
        else:
            makeable = []
        if step.spec.gang:
            request = self._for_gang(state, step, queue, with_room, makeable)
        else:
            with_room = with_room or makeable
            if not with_room and (not may_ask_ahead or self._book.of(step).good):
                return 0
            request = self._for_tasks(state, step, queue, with_room)
        if request is None or not state.advice_slots.allow(request.expected_ms):
            return 0
        state.advice_slots = state.advice_slots.without(request.expected_ms)
        state.note_asked(with_room, step)
        state.plan.requests.append(request)
        return 0 if with_room else 1

    def _for_tasks(
        self,
        state: PlanningPass,
        step: StepRun,
        queue: Queue,
        with_room: Sequence[PoolWorker],
    ) -> AdviceRequest | None:
        """Return the request for a step whose tasks start independently."""
        assert queue.advice is not None
        others = _able(state, step)
        others.sort(key=lambda w: -state.free[w.id].cores_milli)
        fitting = tasks_per_worker(step, with_room or others)
        return self._book.request(
            step, queue.advice, with_room, others, fitting, state.now_ms
        )

    def _for_gang(
        self,
        state: PlanningPass,
        step: StepRun,
        queue: Queue,
        with_room: Sequence[PoolWorker],
        makeable: Sequence[PoolWorker],
    ) -> AdviceRequest | None:
        """Return the request for a gang.

        ``with_room`` could start one of its tasks now; on ``makeable`` one could start
        after preemption of less urgent work.
        """
        assert queue.advice is not None
        held = held_by(step)
        now = {w.id for w in with_room}
        soon = {w.id for w in makeable}
        rooms = []
        for worker in _able(state, step):
            copies = 1
            if worker.id in now:
                copies = copies_that_fit(held, state.free[worker.id], step)
                free_at_ms = float(state.now_ms)
            elif worker.id in soon:
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
            rooms.append(GangRoom(worker, max(1, copies), empty, free_at_ms))
        fitting = tasks_per_worker(step, with_room or [r.worker for r in rooms])
        return self._book.request_for_gang(
            step, queue.advice, rooms, fitting, state.now_ms
        )


def _able(state: PlanningPass, step: StepRun) -> list[PoolWorker]:
    """Return the workers that could hold a task of the step once they are free."""
    return [
        w
        for w in state.workers
        if w.entry.accepting and w.usable and could_ever_hold(w, step)
    ]
