"""Estimates of task durations, learned per queue.

Load pattern: the estimates of some queues' callers are wrong by up to ten times, so
that a job which waited a little seems hopelessly late or far from due. The better
predictor is used: the declared duration or the typical duration of the queue.
"""

from __future__ import annotations

import math

from savorylead.jobs import StepSpec

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


class _QueueDurations:
    __slots__ = ("lengths", "ratios")

    def __init__(self) -> None:
        self.lengths = _LogAverage()
        self.ratios = _LogAverage()


class DurationEstimator:
    """Predicts the duration of tasks. Pure."""

    def __init__(self) -> None:
        self._queues: dict[str, _QueueDurations] = {}

    def observe(self, queue: str, spec: StepSpec, took_ms: int) -> None:
        """Record the duration of a task that ran in one piece and succeeded."""
        durations = self._queues.setdefault(queue, _QueueDurations())
        took = max(1, took_ms)
        durations.lengths.add(math.log(took))
        if spec.estimate_ms > 0:
            durations.ratios.add(math.log(took / spec.estimate_ms))

    def estimate_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the expected duration of a task of the step."""
        declared = spec.estimate_ms or DEFAULT_ESTIMATE_MS
        durations = self._queues.get(queue)
        if durations is None or durations.lengths.count < MIN_OBSERVATIONS:
            return declared
        lengths, ratios = durations.lengths, durations.ratios
        declares = spec.estimate_ms > 0 and ratios.count >= MIN_OBSERVATIONS
        if declares and ratios.variance < lengths.variance:
            return declared * ratios.lognormal_mean
        return lengths.lognormal_mean
