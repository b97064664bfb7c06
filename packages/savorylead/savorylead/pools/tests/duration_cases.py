"""Synthetic loads for the tests of learned durations."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from savorylead.jobs import StepRun
from savorylead.pools import DurationEstimator

from .pool_cases import step_of

#: Units of time that fast workers and the others need for the same work.
FAST, SLOW = 0.55, 1.2
#: Standard deviation of the logarithms of durations within a step.
TASK_DEVIATION = 0.18


class Load:
    """Runs steps one after the other on random workers, and lets an estimator learn."""

    def __init__(
        self, estimator: DurationEstimator, speeds: Sequence[float], seed: int
    ) -> None:
        """``speeds`` are the workers' units of time for the same work."""
        self.estimator = estimator
        self.rng = random.Random(seed)
        self.speeds = speeds
        self.tasks = 0
        self._steps = 0

    def run_step(
        self,
        length_ms: float,
        count: int,
        declared_ms: int = 1_000,
        queue: str = "normal",
        at_half: Callable[[StepRun], None] = lambda _: None,
    ) -> StepRun:
        """Run all tasks of a step; ``at_half(step)`` is called when half are done."""
        self._steps += 1
        step = step_of(f"job{self._steps}", queue, count=count, estimate_ms=declared_ms)
        ends = []
        for index in range(count):
            worker = self.rng.randrange(len(self.speeds))
            took_ms = length_ms * self.speeds[worker]
            took_ms *= self.rng.lognormvariate(0, TASK_DEVIATION)
            ends.append((took_ms, worker, index))
        for done, (took_ms, worker, index) in enumerate(sorted(ends)):
            if done == count // 2:
                at_half(step)
            step.mark_done(index)
            self.estimator.observe(step, f"w{worker}", round(took_ms))
            self.tasks += 1
        return step

    def factors(self) -> list[float]:
        """Return the learned factors of all workers."""
        return [self.estimator.factor(f"w{n}") for n in range(len(self.speeds))]


def bimodal(workers: int, fast_share: float = 0.25) -> list[float]:
    """Return the speeds of a pool in which some workers are fast."""
    fast = round(workers * fast_share)
    return [FAST] * fast + [SLOW] * (workers - fast)
