"""Due times of steps, and the expected remaining duration of their jobs.

Load pattern: hundreds of steps wait while hundreds of tasks run. Each planning pass
compares all waiting steps, and their critical paths hardly change between two passes,
so the times are cached.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from savorylead.jobs import Job, StepRun, StepSpec

from ._contracts import Queue
from ._durations import DurationEstimator

#: How long the times of a step are cached, in milliseconds: a fifth of a short task's
#: duration, so that newly learned durations soon affect the order of steps.
CACHE_TTL_MS = 200


class StepTime(NamedTuple):
    """Cached times of one step; points in time are in Unix milliseconds."""

    #: Start of the time that counts towards the occurrence's objective.
    begun_ms: int
    #: Time by which the occurrence should have ended.
    due_ms: int
    #: Expected duration of the critical path from the step on, in milliseconds.
    remaining_ms: float
    computed_at_ms: int


class StepTimes:
    """Computes and caches the times of steps."""

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations

    def of(self, step: StepRun, queue: Queue, now_ms: int) -> StepTime:
        """Return the times of a step."""
        time = step.time
        if (
            isinstance(time, StepTime)
            and 0 <= now_ms - time.computed_at_ms < CACHE_TTL_MS
        ):
            return time
        job = step.job
        begun_ms = _begun_ms(job, step.occurrence)
        due_ms = begun_ms + int(self.objective_ms(queue, job.record.spec.steps))
        time = StepTime(begun_ms, due_ms, self._remaining_ms(step), now_ms)
        step.time = time
        return time

    def objective_ms(self, queue: Queue, steps: Sequence[StepSpec]) -> float:
        """Return the time within which a job of these steps should end."""
        return queue.stretch * self.chain_ms(queue.name, steps) + queue.objective_ms

    def chain_ms(self, queue: str, steps: Sequence[StepSpec]) -> float:
        """Return the expected duration of a job's critical path."""
        ends: list[float] = []
        for step in steps:
            begin = max((ends[i] for i in step.after), default=0.0)
            ends.append(begin + self._durations.estimate_ms(queue, step))
        return max(ends, default=0.0)

    def length_ms(self, step: StepRun) -> float:
        """Return the expected duration of a task of the step."""
        return self._durations.estimate_ms(step.job.record.queue, step.spec)

    def _remaining_ms(self, step: StepRun) -> float:
        """Return the expected duration of the critical path from the step on."""
        queue = step.job.record.queue
        steps = step.job.record.spec.steps
        estimate_ms = self._durations.estimate_ms
        ends: dict[int, float] = {step.index: estimate_ms(queue, step.spec)}
        for index in range(step.index + 1, len(steps)):
            begins = [ends[i] for i in steps[index].after if i in ends]
            if begins:
                ends[index] = max(begins) + estimate_ms(queue, steps[index])
        return max(ends.values())


def _begun_ms(job: Job, occurrence: int) -> int:
    spec = job.record.spec
    if spec.repeats:
        return spec.first_due_ms + occurrence * spec.interval_ms
    return job.record.accepted_at_ms
