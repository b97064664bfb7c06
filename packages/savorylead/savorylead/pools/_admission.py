"""Whether a job that its team sends beyond its share can still be served in time.

Load pattern: one team sends five times its share for some seconds. What is beyond the
share waits behind all else, often until nobody wants it any more; its caller is better
told so at once, and when to come back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylead.jobs import StepRun

from ._contracts import Queue
from ._pool_worker import PoolWorker
from ._step_times import StepTimes
from ._urgency import DUE_SLACK, NO_USE, urgency_of

#: Bounds of the time after which a caller is told to come back, in milliseconds: a
#: shorter one than a second can't be said in a Retry-After, and within half a minute
#: the load has changed.
SOONEST_MS = 1_000
LATEST_MS = 30_000


class Backlog(NamedTuple):
    """Work that waits in a pool, in thousandths of a core times milliseconds."""

    #: What is of use still, in queues that are as urgent as the new job's or more so.
    #: Jobs that are late by now were accepted too; were they passed over, each new one
    #: would be late in its turn.
    ahead: float
    #: All that waits.
    whole: float
    #: Thousandths of a core whose work will end by itself.
    draining_milli: int


def backlog_of(
    steps: Iterable[StepRun],
    workers: Iterable[PoolWorker],
    queues: Mapping[str, Queue],
    times: StepTimes,
    priority: int,
    now_ms: int,
) -> Backlog:
    """Return what a new job of a queue of that priority would wait for.

    ``steps`` are ready and not done.
    """
    ahead = whole = 0.0
    for step in steps:
        queue = queues.get(step.job.record.queue)
        if queue is None or step.spec.long_running:
            continue
        work = (
            len(step.waiting())
            * step.spec.resources.cores_milli
            * times.length_ms(step)
        )
        if not work:
            continue
        whole += work
        urgency = urgency_of(step, queue, times, now_ms)
        if urgency.lateness < NO_USE and urgency.priority <= priority:
            ahead += work
    draining_milli = sum(
        run.task.step.spec.resources.cores_milli
        for worker in workers
        for run in worker.runs.values()
        if not run.task.step.spec.long_running
    )
    return Backlog(ahead, whole, draining_milli)


def retry_after_ms(backlog: Backlog, needed_ms: float, objective_ms: float) -> int:
    """Return when the caller of a job beyond its team's share should come back.

    0 if the job, which needs ``needed_ms`` once it begins, can still end by its
    objective, or if nothing tells how fast the pool works.
    """
    if not backlog.draining_milli:
        return 0
    wait_ms = backlog.ahead / backlog.draining_milli
    if wait_ms + needed_ms <= objective_ms * (1 + DUE_SLACK):
        return 0
    return drained_after_ms(backlog)


def drained_after_ms(backlog: Backlog) -> int:
    """Return when all that waits now will have begun, within the bounds."""
    if not backlog.draining_milli:
        return LATEST_MS
    drained_ms = backlog.whole / backlog.draining_milli
    return int(min(LATEST_MS, max(SOONEST_MS, drained_ms)))
