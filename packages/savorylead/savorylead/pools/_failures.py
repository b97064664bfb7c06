"""Tells workers that fail what they run from steps that fail wherever they run.

Load patterns: one hopeless step of dozens of tasks fails on every worker of a pool
within a moment; a worker that fails every run is idle most and gets most starts. Each
failure counts against its worker until the same step has failed on several proved
workers and was done on none. A worker is proved while the last run that ended on it was
done; otherwise two bad workers would blame their failures on the steps.
"""

from __future__ import annotations

from savorylead.jobs import StepRun

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


class StepFailures:
    """Where the runs of one step fail."""

    __slots__ = ("failed_on", "proved_failures", "was_done")

    def __init__(self) -> None:
        #: The records of the workers on which runs of it have failed, by worker id.
        self.failed_on: dict[str, FailureRecord] = {}
        #: Number of workers that were proved when a run of it first failed there.
        self.proved_failures = 0
        #: Whether a run of it was done on any worker.
        self.was_done = False

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


class FailureRecord:
    """The failures of one worker, and its quarantines."""

    def __init__(self, worker: str) -> None:
        self._worker = worker
        #: Failed runs by step, since the last success.
        self._failed: dict[StepFailures, int] = {}
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
            count for step, count in self._failed.items() if not step.is_step_at_fault
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
        if not step.was_done:
            step.was_done = True
            for record in step.failed_on.values():
                record.review(now_ms)

    def note_failed(
        self, step: StepFailures, sent_at_ms: int, now_ms: int, runs: int = 1
    ) -> bool:
        """Record the failure of a run, which counts as ``runs`` failures.

        Returns whether it starts a quarantine. ``sent_at_ms`` is when its start was
        ordered, in Unix milliseconds: a run that began before the last quarantine is no
        evidence for another one.
        """
        self._failed[step] = self._failed.get(step, 0) + runs
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
        elif self._is_quarantined:
            self._is_quarantined = False
            self._quarantines = max(0, self._quarantines - 1)
            self.quarantined_until_ms = min(self.quarantined_until_ms, now_ms)

    def _quarantine(self, now_ms: int) -> None:
        duration_ms = min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS << self._quarantines)
        self._quarantines = min(self._quarantines + 1, 8)
        self._is_quarantined = True
        self._began_ms = now_ms
        self.quarantined_until_ms = now_ms + duration_ms
