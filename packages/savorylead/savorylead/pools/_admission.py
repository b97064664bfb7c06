"""Admission control for jobs that exceed their team's share.

Load pattern: one team submits five times its share for some seconds. The jobs beyond
the share wait behind all others, often until their results are useless, so their
callers are refused at once with a Retry-After instead.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylead.jobs import StepRun

from ._contracts import Queue
from ._pool_worker import PoolWorker
from ._step_times import StepTimes
from ._urgency import DUE_TOLERANCE, NO_VALUE, urgency_of

#: Bounds of the Retry-After given to a refused caller, in milliseconds. The header
#: has whole seconds, and after half a minute the load has changed.
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 30_000


class Backlog(NamedTuple):
    """Waiting work of a pool, in thousandths of a core times milliseconds."""

    #: Work that is still useful, in queues at least as urgent as the new job's. It
    #: includes late jobs: they were accepted too, and if they were skipped, each newly
    #: accepted job would become late in turn.
    ahead: float
    #: All waiting work.
    total: float
    #: Thousandths of a core that run finite tasks and will be available to others.
    draining_milli: int


def backlog_of(
    steps: Iterable[StepRun],
    workers: Iterable[PoolWorker],
    queues: Mapping[str, Queue],
    times: StepTimes,
    priority: int,
    now_ms: int,
) -> Backlog:
    """Return the work that a new job in a queue of that priority would wait for.

    ``steps`` are the ready steps that are not done.
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
        if urgency.lateness < NO_VALUE and urgency.priority <= priority:
            ahead += work
    draining_milli = sum(
        run.task.step.spec.resources.cores_milli
        for worker in workers
        if worker.accepts_tasks
        for run in worker.runs.values()
        if not run.task.step.spec.long_running
    )
    return Backlog(ahead, whole, draining_milli)


def retry_after_ms(backlog: Backlog, needed_ms: float, objective_ms: float) -> int:
    """Return the delay after which a caller beyond its team's share should retry.

    0 admits the job: either it can still meet its objective, given that it runs for
    ``needed_ms``, or no finite task runs, so that the drain rate is unknown.
    """
    if not backlog.draining_milli:
        return 0
    wait_ms = backlog.ahead / backlog.draining_milli
    if wait_ms + needed_ms <= objective_ms * (1 + DUE_TOLERANCE):
        return 0
    return drain_time_ms(backlog)


def drain_time_ms(backlog: Backlog) -> int:
    """Return the time until all waiting work has started, within the bounds."""
    if not backlog.draining_milli:
        return MAX_RETRY_AFTER_MS
    drained_ms = backlog.total / backlog.draining_milli
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, drained_ms)))
