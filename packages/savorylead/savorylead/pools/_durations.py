"""How long tasks take, learned by queue.

Load pattern: callers of some queues are wrong about the length of their tasks by up
to ten times, so that a job which waited a little looks hopeless or unhurried. Of the
declared length and the usual length of the queue, the better predictor is used.
"""

from __future__ import annotations

import math

from savorylead.jobs import StepSpec

#: Assumed length of a task whose caller gives no estimate, in milliseconds.
DEFAULT_ESTIMATE_MS = 1_000
#: Ends of a queue after which what was learned replaces what is declared.
ENDS_TO_TRUST = 8
#: Weight of the newest end.
WEIGHT = 0.05


class _Average:
    """Moving mean and variance of a logarithm."""

    __slots__ = ("count", "mean", "typical", "variance")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.variance = 0.0
        #: Mean of the value itself, were it log-normal.
        self.typical = 1.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(WEIGHT, 1 / self.count)
        change = value - self.mean
        self.mean += weight * change
        self.variance = (1 - weight) * (self.variance + weight * change * change)
        self.typical = math.exp(self.mean + self.variance / 2)


class _QueueDurations:
    __slots__ = ("lengths", "ratios")

    def __init__(self) -> None:
        self.lengths = _Average()
        self.ratios = _Average()


class DurationEstimator:
    """Predicts the length of tasks. Pure."""

    def __init__(self) -> None:
        self._queues: dict[str, _QueueDurations] = {}

    def observe(self, queue: str, spec: StepSpec, took_ms: int) -> None:
        """Learn from a task that ran from its start to a good end."""
        durations = self._queues.setdefault(queue, _QueueDurations())
        took = max(1, took_ms)
        durations.lengths.add(math.log(took))
        if spec.estimate_ms > 0:
            durations.ratios.add(math.log(took / spec.estimate_ms))

    def estimate_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the expected length of a task of the step."""
        declared = spec.estimate_ms or DEFAULT_ESTIMATE_MS
        durations = self._queues.get(queue)
        if durations is None or durations.lengths.count < ENDS_TO_TRUST:
            return declared
        lengths, ratios = durations.lengths, durations.ratios
        declares = spec.estimate_ms > 0 and ratios.count >= ENDS_TO_TRUST
        if declares and ratios.variance < lengths.variance:
            return declared * ratios.typical
        return lengths.typical
