"""Runs that stand still.

Load pattern: workers go on renewing their lease while what they run makes no progress,
so that nothing but the reported percent tells.
"""

from __future__ import annotations

from savorylead.jobs import Run, RunState

from ._durations import DurationEstimator
from ._pool_worker import PoolWorker

#: Time without progress after which a run may be stalled, in milliseconds. Reports
#: come once a second.
LEAST_STILL_MS = 2_500
#: The same as a part of the task's expected length: a long task's percent changes
#: slowly.
STILL_SHARE = 0.2
#: Longest time between two reports of a worker that is in touch, in milliseconds: a
#: look waits for a second, and its answer is overdue after 150 ms more.
REPORTED_EVERY_MS = 1_200


def stalled_runs(
    worker: PoolWorker, durations: DurationEstimator, now_ms: int
) -> list[Run]:
    """Return the finite runs of a worker that made no progress for too long."""
    return [run for run in worker.runs.values() if _is_stalled(run, durations, now_ms)]


def _is_stalled(run: Run, durations: DurationEstimator, now_ms: int) -> bool:
    spec = run.task.step.spec
    if run.state is not RunState.RUNNING or spec.long_running or spec.fills:
        return False
    if spec.gang or run.paced < 100 or run.percent >= 100:
        return False
    length_ms = durations.estimate_ms(run.task.step.job.record.queue, spec)
    # A silent worker, or the machine under it, may have stood still as a whole.
    still_ms = now_ms - max(run.percent_at_ms, run.confirmed_at_ms) - run.unseen_ms
    return still_ms > max(LEAST_STILL_MS, STILL_SHARE * length_ms)


def note_seen(run: Run, now_ms: int) -> None:
    """Take note that a report lists the run, before its percent is taken over."""
    gap_ms = now_ms - (run.seen_at_ms or run.confirmed_at_ms)
    run.seen_at_ms = now_ms
    run.unseen_ms += max(0, gap_ms - REPORTED_EVERY_MS)
