"""Detection of stalled runs.

Load pattern: workers continue to renew their lease while their tasks make no progress,
so that only the reported percentage shows the stall.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

from savorylead.jobs import Run, RunState

from ._contracts import Queue
from ._durations import DurationEstimator
from ._policy import SchedulingPolicy
from ._pool_worker import PoolWorker
from ._speed_classes import URGENT_PRIORITY

#: Minimum time without progress before a run counts as stalled, in milliseconds.
#: Reports arrive once a second.
MIN_STALL_MS = 2_500
#: The same for short runs of urgent queues, whose objectives end before MIN_STALL_MS
#: has passed. It exceeds MAX_REPORT_INTERVAL_MS, so that at least two reports show the
#: same percentage.
URGENT_STALL_MS = 1_500
#: A run that has worked for longer than expected raises the expected duration of its
#: step to that time. Up to this many times it, the expected duration may tell nothing
#: but the stall itself.
OWN_EVIDENCE_FACTOR = 2.0
#: Minimum time without progress as a share of the task's expected length, since the
#: percentage of a long task changes slowly.
STALL_SHARE = 0.2
#: Longest time between two reports of a reachable worker, in milliseconds: a lease
#: renewal waits for up to a second, and its answer is overdue after 150 ms more.
MAX_REPORT_INTERVAL_MS = 1_200


def urgent_queues(policy: SchedulingPolicy, queues: Iterable[Queue]) -> frozenset[str]:
    """Return the names of the queues whose short runs count as stalled earlier."""
    if not policy.learns_durations:
        return frozenset()
    return frozenset(q.name for q in queues if q.priority <= URGENT_PRIORITY)


def stalled_runs(
    worker: PoolWorker,
    durations: DurationEstimator,
    now_ms: int,
    urgent: Container[str] = (),
) -> list[Run]:
    """Return the stalled finite runs of a worker.

    ``urgent`` are the names of the queues whose short runs count as stalled earlier.
    """
    return [
        run
        for run in worker.runs.values()
        if _is_stalled(run, worker, durations, now_ms, urgent)
    ]


def _is_stalled(
    run: Run,
    worker: PoolWorker,
    durations: DurationEstimator,
    now_ms: int,
    urgent: Container[str],
) -> bool:
    spec = run.task.step.spec
    if run.state is not RunState.RUNNING or spec.long_running or spec.fills:
        return False
    if spec.gang or run.pace_percent < 100 or run.percent >= 100:
        return False
    # Time without reports does not count: the whole worker or its machine may have
    # been paused.
    still_ms = now_ms - max(run.percent_at_ms, run.confirmed_at_ms) - run.unreported_ms
    if still_ms <= URGENT_STALL_MS:
        return False
    step = run.task.step
    # The run's own report shows nothing of how long it should stand still.
    length_ms = durations.elsewhere_ms(step, run.worker) * durations.factor(run.worker)
    min_stall_ms = MIN_STALL_MS
    if (
        step.job.record.queue in urgent
        and _may_stall_early(run, worker)
        and _is_short(run, durations, length_ms, now_ms)
    ):
        min_stall_ms = URGENT_STALL_MS
    return still_ms > max(min_stall_ms, STALL_SHARE * length_ms)


def _may_stall_early(run: Run, worker: PoolWorker) -> bool:
    """Return whether progress should show within URGENT_STALL_MS.

    Resuming and cold workers take time without progress. After one stall the step's
    runs get more time: their first progress may take longer than that.
    """
    return (
        not run.resumed
        and not run.task.step.has_stalled
        and not worker.is_cold(run.confirmed_at_ms)
    )


def _is_short(
    run: Run, durations: DurationEstimator, length_ms: float, now_ms: int
) -> bool:
    """Return whether the run should have ended within URGENT_STALL_MS."""
    if length_ms < URGENT_STALL_MS:
        return True
    if length_ms > OWN_EVIDENCE_FACTOR * (now_ms - run.confirmed_at_ms):
        # The step's other tasks show that it is long.
        return False
    step = run.task.step
    estimate_ms = durations.estimate_ms(step.job.record.queue, step.spec)
    return estimate_ms * durations.factor(run.worker) < URGENT_STALL_MS


def note_reported(run: Run, now_ms: int) -> None:
    """Record that a report lists the run; call it before updating the percentage."""
    gap_ms = now_ms - (run.last_reported_at_ms or run.confirmed_at_ms)
    run.last_reported_at_ms = now_ms
    run.unreported_ms += max(0, gap_ms - MAX_REPORT_INTERVAL_MS)
