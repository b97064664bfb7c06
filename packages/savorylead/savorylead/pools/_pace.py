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
SLOW_DOWN_ABOVE = 0.9
#: Tail response time, as a share of its target, below which filler tasks may speed up.
SPEED_UP_BELOW = 0.6
#: Minimum time between two increases on one worker, in milliseconds.
SPEED_UP_INTERVAL_MS = 1_500
#: Percentage points added to the pace in one increase.
SPEED_UP_PERCENT = 20
#: Pace after the first tail response time above the threshold; the next one pauses the
#: run.
REDUCED_PERCENT = 30


class PaceOrder(NamedTuple):
    """A change of the pace of one run."""

    run: Run
    percent: int


class PaceController:
    """Slows filler tasks at once and speeds them up gradually; one instance a pool."""

    def __init__(self) -> None:
        self._last_changed_ms: dict[str, int] = {}

    def decide(self, worker: PoolWorker, now_ms: int) -> list[PaceOrder]:
        """Return the pace changes that follow from a report of the worker."""
        fillers = [r for r in worker.runs.values() if _is_running_filler(r)]
        if not fillers:
            return []
        tail_ratio = _worst_tail_ratio(worker.runs.values())
        if tail_ratio > SLOW_DOWN_ABOVE:
            self._last_changed_ms[worker.id] = now_ms
            return [
                PaceOrder(r, _reduced_pace(r.pace_percent))
                for r in fillers
                if r.pace_percent > 0
            ]
        if tail_ratio >= SPEED_UP_BELOW:
            return []
        if now_ms - self._last_changed_ms.get(worker.id, 0) < SPEED_UP_INTERVAL_MS:
            return []
        below_full = [r for r in fillers if r.pace_percent < 100]
        if below_full:
            self._last_changed_ms[worker.id] = now_ms
        return [
            PaceOrder(r, min(100, r.pace_percent + SPEED_UP_PERCENT))
            for r in below_full
        ]


def _is_running_filler(run: Run) -> bool:
    return run.task.step.spec.fills and run.state is RunState.RUNNING


def _worst_tail_ratio(runs: Iterable[Run]) -> float:
    """Return the highest ratio of a tail response time to its target."""
    return max(
        (
            run.load / run.task.step.spec.target_ms
            for run in runs
            if run.task.step.spec.target_ms and run.state is RunState.RUNNING
        ),
        default=0.0,
    )


def _reduced_pace(percent: int) -> int:
    return REDUCED_PERCENT if percent > REDUCED_PERCENT else 0
