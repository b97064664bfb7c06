"""Throttles filler tasks that slow down serving tasks on the same worker.

Load pattern: long-running serving tasks share a worker with filler tasks, which use the
remaining cores. Filler tasks at full pace push the tail response time of the serving
tasks above its target.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from savorylead.jobs import Run, RunState

from ._pool_worker import PoolWorker

#: Tail response time, as a share of its target, above which filler tasks are slowed.
SLOW_ABOVE = 0.9
#: Tail response time, as a share of its target, below which filler tasks may speed up.
FASTER_BELOW = 0.6
#: Minimum time between two increases on one worker, in milliseconds.
STEP_UP_MS = 1_500
#: Percentage points added to the pace in one increase.
STEP_UP_PERCENT = 20
#: Pace after the first tail response time above the threshold; the next one pauses the
#: run.
SLOW_PERCENT = 30


class PaceOrder(NamedTuple):
    """A change of the pace of one run."""

    run: Run
    percent: int


class PaceController:
    """Slows filler tasks at once and speeds them up gradually; one instance a pool."""

    def __init__(self) -> None:
        self._raised_at: dict[str, int] = {}

    def decide(self, worker: PoolWorker, now_ms: int) -> list[PaceOrder]:
        """Return the pace changes that follow from a report of the worker."""
        fillers = [r for r in worker.runs.values() if _fills(r)]
        if not fillers:
            return []
        pressure = _pressure(worker.runs.values())
        if pressure > SLOW_ABOVE:
            self._raised_at[worker.id] = now_ms
            return [PaceOrder(r, _slower(r.paced)) for r in fillers if r.paced > 0]
        if pressure >= FASTER_BELOW:
            return []
        if now_ms - self._raised_at.get(worker.id, 0) < STEP_UP_MS:
            return []
        raised = [r for r in fillers if r.paced < 100]
        if raised:
            self._raised_at[worker.id] = now_ms
        return [PaceOrder(r, min(100, r.paced + STEP_UP_PERCENT)) for r in raised]


def _fills(run: Run) -> bool:
    return run.task.step.spec.fills and run.state is RunState.RUNNING


def _pressure(runs: Iterable[Run]) -> float:
    """Return the highest ratio of a tail response time to its target."""
    return max(
        (
            run.load / run.task.step.spec.target_ms
            for run in runs
            if run.task.step.spec.target_ms and run.state is RunState.RUNNING
        ),
        default=0.0,
    )


def _slower(percent: int) -> int:
    return SLOW_PERCENT if percent > SLOW_PERCENT else 0
