"""Tells workers that fail what they run from steps that fail wherever they run.

Load patterns: one hopeless step of dozens of tasks fails on every worker of a pool
within a moment; a worker that fails every run is idle most and gets most starts. Each
failure counts against its worker until the same step has failed on several proved
workers and was done on none. A worker is proved while the last run that ended on it was
done; otherwise two bad workers would blame their failures on the steps.

Load pattern: a worker runs long-running tasks alone, a few of which fail. None of them
is ever done there, so those that outlive the failed runs speak for the worker instead.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from savorylead.jobs import Run, RunState, StepRun

#: Failed runs in a row, of steps that do not fail elsewhere, after which a worker is
#: quarantined.
FAILURES_TO_QUARANTINE = 3
#: Duration of the first quarantine, in milliseconds; it doubles each time.
INITIAL_QUARANTINE_MS = 2_000
#: Longest quarantine, in milliseconds.
MAX_QUARANTINE_MS = 30_000
#: Proved workers on which a step fails, while it is done on none, that make it the
#: cause.
WORKERS_TO_BLAME_STEP = 2
#: Time between two starts on a worker whose quarantine is over, until a run of it
#: succeeds, in milliseconds. Each of them may cost its task an attempt.
PROBE_INTERVAL_MS = 1_000
#: Maximum number of failed steps remembered for a worker.
MAX_FAILED_STEPS = 12
#: Maximum number of failed runs remembered for each of them.
MAX_FAILED_RUNS = 8
#: Time in service beyond the age of a failed run, in milliseconds, that makes a
#: long-running task evidence against the worker's fault: runs that fail for one cause
#: fail at about the same age.
OUTLIVED_BY_MS = 2_000
#: A run speaks for its worker as it was until this time after the run's start, in
#: milliseconds. The tasks of a step may be placed by several passes.
STARTED_WITH_MS = 1_000
#: Progress of a long-running task that is in service.
IN_SERVICE_PERCENT = 100


class FailedRun(NamedTuple):
    """A failed run that counts against its worker."""

    #: When its start was ordered, in Unix milliseconds.
    sent_at_ms: int
    #: For how long it ran, in milliseconds.
    age_ms: int
    #: As how many failures it counts.
    count: int

    def is_outlived_by(self, sent_at_ms: int, served_ms: int) -> bool:
        """Return whether a run that is in service after ``served_ms`` outlived it."""
        is_as_new = sent_at_ms + STARTED_WITH_MS >= self.sent_at_ms
        return is_as_new and served_ms >= self.age_ms + OUTLIVED_BY_MS


class StepFailures:
    """Where the runs of one step fail."""

    __slots__ = ("failed_on", "longest_age_ms", "proved_failures", "was_done")

    def __init__(self) -> None:
        #: The records of the workers on which runs of it have failed, by worker id.
        self.failed_on: dict[str, FailureRecord] = {}
        #: Number of workers that were proved when a run of it first failed there.
        self.proved_failures = 0
        #: Whether a run of it was done on any worker, or outlived its failed runs.
        self.was_done = False
        #: The longest time that a failed run of it lasted, in milliseconds.
        self.longest_age_ms = 0

    @property
    def is_step_at_fault(self) -> bool:
        """Whether the step fails wherever it runs."""
        return not self.was_done and self.proved_failures >= WORKERS_TO_BLAME_STEP


def failures_of(step: StepRun) -> StepFailures:
    """Return the failures known for a step."""
    if not isinstance(step.failures, StepFailures):
        step.failures = StepFailures()
    return step.failures


def has_failed_on(step: StepRun, worker: str) -> bool:
    """Return whether a run of the step has failed on a worker."""
    failures = step.failures
    if failures is None:
        return False
    return isinstance(failures, StepFailures) and worker in failures.failed_on


def note_outlived(step: StepRun, now_ms: int) -> None:
    """Record whether tasks of a long-running step outlive its failed runs."""
    failures = failures_of(step)
    if failures.was_done:
        return
    needed_ms = failures.longest_age_ms + OUTLIVED_BY_MS
    if any(served_ms(task.run) >= needed_ms for task in step.running()):
        _note_step_succeeds(failures, now_ms)


def served_ms(run: Run | None) -> int:
    """Return the age at which a long-running task's run was last seen in service.

    It is 0 for any other run, and for one whose start is unknown to this lead.
    """
    if run is None or not run.task.step.spec.long_running or run.adopted:
        return 0
    if run.state is not RunState.RUNNING or run.percent < IN_SERVICE_PERCENT:
        return 0
    return max(0, run.last_reported_at_ms - run.sent_at_ms)


def _note_step_succeeds(step: StepFailures, now_ms: int) -> None:
    if not step.was_done:
        step.was_done = True
        for record in step.failed_on.values():
            record.review(now_ms)


class FailureRecord:
    """The failures of one worker, and its quarantines."""

    def __init__(self, worker: str) -> None:
        self._worker = worker
        #: Failed runs by step, since the last success.
        self._failed: dict[StepFailures, deque[FailedRun]] = {}
        self._quarantines = 0
        self._began_ms = 0
        self._is_quarantined = False
        self._last_start_ms = 0
        self._is_proved = False
        #: Until when it is quarantined, in Unix milliseconds.
        self.quarantined_until_ms = 0

    def failed_runs(self) -> int:
        """Return the number of failed runs in a row that count against the worker."""
        return sum(
            run.count
            for step, runs in self._failed.items()
            if not step.is_step_at_fault
            for run in runs
        )

    def avoided_until_ms(self) -> int:
        """Return until when nothing should start on it, in Unix milliseconds."""
        if not self.is_probed():
            return self.quarantined_until_ms
        probe_ms = self._last_start_ms + PROBE_INTERVAL_MS
        return max(self.quarantined_until_ms, probe_ms)

    def is_probed(self) -> bool:
        """Return whether only single tasks should start on it, one at a time."""
        return bool(self._failed) and self.failed_runs() >= FAILURES_TO_QUARANTINE

    def note_start(self, at_ms: int) -> None:
        """Record the start of a run."""
        self._last_start_ms = max(self._last_start_ms, at_ms)

    def note_done(self, step: StepFailures, now_ms: int) -> None:
        """Record a run that was done."""
        self._failed.clear()
        self._is_proved = True
        self._quarantines = 0
        self._is_quarantined = False
        _note_step_succeeds(step, now_ms)

    @property
    def needs_proof(self) -> bool:
        """Whether a run that stays in service would change what is known."""
        return bool(self._failed) or not self._is_proved

    def note_in_service(self, sent_at_ms: int, served_ms: int, now_ms: int) -> None:
        """Record that a long-running task is in service after ``served_ms``.

        Failed runs that it has outlived no longer count, as after a run that was done.
        Those that began later than it do: the worker may have become bad since.
        """
        for step, runs in list(self._failed.items()):
            left = [r for r in runs if not r.is_outlived_by(sent_at_ms, served_ms)]
            if not left:
                del self._failed[step]
            elif len(left) < len(runs):
                self._failed[step] = deque(left, MAX_FAILED_RUNS)
        if not self._failed and served_ms >= OUTLIVED_BY_MS:
            self._is_proved = True
            self._quarantines = 0
        if self.failed_runs() < FAILURES_TO_QUARANTINE:
            self._end_quarantine(now_ms)

    def note_failed(
        self, step: StepFailures, sent_at_ms: int, now_ms: int, count: int = 1
    ) -> bool:
        """Record the failure of a run, which counts as ``count`` failures.

        Returns whether it starts a quarantine. ``sent_at_ms`` is when its start was
        ordered, in Unix milliseconds: a run that began before the last quarantine is no
        evidence for another one.
        """
        run = FailedRun(sent_at_ms, max(0, now_ms - sent_at_ms), count)
        step.longest_age_ms = max(step.longest_age_ms, run.age_ms)
        self._failed.setdefault(step, deque(maxlen=MAX_FAILED_RUNS)).append(run)
        if len(self._failed) > MAX_FAILED_STEPS:
            del self._failed[next(iter(self._failed))]
        if self._worker not in step.failed_on:
            others = list(step.failed_on.values())
            step.failed_on[self._worker] = self
            step.proved_failures += self._is_proved
            for other in others:
                other.review(now_ms)
        self._is_proved = False
        if sent_at_ms < self._began_ms or now_ms < self.quarantined_until_ms:
            return False
        if self.failed_runs() < FAILURES_TO_QUARANTINE:
            return False
        self._quarantine(now_ms)
        return True

    def review(self, now_ms: int) -> None:
        """Start or end a quarantine, since a step may or may not be at fault now."""
        if self.failed_runs() >= FAILURES_TO_QUARANTINE:
            if not self._is_quarantined:
                self._quarantine(now_ms)
        else:
            self._end_quarantine(now_ms)

    def _end_quarantine(self, now_ms: int) -> None:
        if self._is_quarantined:
            self._is_quarantined = False
            self._quarantines = max(0, self._quarantines - 1)
            self.quarantined_until_ms = min(self.quarantined_until_ms, now_ms)

    def _quarantine(self, now_ms: int) -> None:
        duration_ms = min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS << self._quarantines)
        self._quarantines = min(self._quarantines + 1, 8)
        self._is_quarantined = True
        self._began_ms = now_ms
        self.quarantined_until_ms = now_ms + duration_ms
