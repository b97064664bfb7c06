"""A queue's moving regression of actual on declared task durations.

Load pattern: callers' estimates are wrong by up to ten times in some queues and good
in others, and a few steps take seven times as long as their queue's other steps.
"""

from __future__ import annotations

import math
from typing import NamedTuple

#: Assumed duration of a task without a caller's estimate, in milliseconds.
DEFAULT_LOG_MS = math.log(1_000)
#: Declared durations beyond this, 11 days, are cut off in milliseconds, since a job may
#: declare a number that no float can represent.
MAX_DECLARED_MS = 1_000_000_000
#: Steps over which the moments move. The mean of log-normal durations with a standard
#: deviation of 1 is then known to 7%.
WINDOW_STEPS = 100.0
#: Weight of the assumption that declared durations are exact, in steps.
PRIOR_STEPS = 4.0
#: Assumed slope of actual on declared logarithms, and the assumed variance of declared
#: logarithms that gives this assumption its weight.
PRIOR_SLOPE = 0.7
PRIOR_DECLARED_VARIANCE = 0.3
#: Largest slope. Steeper ones come from few observations, or from a record that was not
#: written by this code.
MAX_SLOPE = 1.5
#: Assumed variance of the logarithm of a task's duration, given the declared one.
PRIOR_VARIANCE = 1.0
#: Assumed variance among the tasks of a step. Their 5th to 95th percentiles span a
#: factor of 1.8, which is a variance of 0.03, plus errors of the workers' factors.
INITIAL_WITHIN_VARIANCE = 0.05
#: Least variance among the tasks of a step: reports are rounded to milliseconds.
MIN_WITHIN_VARIANCE = 0.0025
#: Weight of the newest task in the moving variance among tasks of a step.
WITHIN_WEIGHT = 0.02
#: Least variance of the logarithms of the durations of steps, given the declared ones,
#: so that a step's own tasks always count.
MIN_STEP_VARIANCE = 0.01
#: Largest variance for which the mean of a log-normal distribution is computed; beyond
#: it, few observations would change the estimate by more than e^2.
MAX_VARIANCE = 4.0
#: Cached results per queue, so that memory is bounded.
MAX_CACHED = 512


class QueueMoments(NamedTuple):
    """What is recorded of a queue, of natural logarithms of milliseconds."""

    #: Number of observed steps; a part of a step counts in proportion.
    count: float = 0.0
    mean_actual: float = 0.0
    mean_declared: float = 0.0
    variance_actual: float = 0.0
    variance_declared: float = 0.0
    covariance: float = 0.0
    #: Variance among the tasks of one step.
    variance_within: float = INITIAL_WITHIN_VARIANCE


class Prediction(NamedTuple):
    """Distribution of a task's duration; all in natural logarithms of milliseconds."""

    mean: float
    #: Variance among steps.
    step_variance: float
    #: Variance among tasks of one step.
    within_variance: float
    #: What the logarithm of the mean duration exceeds ``mean`` by. It grows with the
    #: number of observations, so that a first estimate is the declared one.
    mean_shift: float

    @property
    def variance(self) -> float:
        """The variance among all tasks."""
        return self.step_variance + self.within_variance


