"""What is known of the durations of one step's tasks.

Load pattern: the tasks of a step are alike, so those that are done or report progress
predict the others better than the queue does.
"""

from __future__ import annotations

import math

from savorylead.jobs import Run, RunState, StepRun

from ._run_ends import MIN_PERCENT

#: Largest ratio of a running task's projected duration to the queue's expectation, as a
#: logarithm. The longest steps take seven times as long, and a worker that was paused
#: projects much more from its first progress.
MAX_LOG_PROJECTION = math.log(20)


class StepDurations:
    """What is known of the durations of one step's tasks; kept with the step."""

    __slots__ = (
        "done",
        "expected_ms",
        "is_current",
        "pending",
        "read_at_ms",
        "running",
        "tail_ms",
        "worked",
    )

    def __init__(self) -> None:
        #: Number of done tasks and sum of their log durations, by worker.
        self.done: dict[str, tuple[float, float]] = {}
        #: Workers and log durations of done tasks that are not learned from yet.
        self.pending: list[tuple[str, float]] = []
        #: The same as ``done`` of running tasks, projected from their progress.
        self.running: dict[str, tuple[float, float]] = {}
        #: Workers and log times of running tasks that have made little progress.
        self.worked: list[tuple[str, float]] = []
        #: When the running tasks were read; None for never.
        self.read_at_ms: int | None = None
        #: Cached results, and whether they are current.
        self.expected_ms = 0.0
        self.tail_ms = 0.0
        self.is_current = False

    def add(self, worker: str, log_ms: float) -> None:
        """Add a done task."""
        _add(self.done, worker, 1.0, log_ms)
        self.pending.append((worker, log_ms))
        self.is_current = False

    def read_runs(self, step: StepRun, now_ms: int, prior_log_ms: float) -> None:
        """Read the progress of the running tasks.

        ``prior_log_ms`` is the queue's expected logarithm of the duration.
        """
        max_log_ms = prior_log_ms + MAX_LOG_PROJECTION
        self.running = {}
        self.worked = []
        for run in _progressing_runs(step):
            worked_ms = run.percent_at_ms - run.confirmed_at_ms
            if worked_ms <= 0:
                continue
            log_ms = math.log(worked_ms)
            if run.percent >= MIN_PERCENT:
                # The more of a task is done, the less a pause or the rounding of the
                # percentage changes the projection.
                share = min(99, run.percent) / 100
                projected = min(max_log_ms, log_ms - math.log(share))
                _add(self.running, run.worker, share, projected)
            else:
                self.worked.append((run.worker, log_ms))
        self.read_at_ms = now_ms
        self.is_current = False


def known_of(step: StepRun) -> StepDurations:
    """Return what is known of a step, kept with it."""
    known = step.durations
    if not isinstance(known, StepDurations):
        known = step.durations = StepDurations()
    return known


def _add(
    by_worker: dict[str, tuple[float, float]], worker: str, weight: float, log_ms: float
) -> None:
    """Add a weighted log duration to the sums of its worker."""
    count, total = by_worker.get(worker, (0.0, 0.0))
    by_worker[worker] = (count + weight, total + weight * log_ms)


def _progressing_runs(step: StepRun) -> list[Run]:
    """Return the runs of a step whose progress shows how long its tasks take."""
    return [
        run
        for task in step.tasks
        if (run := task.run) is not None
        and run.state is RunState.RUNNING
        and run.confirmed_at_ms
        and not run.adopted
        and not run.resumed
        and run.pace_percent >= 100
    ]
