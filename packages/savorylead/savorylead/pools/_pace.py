"""Keeps tasks that fill from disturbing tasks that serve.

Load pattern: long-running tasks share a worker with tasks that use what is left,
and their tail response time rises above its target when these work.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from savorylead.jobs import Run, RunState

from ._pool_worker import PoolWorker

#: Tail, as a share of its target, above which what fills is slowed.
SLOW_ABOVE = 0.9
#: Tail, as a share of its target, below which what fills may go faster.
FASTER_BELOW = 0.6
#: Time between two steps up on one worker, in milliseconds.
STEP_UP_MS = 1_500
#: Percent by which what fills goes faster in one step.
STEP_UP_PERCENT = 20
#: The pace after the first tail above its target; the next one is a full stop.
SLOW_PERCENT = 30


class PaceOrder(NamedTuple):
    """Asks for a pace of one run."""

    run: Run
    percent: int


class PaceController:
    """Slows at once and speeds up slowly; one object for a pool."""

    def __init__(self) -> None:
        self._raised_at: dict[str, int] = {}

    def decide(self, worker: PoolWorker, now_ms: int) -> list[PaceOrder]:
        """Return the paces that should change after a report of the worker."""
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
    """Return the worst tail as a share of its target."""
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
