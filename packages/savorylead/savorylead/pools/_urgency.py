"""The order in which waiting steps are served.

Load pattern: bursts of two to three times the usual load. Jobs that can still end
in time go first, then late ones that still score a little, then those that score
nothing any more; within each, jobs within their team's weight precede those beyond it,
then the queue's priority and the due time decide. Long-running steps are restarted
first.
"""

from __future__ import annotations

from typing import NamedTuple

from savorylead.jobs import StepRun

from ._contracts import Queue
from ._step_times import StepTimes

#: A late job still has value until this many times its objective has passed.
LATE_FACTOR = 3.0
#: Priority of long-running steps, higher than that of any queue.
LONG_RUNNING_PRIORITY = -1
#: Tolerance past the due time before a job counts as late, as a share of its objective,
#: since estimates of its length are rough.
DUE_TOLERANCE = 0.15
#: Lateness of jobs whose result has no value any more.
NO_VALUE = 2


class Urgency(NamedTuple):
    """Sort key of a step; lower goes first."""

    #: 0 in time, 1 late, 2 too late to have any value.
    lateness: int
    #: 1 for jobs beyond the team's weight, else 0.
    surplus: int
    priority: int
    due_ms: int


def urgency_of(step: StepRun, queue: Queue, times: StepTimes, now_ms: int) -> Urgency:
    """Return the sort key of a step."""
    surplus = int(step.job.surplus)
    time = times.of(step, queue, now_ms)
    if step.spec.long_running:
        # It serves its own users continuously, so it is restarted before all others.
        return Urgency(0, 0, LONG_RUNNING_PRIORITY, time.due_ms)
    objective_ms = time.due_ms - time.begun_ms
    end_ms = now_ms + time.remaining_ms
    if end_ms > time.begun_ms + LATE_FACTOR * objective_ms:
        return Urgency(NO_VALUE, surplus, queue.priority, time.due_ms)
    if end_ms > time.due_ms + DUE_TOLERANCE * objective_ms:
        return Urgency(1, surplus, queue.priority, time.due_ms)
    return Urgency(0, surplus, queue.priority, time.due_ms)
