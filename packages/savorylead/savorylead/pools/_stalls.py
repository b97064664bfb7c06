"""Detection of stalled runs.

Load pattern: workers continue to renew their lease while their tasks make no progress,
so that only the reported percentage shows the stall.
"""

from __future__ import annotations

from savorylead.jobs import Run, RunState

from ._durations import DurationEstimator
from ._pool_worker import PoolWorker

#: Minimum time without progress before a run counts as stalled, in milliseconds.
#: Reports arrive once a second.
MIN_STALL_MS = 2_500
#: Minimum time without progress as a share of the task's expected length, since the
#: percentage of a long task changes slowly.
STALL_SHARE = 0.2
#: Longest time between two reports of a reachable worker, in milliseconds: a lease
#: renewal waits for up to a second, and its answer is overdue after 150 ms more.
MAX_REPORT_INTERVAL_MS = 1_200


def stalled_runs(
    worker: PoolWorker, durations: DurationEstimator, now_ms: int
) -> list[Run]:
    """Return the stalled finite runs of a worker."""
    return [run for run in worker.runs.values() if _is_stalled(run, durations, now_ms)]


def _is_stalled(run: Run, durations: DurationEstimator, now_ms: int) -> bool:
    spec = run.task.step.spec
    if run.state is not RunState.RUNNING or spec.long_running or spec.fills:
        return False
    if spec.gang or run.pace_percent < 100 or run.percent >= 100:
        return False
    length_ms = durations.estimate_ms(run.task.step.job.record.queue, spec)
    # Time without reports does not count: the whole worker or its machine may have
    # been paused.
    still_ms = now_ms - max(run.percent_at_ms, run.confirmed_at_ms) - run.unreported_ms
    return still_ms > max(MIN_STALL_MS, STALL_SHARE * length_ms)


def note_reported(run: Run, now_ms: int) -> None:
    """Record that a report lists the run; call it before updating the percentage."""
    gap_ms = now_ms - (run.last_reported_at_ms or run.confirmed_at_ms)
    run.last_reported_at_ms = now_ms
    run.unreported_ms += max(0, gap_ms - MAX_REPORT_INTERVAL_MS)
