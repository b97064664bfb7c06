"""In which order waiting steps are served.

Load pattern: bursts of two to three times the usual load. Jobs that can still end
in time go first, then late ones that still earn a little, then those that earn
nothing any more; within each, the queue's priority, then the time by which the job
should end. Long-running steps are restarted first. Jobs that a team sends beyond its
weight wait behind the others.
"""

from __future__ import annotations

from typing import NamedTuple

from savorylead.jobs import Job, StepRun

from ._contracts import Queue
from ._durations import DurationEstimator

#: A job earns something until this many times its objective is over.
LATE_FACTOR = 3.0
#: Priority of long-running steps, ahead of every queue's.
LASTING_PRIORITY = -1
#: A job this much past its due time is not given up as late yet, since estimates
#: of its length are rough; a share of its objective.
DUE_SLACK = 0.15


class Urgency(NamedTuple):
    """Sort key of a step; lower goes first."""

    #: 0 in time, 1 late, 2 earns nothing any more.
    lateness: int
    #: 1 for jobs beyond what the team's weight allows.
    surplus: int
    priority: int
    due_ms: int


def chain_ms(job: Job, durations: DurationEstimator) -> float:
    """Return the longest chain of expected work of the job."""
    ends: list[float] = []
    for step in job.record.spec.steps:
        begin = max((ends[i] for i in step.after), default=0.0)
        ends.append(begin + durations.estimate_ms(job.record.queue, step))
    return max(ends, default=0.0)


def remaining_chain_ms(step: StepRun, durations: DurationEstimator) -> float:
    """Return the longest chain of expected work from the step on."""
    queue = step.job.record.queue
    steps = step.job.record.spec.steps
    ends: dict[int, float] = {step.index: durations.estimate_ms(queue, step.spec)}
    for index in range(step.index + 1, len(steps)):
        begins = [ends[i] for i in steps[index].after if i in ends]
        if begins:
            length = durations.estimate_ms(queue, steps[index])
            ends[index] = max(begins) + length
    return max(ends.values())


def begun_ms(job: Job, occurrence: int) -> int:
    """Return when the clock of an occurrence began."""
    spec = job.record.spec
    if spec.repeats:
        return spec.first_due_ms + occurrence * spec.interval_ms
    return job.record.accepted_at_ms


def due_ms(
    job: Job, queue: Queue, occurrence: int, durations: DurationEstimator
) -> int:
    """Return when the occurrence should have ended, in Unix milliseconds."""
    objective_ms = queue.stretch * chain_ms(job, durations) + queue.objective_ms
    return begun_ms(job, occurrence) + int(objective_ms)


def urgency_of(
    step: StepRun, queue: Queue, durations: DurationEstimator, now_ms: int
) -> Urgency:
    """Return where the step stands in line."""
    job = step.job
    due = due_ms(job, queue, step.occurrence, durations)
    surplus = int(job.surplus)
    if step.spec.long_running:
        # It serves users of its own all the time, and is restarted before anything.
        return Urgency(0, 0, LASTING_PRIORITY, due)
    begun = begun_ms(job, step.occurrence)
    objective_ms = due - begun
    end_ms = now_ms + remaining_chain_ms(step, durations)
    if end_ms > begun + LATE_FACTOR * objective_ms:
        return Urgency(2, surplus, queue.priority, due)
    if end_ms > due + DUE_SLACK * objective_ms:
        return Urgency(1, surplus, queue.priority, due)
    return Urgency(0, surplus, queue.priority, due)
