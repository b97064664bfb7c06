"""Estimates of task durations, learned per queue.

Load pattern: the estimates of some queues' callers are wrong by up to ten times, so
that a job which waited a little seems hopelessly late or far from due. The better
predictor is used: the declared duration or the typical duration of the queue.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from savorylead.jobs import StepRun, StepSpec

#: Assumed duration of a task without a caller's estimate, in milliseconds.
DEFAULT_ESTIMATE_MS = 1_000
#: Completed tasks of a queue after which learned durations replace declared ones.
MIN_OBSERVATIONS = 8
#: Least weight of the newest observation in the moving averages.
MIN_WEIGHT = 0.05


class _LogAverage:
    """Exponentially weighted mean and variance of a logarithm."""

    __slots__ = ("count", "mean", "lognormal_mean", "variance")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.variance = 0.0
        #: Mean of the value itself under a log-normal distribution.
        self.lognormal_mean = 1.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(MIN_WEIGHT, 1 / self.count)
        change = value - self.mean
        self.mean += weight * change
        self.variance = (1 - weight) * (self.variance + weight * change * change)
        self.lognormal_mean = math.exp(self.mean + self.variance / 2)


class _QueueAverages:
    __slots__ = ("lengths", "ratios")

    def __init__(self) -> None:
        self.lengths = _LogAverage()
        self.ratios = _LogAverage()


class DurationEstimator(ABC):
    """Predicts the duration of tasks. Pure."""

    @abstractmethod
    def observe(self, step: StepRun, worker: str, took_ms: int) -> None:
        """Record the duration of a task that ran in one piece and succeeded."""

    @abstractmethod
    def estimate_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the expected duration of a task on a typical worker.

        It is the expectation before any task of the step has run.
        """

    def note_time(self, now_ms: int) -> None:  # noqa: B027 - optional.
        """Set the time by which cached estimates of steps are outdated."""

    def note_incarnation(  # noqa: B027 - optional.
        self, worker: str, incarnation_start_ms: int
    ) -> None:
        """Forget a worker's speed if another incarnation of it answers.

        ``incarnation_start_ms`` is 0 if unknown.
        """

    def step_ms(self, step: StepRun) -> float:
        """Return the expected duration, given what is known of the step's tasks."""
        return self.estimate_ms(step.job.record.queue, step.spec)

    def elsewhere_ms(self, step: StepRun, worker: str) -> float:
        """Return the expected duration, given the step's tasks on other workers."""
        return self.step_ms(step)

    def tail_ms(self, step: StepRun) -> float:
        """Return the duration below which 95 of 100 tasks of the step stay."""
        return self.step_ms(step)

    def factor(self, worker: str) -> float:
        """Return the duration of tasks on a worker relative to a typical one."""
        return 1.0


class QueueDurations(DurationEstimator):
    """Predicts from the averages of each queue, all workers alike."""

    def __init__(self) -> None:
        self._queues: dict[str, _QueueAverages] = {}

    def observe(self, step: StepRun, worker: str, took_ms: int) -> None:
        """Record the duration of a task that ran in one piece and succeeded."""
        spec = step.spec
        averages = self._queues.setdefault(step.job.record.queue, _QueueAverages())
        took = max(1, took_ms)
        averages.lengths.add(math.log(took))
        if spec.estimate_ms > 0:
            averages.ratios.add(math.log(took / spec.estimate_ms))

    def estimate_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the expected duration of a task on a typical worker."""
        declared = spec.estimate_ms or DEFAULT_ESTIMATE_MS
        averages = self._queues.get(queue)
        if averages is None or averages.lengths.count < MIN_OBSERVATIONS:
            return declared
        lengths, ratios = averages.lengths, averages.ratios
        declares = spec.estimate_ms > 0 and ratios.count >= MIN_OBSERVATIONS
        if declares and ratios.variance < lengths.variance:
            return declared * ratios.lognormal_mean
        return lengths.lognormal_mean
