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
        #: Critical paths by job and occurrence, which the steps of a pass share.
        self._chains: dict[tuple[str, int], float] = {}
        self._chains_at_ms = 0

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
        due_ms = begun_ms + int(self._objective_ms(step, queue, now_ms))
        time = StepTime(begun_ms, due_ms, self._remaining_ms(step), now_ms)
        step.time = time
        return time

    def objective_ms(self, queue: Queue, steps: Sequence[StepSpec]) -> float:
        """Return the time within which a job of these steps should end."""
        return queue.stretch * self.chain_ms(queue.name, steps) + queue.objective_ms

    def chain_ms(self, queue: str, steps: Sequence[StepSpec]) -> float:
        """Return the expected duration of a job's critical path."""
        estimate_ms = self._durations.estimate_ms
        return _chain_ms(steps, [estimate_ms(queue, step) for step in steps])

    def length_ms(self, step: StepRun) -> float:
        """Return the expected duration of a task of the step on a typical worker."""
        if _has_begun(step):
            return self._durations.step_ms(step)
        return self._durations.estimate_ms(step.job.record.queue, step.spec)

    def _objective_ms(self, step: StepRun, queue: Queue, now_ms: int) -> float:
        """Return the time within which the step's occurrence should end.

        An occurrence whose step turns out longer than estimated is due later by that,
        as is its critical path.
        """
        if now_ms != self._chains_at_ms:
            self._chains = {}
            self._chains_at_ms = now_ms
        key = (step.job.id, step.occurrence)
        chain_ms = self._chains.get(key)
        if chain_ms is None:
            steps = step.job.occurrences[step.occurrence]
            lengths_ms = [self.length_ms(each) for each in steps]
            chain_ms = _chain_ms(step.job.record.spec.steps, lengths_ms)
            self._chains[key] = chain_ms
        return queue.stretch * chain_ms + queue.objective_ms

    def _remaining_ms(self, step: StepRun) -> float:
        """Return the expected duration of the critical path from the step on."""
        steps = step.job.occurrences[step.occurrence]
        ends: dict[int, float] = {step.index: self.length_ms(step)}
        for later in steps[step.index + 1 :]:
            begins = [ends[i] for i in later.spec.after if i in ends]
            if begins:
                ends[later.index] = max(begins) + self.length_ms(later)
        return max(ends.values())


def _chain_ms(steps: Sequence[StepSpec], lengths_ms: Sequence[float]) -> float:
    """Return the duration of the critical path of steps of these durations."""
    ends: list[float] = []
    for step, length_ms in zip(steps, lengths_ms, strict=True):
        begin = max((ends[i] for i in step.after), default=0.0)
        ends.append(begin + length_ms)
    return max(ends, default=0.0)


def _has_begun(step: StepRun) -> bool:
    """Return whether a task of the step runs, has run or is done."""
    if step.done_count:
        return True
    return step.ready_at_ms is not None and any(
        task.run is not None or task.last_run for task in step.tasks
    )


def _begun_ms(job: Job, occurrence: int) -> int:
    spec = job.record.spec
    if spec.repeats:
        return spec.first_due_ms + occurrence * spec.interval_ms
    return job.record.accepted_at_ms
