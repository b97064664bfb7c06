"""A lead's view of one worker: its capacity, its runs and its health."""

from __future__ import annotations

import math

from savorylead.jobs import Job, Run, StepRun
from savorylead.resources import ZERO, Resources

from ._contracts import WorkerEntry
from ._failures import (
    FAILURES_TO_QUARANTINE,
    FailureRecord,
    failures_of,
    note_outlived,
    served_ms,
)

#: A worker counts as slow when the moving geometric mean of the ratio of actual to
#: expected task duration reaches this value.
SLOW_FACTOR = 3.0
#: Time for which a slow worker is avoided, in milliseconds.
SLOW_QUARANTINE_MS = 2_000
#: Longest time for which nothing else may start beside suspects, in milliseconds. From
#: then on the worker is avoided, but used if too few others are left.
MAX_EXCLUSIVE_MS = 1_500
#: Tasks to observe before a worker may count as slow.
MIN_TIMED_TASKS = 4
#: Weight of the newest task in the moving mean.
SLOWNESS_WEIGHT = 0.3
#: Quarantine in milliseconds of a worker that reports itself unhealthy or leaves a
#: start order unanswered.
UNHEALTHY_QUARANTINE_MS = 1_000


def reservation_of(step: StepRun) -> Resources:
    """Return the capacity that one task of the step reserves on its worker."""
    if step.spec.fills:
        return step.spec.resources._replace(cores_milli=0)
    return step.spec.resources


