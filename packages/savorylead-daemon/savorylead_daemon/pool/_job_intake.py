"""Adds jobs and cancellations to the in-memory state of the pool's lead."""

from __future__ import annotations

import math
from collections.abc import Callable

from savorylead.jobs import (
    Job,
    JobRecord,
    JobState,
    RecordError,
    SpecError,
    check_spec,
)
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._job_marks import JobMarks
from ._keys import progress_key
from ._pool_records import LoadedPool, SavedProgress
from ._pool_state import PoolState
from ._progress_log import ProgressLog
from ._run_starter import RunStarter
from ._term import Term


class JobIntake:
    """Adds jobs that were loaded at takeover, accepted, or found in the store."""

    def __init__(
        self,
        state: PoolState,
        starter: RunStarter,
        progress: ProgressLog,
        log: EventLog,
        term: Term,
        plan_soon: Callable[[], None],
        marks: JobMarks,
        marks_jobs: bool,
    ) -> None:
        self._state = state
        self._starter = starter
        self._progress = progress
        self._log = log
        self._term = term
        self._pool = term.pool
        self._plan_soon = plan_soon
        self._marks = marks
        self._marks_jobs = marks_jobs

    def restore(self, loaded: LoadedPool) -> None:
        """Add the jobs that earlier leads and gateways have stored."""
        now_ms = self._state.now_ms()
        # A lead that can't tell whether former leads have marked jobs knows it of those
        # that were accepted since its election.
        unseen_since = self._term.revision
        if loaded.marked_since is not None:
            unseen_since = loaded.marked_since
        # Sorted by arrival: the rate meter would otherwise count them all as
        # arriving now.
        for record, revision in sorted(
            loaded.jobs, key=lambda row: row[0].accepted_at_ms
        ):
            weight = self._state.weights.get(record.team, 1.0)
            arrived_at_ms = min(record.accepted_at_ms, now_ms)
            job = self._state.jobs.add(record, revision, weight, arrived_at_ms)
            saved = loaded.progress.get(record.id)
            has_record = saved is not None or record.id in loaded.unreadable
            # Only leads that mark jobs need to tell which ones a former PoolLead of
            # the same term has marked.
            is_marked = has_record and self._marks_jobs
            job.is_unseen = revision > unseen_since and not is_marked
            if record.id in loaded.unreadable:
                self._exclude(job)
            elif saved is not None:
                self._restore(job, saved)
            if record.id in loaded.cancelled:
                self.cancel(record.id)
        self._marks.request(self._most_urgent_first(), has_caller=False)

    def _most_urgent_first(self) -> list[Job]:
        """Return the open jobs by the priority of their queue, then by age."""
        queues = self._state.queues

        def rank(job: Job) -> tuple[float, int]:
            queue = queues.get(job.record.queue)
            priority = float(queue.priority) if queue is not None else math.inf
            return priority, job.record.accepted_at_ms

        return sorted(self._state.jobs.open.values(), key=rank)

    def _restore(self, job: Job, saved: SavedProgress) -> None:
        job.progress_revision = saved.revision
        try:
            job.restore(saved.progress)
        except RecordError as exc:
            self._log.log_event(
                LogLevel.ERROR,
                "progress_record_unreadable",
                key=progress_key(self._pool, job.id),
                detail=str(exc),
            )
            self._exclude(job)
        if job.final is not None:
            self._state.jobs.open.pop(job.id, None)

    def _exclude(self, job: Job) -> None:
        """Exclude a job from planning, since its completed tasks are unknown.

        Starting it could run completed tasks again.
        """
        job.is_unreadable = True
        job.final = None
        job.reported_state = JobState.RUNNING
        self._state.jobs.open.pop(job.id, None)

    def add(self, record: JobRecord, revision: int) -> None:
        """Add a durable job unless it is known already or its spec is invalid."""
        if record.id in self._state.jobs.jobs:
            return
        try:
            check_spec(record.spec)
        except SpecError as exc:
            self._log.log_event(
                LogLevel.ERROR, "job_unreasonable", job=record.id, detail=str(exc)
            )
            return
        weight = self._state.weights.get(record.team, 1.0)
        job = self._state.jobs.add(record, revision, weight, self._state.now_ms())
        job.is_unseen = revision > self._term.revision
        self._marks.request([job], has_caller=True)
        self._log.log_event(
            LogLevel.INFO,
            "job_taken_in",
            job=record.id,
            pool=self._pool,
            age_ms=self._state.now_ms() - record.accepted_at_ms,
            surplus=job.surplus,
            steps=[
                [s.count, s.resources[:3], s.estimate_ms] for s in record.spec.steps
            ],
        )
        self._plan_soon()

    def cancel(self, job_id: str) -> None:
        """Cancel a known job whose cancellation is durable, and stop its runs."""
        job = self._state.jobs.jobs.get(job_id)
        if job is None or not self._state.jobs.cancel(job, self._state.now_ms()):
            return
        self._log.log_event(LogLevel.INFO, "job_cancelled", job=job_id)
        self._progress.schedule_write(job, urgent=True)
        self._starter.stop_unneeded(job)
