"""Learned durations against the averages of each queue, on a synthetic load."""

from __future__ import annotations

import math
import random
import time

from bench._report import report
from savorylead.jobs import Job, JobRecord, JobSpec, StepRun, StepSpec
from savorylead.pools import DurationEstimator, LearnedDurations, QueueDurations
from savorylead.resources import Resources

WORKERS = 126
STEPS = 6_000
#: Units of time that the fast quarter of the workers and the others need for the same.
FAST, SLOW = 0.55, 1.2
#: Part of the steps that take longer than their callers know, and how many times.
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
#: Standard deviation of the logarithms of steps' durations, and among tasks of a step.
STEP_DEVIATION, TASK_DEVIATION = 0.66, 0.18
#: Median duration in milliseconds and the callers' error, by queue.
QUEUES = {
    "urgent": (740, 1.0),
    "advised": (2_000, 1.1),
    "normal": (1_500, 0.9),
    "batch": (4_000, 1.0),
    "accurate": (2_500, 0.27),
}
ESTIMATORS = (QueueDurations, LearnedDurations)


def _step(number: int, queue: str, count: int, declared_ms: int) -> StepRun:
    spec = StepSpec(count, Resources(1_000), estimate_ms=declared_ms)
    record = JobRecord(str(number), "pool", queue, "team", 0, JobSpec("", (spec,)))
    job = Job(record, 1)
    job.open_due(0)
    return next(job.steps())


class _Load:
    """Steps of all queues in turn, on workers of two speeds."""

    def __init__(self, estimator: DurationEstimator) -> None:
        self.estimator = estimator
        self._rng = random.Random(7)
        self.speeds = [FAST if n % 4 == 0 else SLOW for n in range(WORKERS)]
        #: Errors of the logarithms by queue and number of done tasks of the step.
        self.errors: dict[tuple[str, str], list[float]] = {}
        self.calls = 0
        self.spent_s = 0.0

    def run(self) -> None:
        """Observe all steps, and note errors in the second half."""
        for number in range(STEPS):
            queue = list(QUEUES)[number % len(QUEUES)]
            self._run_step(number, queue, number >= STEPS // 2)

    def _run_step(self, number: int, queue: str, is_measured: bool) -> None:
        rng = self._rng
        median_ms, error = QUEUES[queue]
        usual_ms = median_ms * rng.lognormvariate(0, STEP_DEVIATION)
        declared_ms = max(1, round(usual_ms * rng.lognormvariate(0, error)))
        length_ms = usual_ms * (LONG_FACTOR if rng.random() < LONG_SHARE else 1.0)
        count = rng.choice((1, 1, 2, 4, 8, 16))
        step = _step(number, queue, count, declared_ms)
        ends = []
        for index in range(count):
            worker = rng.randrange(WORKERS)
            took_ms = (
                length_ms * self.speeds[worker] * rng.lognormvariate(0, TASK_DEVIATION)
            )
            ends.append((took_ms, worker, index))
        ends.sort()
        for done in range(count):
            when = {0: "before", 1: "after_1", 4: "after_4"}.get(done)
            if when is not None and is_measured:
                self._note_errors(step, queue, when, ends[done:])
            took_ms, worker, index = ends[done]
            step.mark_done(index)
            began_s = time.perf_counter()
            self.estimator.observe(step, f"w{worker}", round(took_ms))
            self.spent_s += time.perf_counter() - began_s
            self.calls += 1

    def _note_errors(
        self,
        step: StepRun,
        queue: str,
        when: str,
        ends: list[tuple[float, int, int]],
    ) -> None:
        errors = self.errors.setdefault((queue, when), [])
        for took_ms, worker, _ in ends:
            expected_ms = self.estimator.step_ms(step)
            expected_ms *= self.estimator.factor(f"w{worker}")
            errors.append(math.log(took_ms / expected_ms))

    def factor_error(self) -> float:
        """Return the deviation of the logarithms of factors from the true ones."""
        logs = [
            math.log(self.estimator.factor(f"w{n}") / speed)
            for n, speed in enumerate(self.speeds)
        ]
        mean = sum(logs) / len(logs)
        return math.sqrt(sum((log - mean) ** 2 for log in logs) / len(logs))


def _rms(errors: list[float]) -> float:
    return math.sqrt(sum(error * error for error in errors) / len(errors))


def main() -> None:
    former, learned = (_Load(estimator()) for estimator in ESTIMATORS)
    for load in (former, learned):
        load.run()
    for key in learned.errors:
        name = f"error_of_log_{'_'.join(key)}"
        before, after = _rms(former.errors[key]), _rms(learned.errors[key])
        report("durations", name, after, "rms", before)
    report(
        "durations",
        "error_of_log_factors",
        learned.factor_error(),
        "rms",
        former.factor_error(),
    )
    report(
        "durations",
        "observe",
        1e6 * learned.spent_s / learned.calls,
        "us",
        1e6 * former.spent_s / former.calls,
    )


if __name__ == "__main__":
    main()
