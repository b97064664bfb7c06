"""In which order waiting steps are served.

Load pattern: bursts of two to three times the usual load. Jobs that can still end
in time go first, then late ones that still earn a little, then those that earn
nothing any more; within each, the queue's priority, then the time by which the job
should end. Long-running steps are restarted first. Jobs that a team sends beyond its
weight wait behind the others.
"""

from __future__ import annotations

from typing import NamedTuple

from savorylead.jobs import StepRun

from ._contracts import Queue
from ._step_times import StepTimes

#: A job earns something until this many times its objective is over.
LATE_FACTOR = 3.0
#: Priority of long-running steps, ahead of every queue's.
LASTING_PRIORITY = -1
#: A job this much past its due time is not given up as late yet, since estimates
#: of its length are rough; a share of its objective.
DUE_SLACK = 0.15
#: Lateness of jobs that earn nothing any more.
NO_USE = 2


class Urgency(NamedTuple):
    """Sort key of a step; lower goes first."""

    #: 0 in time, 1 late, 2 earns nothing any more.
    lateness: int
    #: 1 for jobs beyond what the team's weight allows.
    surplus: int
    priority: int
    due_ms: int


def urgency_of(step: StepRun, queue: Queue, times: StepTimes, now_ms: int) -> Urgency:
    """Return where the step stands in line."""
    surplus = int(step.job.surplus)
    time = times.of(step, queue, now_ms)
    if step.spec.long_running:
        # It serves users of its own all the time, and is restarted before anything.
        return Urgency(0, 0, LASTING_PRIORITY, time.due_ms)
    objective_ms = time.due_ms - time.begun_ms
    end_ms = now_ms + time.remaining_ms
    if end_ms > time.begun_ms + LATE_FACTOR * objective_ms:
        return Urgency(NO_USE, surplus, queue.priority, time.due_ms)
    if end_ms > time.due_ms + DUE_SLACK * objective_ms:
        return Urgency(1, surplus, queue.priority, time.due_ms)
    return Urgency(0, surplus, queue.priority, time.due_ms)