class QueueRegression:
    """Learns a queue's durations, those of a typical worker."""

    __slots__ = ("_expected_ms", "_line", "moments")

    def __init__(self, moments: QueueMoments = QueueMoments()) -> None:  # noqa: B008 - immutable.
        self.moments = moments
        #: Intercept, slope, step variance and shift of the mean; None if outdated.
        self._line: tuple[float, float, float, float] | None = None
        #: Cached results by declared duration; a pass asks for the same ones often.
        self._expected_ms: dict[int, float] = {}

    def add(self, actual: float, declared_ms: int, weight: float) -> None:
        """Add a task's log duration; ``weight`` is its share of its step."""
        old = self.moments
        count = old.count + weight
        alpha = weight / min(count, WINDOW_STEPS)
        change = actual - old.mean_actual
        mean_declared = old.mean_declared
        variance_declared = old.variance_declared
        covariance = old.covariance
        if declared_ms > 0:
            # A task without a declared duration tells nothing of the relation.
            declared = log_declared(declared_ms) - mean_declared
            beta = alpha if mean_declared else 1.0
            mean_declared += beta * declared
            variance_declared = _moved(variance_declared, beta, declared * declared)
            covariance = _moved(covariance, beta, declared * change)
        self.moments = QueueMoments(
            count,
            old.mean_actual + alpha * change,
            mean_declared,
            _moved(old.variance_actual, alpha, change * change),
            variance_declared,
            covariance,
            old.variance_within,
        )
        self._forget_results()

    def add_within(self, deviation: float, others: float) -> None:
        """Add a task's deviation from the mean of ``others`` tasks of its step."""
        old = self.moments.variance_within
        sample = min(MAX_VARIANCE, deviation**2 * others / (others + 1))
        within = max(MIN_WITHIN_VARIANCE, old + WITHIN_WEIGHT * (sample - old))
        self.moments = self.moments._replace(variance_within=within)
        self._forget_results()

    def shift(self, by: float) -> None:
        """Follow a change of what a typical worker is."""
        if self.moments.count:
            mean = self.moments.mean_actual + by
            self.moments = self.moments._replace(mean_actual=mean)
            self._forget_results()

    def _forget_results(self) -> None:
        self._line = None
        self._expected_ms = {}

    def expected_ms(self, declared_ms: int) -> float:
        """Return the mean duration of tasks with this declared duration."""
        cached_ms = self._expected_ms.get(declared_ms)
        if cached_ms is not None:
            return cached_ms
        prediction = self.predict(declared_ms)
        result_ms = math.exp(prediction.mean + prediction.mean_shift)
        if len(self._expected_ms) >= MAX_CACHED:
            self._expected_ms = {}
        self._expected_ms[declared_ms] = result_ms
        return result_ms

    def predict(self, declared_ms: int) -> Prediction:
        """Return the distribution of the duration of a task."""
        within = self.moments.variance_within
        if declared_ms <= 0:
            return self._predict_undeclared()
        intercept, slope, step_variance, shift = self._line or self._fit()
        mean = intercept + slope * log_declared(declared_ms)
        return Prediction(mean, step_variance, within, shift)

    def _predict_undeclared(self) -> Prediction:
        moments = self.moments
        count = moments.count
        trust = count / (count + PRIOR_STEPS)
        mean = trust * moments.mean_actual + (1 - trust) * DEFAULT_LOG_MS
        variance = trust * moments.variance_actual + (1 - trust) * PRIOR_VARIANCE
        shift = trust * min(MAX_VARIANCE, moments.variance_actual) / 2
        return self._prediction(mean, variance, shift)

    def _prediction(self, mean: float, variance: float, shift: float) -> Prediction:
        within = self.moments.variance_within
        step_variance = max(MIN_STEP_VARIANCE, variance - within)
        return Prediction(mean, step_variance, within, shift)

    def _fit(self) -> tuple[float, float, float, float]:
        moments = self.moments
        count = moments.count
        prior = PRIOR_STEPS * PRIOR_DECLARED_VARIANCE
        slope = (count * moments.covariance + prior * PRIOR_SLOPE) / (
            count * moments.variance_declared + prior
        )
        slope = max(0.0, min(MAX_SLOPE, slope))
        # Variance about a line of this slope, which is not quite the best one.
        residual = max(
            0.0,
            moments.variance_actual
            - 2 * slope * moments.covariance
            + slope * slope * moments.variance_declared,
        )
        trust = count / (count + PRIOR_STEPS)
        variance = trust * residual + (1 - trust) * PRIOR_VARIANCE
        fitted = moments.mean_actual - slope * moments.mean_declared
        # Combines the regression with the declared duration as it stands.
        prediction = self._prediction(
            trust * fitted, variance, trust * min(MAX_VARIANCE, residual) / 2
        )
        self._line = (
            prediction.mean,
            trust * slope + (1 - trust),
            prediction.step_variance,
            prediction.mean_shift,
        )
        return self._line


def _moved(moment: float, alpha: float, product: float) -> float:
    """Return a moving second moment after a deviation from the mean."""
    return (1 - alpha) * (moment + alpha * product)


def log_declared(declared_ms: int) -> float:
    """Return the logarithm of a declared duration, or of the default for none."""
    if declared_ms <= 0:
        return DEFAULT_LOG_MS
    return math.log(min(MAX_DECLARED_MS, declared_ms))