class PoolWorker:
    """One worker's capacity, its reservations and whether it may start tasks."""

    def __init__(self, entry: WorkerEntry) -> None:
        #: The worker's id, which is the same in all its entries.
        self.id = entry.id
        self.entry = entry
        #: Whether this lead has read it in the platform's list. An entry recorded by an
        #: earlier lead may predate the notice that the worker is leaving.
        self.listed = False
        #: Start of the incarnation that answers, in Unix milliseconds; 0 if unknown.
        self.answering_incarnation_ms = 0
        #: Whether it answers and its runs are known.
        self.usable = False
        #: Whether operators have ordered its failure domain to be evacuated: its runs
        #: continue, but nothing starts on it.
        self.evacuated = False
        #: Whether it has announced that it leaves, as before a planned stop.
        self.is_leaving = not entry.accepting
        #: Since when it does not answer, in Unix milliseconds; 0 while it does.
        self.silent_since_ms = 0
        #: When it last answered a call, in Unix milliseconds; 0 for never.
        self.last_answer_ms = 0
        #: When its last crash that is known happened, in Unix milliseconds; 0 for none.
        self.crashed_at_ms = 0
        #: Since when and until when nothing else should start beside a suspect that it
        #: runs.
        self._isolated_since_ms = 0
        self.isolated_until_ms = 0
        #: Until when it may have a prime suspect's run that is not cleared yet.
        self._suspect_until_ms = 0
        #: Until when its tasks are slow after a start or an evacuation.
        self.cold_until_ms = 0
        #: Runs that may be active on it, by task name and run number.
        self.runs: dict[tuple[str, int], Run] = {}
        self.held = ZERO
        #: Number of its active runs that the lead does not know; while there are any,
        #: nothing is started on it.
        self.unknown_runs = 0
        #: Until when it can't start tasks, since it has refused or not answered one.
        self.unhealthy_until_ms = 0
        self.failures = FailureRecord(entry.id)
        self._slow_until_ms = 0
        self._mean_log_ratio = 0.0
        self._timed_tasks = 0

    def free(self) -> Resources:
        """Return the unreserved capacity; a dimension may be negative."""
        return self.entry.capacity.minus(self.held)

    @property
    def accepts_tasks(self) -> bool:
        """Whether its capacity is available to tasks, now or once it is freed."""
        return self.entry.accepting and not self.evacuated

    def is_cold(self, now_ms: int) -> bool:
        """Return whether its tasks are slow after a start or an evacuation."""
        return now_ms < self.cold_until_ms

    @property
    def last_outage_ms(self) -> int:
        """When it fell silent, or crashed the last time, in Unix milliseconds."""
        return self.silent_since_ms or self.crashed_at_ms

    def note_answer(self, now_ms: int) -> None:
        """Record that it answered a call."""
        self.last_answer_ms = now_ms
        self.silent_since_ms = 0

    def note_silent(self, now_ms: int) -> None:
        """Record that it did not answer a call."""
        self.silent_since_ms = self.silent_since_ms or now_ms

    def can_start(self, now_ms: int) -> bool:
        """Return whether it would start tasks now, though it may better be avoided."""
        if not self._is_known or now_ms < self.unhealthy_until_ms:
            return False
        is_isolated = now_ms < self.isolated_until_ms
        return not is_isolated or now_ms >= self._isolated_since_ms + MAX_EXCLUSIVE_MS

    def may_start(self, now_ms: int) -> bool:
        """Return whether tasks may start on the worker now, and it is not avoided."""
        return now_ms >= self.may_start_at_ms()

    def may_start_at_ms(self) -> float:
        """Return the time from which tasks may start on it; infinite if unknown."""
        if not self._is_known:
            return math.inf
        return float(max(self.unhealthy_until_ms, self.avoided_until_ms()))

    def avoided_until_ms(self) -> int:
        """Return until when other workers are preferred, in Unix milliseconds."""
        return max(
            self.isolated_until_ms,
            self.failures.avoided_until_ms(),
            self._slow_until_ms,
        )

    @property
    def _is_known(self) -> bool:
        """Whether it accepts tasks, and what it is and runs is known."""
        is_ready = self.usable and self.listed and self.accepts_tasks
        return is_ready and not self.unknown_runs and self.is_entry_current

    @property
    def is_entry_current(self) -> bool:
        """Whether its entry describes the incarnation that answers.

        A worker that has restarted under its id may have another capacity or label, and
        its entry is rewritten only with its next heartbeat.
        """
        listed_ms = self.entry.incarnation_start_ms
        answering_ms = self.answering_incarnation_ms
        return not listed_ms or not answering_ms or listed_ms == answering_ms

    def isolate(self, run: Run, now_ms: int, for_ms: int) -> None:
        """Start nothing else beside a prime suspect's run for so long."""
        if now_ms >= self.isolated_until_ms:
            self._isolated_since_ms = now_ms
        self.isolated_until_ms = max(self.isolated_until_ms, now_ms + for_ms)
        self._suspect_until_ms = max(self._suspect_until_ms, run.suspect_until_ms)

    def may_host_suspect(self, at_ms: int) -> bool:
        """Return whether a prime suspect may have been about to crash it then."""
        return at_ms < self._suspect_until_ms

    def hosts_other_suspects(self, job: Job, now_ms: int) -> bool:
        """Return whether a prime suspect of another job may be about to crash it."""
        return self.may_host_suspect(now_ms) and any(
            now_ms < run.suspect_until_ms
            and run.task.is_prime_suspect
            and run.task.step.job is not job
            for run in self.runs.values()
        )

    def add(self, run: Run) -> None:
        """Reserve the capacity of a run; does nothing if it is reserved already."""
        key = (str(run.task.name), run.number)
        if key not in self.runs:
            self.runs[key] = run
            self.failures.note_start(run.sent_at_ms)
            self.held = self.held.plus(reservation_of(run.task.step))

    def remove(self, run: Run) -> None:
        """Free the capacity of a run that is known to have ended."""
        if self.runs.pop((str(run.task.name), run.number), None) is not None:
            self.held = self.held.minus(reservation_of(run.task.step))

    def count_of(self, step: StepRun) -> int:
        """Return how many tasks of a step run on it."""
        return sum(1 for run in self.runs.values() if run.task.step is step)

    def filler_demand_milli(self) -> int:
        """Return the thousandths of a core requested by tasks of steps that fill."""
        return sum(
            run.task.step.spec.resources.cores_milli
            for run in self.runs.values()
            if run.task.step.spec.fills
        )

    def serves(self) -> bool:
        """Return whether a task with a response time target runs on it."""
        return any(run.task.step.spec.target_ms for run in self.runs.values())

    def note_done(self, step: StepRun, now_ms: int) -> None:
        """Record a run that was done."""
        self.failures.note_done(failures_of(step), now_ms)

    def note_failed(self, step: StepRun, run: Run | None, now_ms: int) -> bool:
        """Record a failed run; return whether it quarantines the worker.

        ``run`` is None if the lead does not know when the run began.
        """
        sent_at_ms = now_ms if run is None else run.sent_at_ms
        is_quarantined = self.failures.note_failed(
            failures_of(step), sent_at_ms, now_ms
        )
        if step.spec.long_running:
            note_outlived(step, now_ms)
        return is_quarantined

    def note_report(self, now_ms: int) -> None:
        """Record which long-running tasks a report has shown to be in service."""
        if not self.failures.needs_proof:
            return
        for run in self.runs.values():
            in_service_ms = served_ms(run)
            if in_service_ms:
                self.failures.note_in_service(run.sent_at_ms, in_service_ms, now_ms)

    def note_duration(self, ratio: float, now_ms: int) -> bool:
        """Record a task that took ``ratio`` times as long as expected.

        Returns whether the worker is quarantined as slow.
        """
        self._timed_tasks += 1
        change = math.log(max(0.01, ratio)) - self._mean_log_ratio
        self._mean_log_ratio += SLOWNESS_WEIGHT * change
        if self._timed_tasks < MIN_TIMED_TASKS:
            return False
        if self._mean_log_ratio < math.log(SLOW_FACTOR):
            return False
        # After the quarantine a single further task decides again.
        self._timed_tasks = MIN_TIMED_TASKS - 1
        self._slow_until_ms = max(self._slow_until_ms, now_ms + SLOW_QUARANTINE_MS)
        return True

    def note_stalled(self, run: Run, now_ms: int) -> None:
        """Record a stalled run, which alone quarantines the worker."""
        self.failures.note_failed(
            failures_of(run.task.step), run.sent_at_ms, now_ms, FAILURES_TO_QUARANTINE
        )

    def quarantine(self, now_ms: int, for_ms: int = UNHEALTHY_QUARANTINE_MS) -> None:
        """Start no tasks on the worker for ``for_ms`` milliseconds."""
        self.unhealthy_until_ms = max(self.unhealthy_until_ms, now_ms + for_ms)
