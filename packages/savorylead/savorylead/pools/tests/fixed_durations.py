"""A fixed estimator of durations for tests of the planner."""

from __future__ import annotations

from collections.abc import Mapping

from savorylead.jobs import StepRun, StepSpec
from savorylead.pools import DurationEstimator, PoolPlanner, SchedulingPolicy

LEARNS = SchedulingPolicy(learns_durations=True)


class FixedDurations(DurationEstimator):
    """Knows declared durations, those that steps show, and factors of workers."""

    def __init__(
        self,
        factors: Mapping[str, float] | None = None,
        shown_ms: Mapping[str, float] | None = None,
    ) -> None:
        """``shown_ms`` are the durations that steps show, by step name."""
        self.factors = dict(factors or {})
        self.shown_ms = dict(shown_ms or {})

    def observe(self, step: StepRun, worker: str, took_ms: int) -> None:
        pass

    def estimate_ms(self, queue: str, spec: StepSpec) -> float:
        return float(spec.estimate_ms)

    def step_ms(self, step: StepRun) -> float:
        estimate_ms = self.estimate_ms(step.job.record.queue, step.spec)
        return self.shown_ms.get(step.name, estimate_ms)

    def factor(self, worker: str) -> float:
        return self.factors.get(worker, 1.0)


def learning_planner(
    factors: Mapping[str, float] | None = None,
    shown_ms: Mapping[str, float] | None = None,
) -> PoolPlanner:
    return PoolPlanner(LEARNS, FixedDurations(factors, shown_ms))
