"""Expected ends of runs, and the time that a stop takes.

Load pattern: a stop takes nearly a second, and hundreds of tasks end by themselves in
that time. Room that these free comes as soon as that of stopped runs, and at no cost.
"""

from __future__ import annotations

from savorylead.jobs import Run, RunState

from ._durations import DurationEstimator

#: Progress from which on a run's own pace predicts its end better than the length that
#: its caller declared, which is up to ten times wrong.
MIN_PERCENT = 10
#: Assumed duration of a stop before any was observed, in milliseconds.
INITIAL_STOP_MS = 200.0
#: Share of a stop's duration within which an end by itself is sure enough to rely on.
SURE_SHARE = 0.5
#: Weight of the newest stop in the moving average.
STOP_WEIGHT = 0.1


class RunEnds:
    """Predicts when runs end, by themselves or after a stop."""

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations
        #: Average time from a stop order until the run's end is listed.
        self.stop_ms = INITIAL_STOP_MS

    def observe_stop(self, took_ms: int) -> None:
        """Record how long a stop took."""
        self.stop_ms += STOP_WEIGHT * (took_ms - self.stop_ms)

    def ends_at_ms(self, run: Run) -> float:
        """Return the expected end of a run, by its own pace from MIN_PERCENT on."""
        remaining_share = 1 - min(99, run.percent) / 100
        if run.percent >= MIN_PERCENT and run.confirmed_at_ms and not run.resumed:
            worked_ms = run.percent_at_ms - run.confirmed_at_ms
            return run.percent_at_ms + worked_ms * remaining_share / (
                1 - remaining_share
            )
        step_ms = self._durations.step_ms(run.task.step)
        length_ms = step_ms * self._durations.factor(run.worker)
        return run.percent_at_ms + length_ms * remaining_share

    def is_ending(self, run: Run, now_ms: int) -> bool:
        """Return whether a run should end by itself well before a stop would end it.

        Only runs whose pace is known are counted, as declared lengths are too rough.
        """
        if run.task.step.spec.long_running or run.state is not RunState.RUNNING:
            return False
        if run.percent < MIN_PERCENT or run.resumed:
            return False
        # An overdue run shows that its pace has changed, so its end is unknown.
        horizon_ms = self.stop_ms * SURE_SHARE
        return now_ms <= self.ends_at_ms(run) <= now_ms + horizon_ms
