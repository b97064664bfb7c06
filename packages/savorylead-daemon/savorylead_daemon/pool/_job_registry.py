"""In-memory registry of a pool's jobs, updated as runs end. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from savorylead.jobs import Job, JobRecord, JobState, Run, StepRun, Task, TaskName
from savorylead.pools import EndedRun, Queue, RunEnd

#: Retention of an ended job beyond the period promised to callers, in milliseconds.
#: Covers a status request that was sent just before the period ended.
RETENTION_MARGIN_MS = 30_000


class RateMeter:
    """Token bucket per team that detects jobs above the team's rate."""

    #: Burst size, in seconds of the team's rate.
    BURST_S = 3.0

    def __init__(self) -> None:
        self._levels: dict[str, tuple[float, int]] = {}

    def is_surplus(self, team: str, per_s: float, now_ms: int) -> bool:
        """Count one job; return whether it exceeds the team's rate."""
        level = self._level(team, per_s, now_ms)
        surplus = level < 1.0
        self._levels[team] = (level if surplus else level - 1.0, now_ms)
        return surplus

    def would_be_surplus(self, team: str, per_s: float, now_ms: int) -> bool:
        """Return whether one more job would exceed the team's rate."""
        return self._level(team, per_s, now_ms) < 1.0

    def _level(self, team: str, per_s: float, now_ms: int) -> float:
        capacity = max(1.0, per_s * self.BURST_S)
        level, at_ms = self._levels.get(team, (capacity, now_ms))
        return min(capacity, level + per_s * max(0, now_ms - at_ms) / 1000)


class JobRegistry:
    """All jobs of a pool, from acceptance until their retention ends."""

    def __init__(self, status_for_ms: int) -> None:
        self._status_for_ms = status_for_ms
        self.jobs: dict[str, Job] = {}
        #: Jobs without a final state.
        self.open: dict[str, Job] = {}
        self.meter = RateMeter()

    def add(
        self, record: JobRecord, revision: int, weight: float, arrived_at_ms: int
    ) -> Job:
        """Return the job of a record; adds it unless it is registered already.

        ``weight`` is the team's rate in jobs per second; ``arrived_at_ms`` is the job's
        arrival time in Unix milliseconds.
        """
        job = self.jobs.get(record.id)
        if job is None:
            job = Job(record, revision)
            job.surplus = self.meter.is_surplus(record.team, weight, arrived_at_ms)
            self.jobs[record.id] = job
            self.open[record.id] = job
        return job

    def task(self, name: TaskName) -> Task | None:
        """Return the task of a name, None if its job is not registered."""
        job = self.jobs.get(name.job)
        if job is None:
            return None
        return job.task(name.occurrence, name.step, name.index)

    def finish_if_complete(self, job: Job, now_ms: int) -> bool:
        """Finish a job if all its steps are done; return whether it is final."""
        if job.final is None and job.is_complete():
            job.finish(JobState.COMPLETED, now_ms)
        if job.final is not None:
            self.open.pop(job.id, None)
        return job.final is not None

    def cancel(self, job: Job, now_ms: int) -> bool:
        """Cancel a job; return whether it had no final state before."""
        job.cancelled = True
        if job.final is not None:
            return False
        job.finish(JobState.CANCELLED, now_ms)
        self.open.pop(job.id, None)
        return True

    def apply_end(
        self, task: Task, ended: EndedRun, queue: Queue | None, now_ms: int
    ) -> None:
        """Update a task and its job after one of the task's runs has ended."""
        step = task.step
        task.last_run = max(task.last_run, ended.number)
        if ended.checkpoint and step.spec.checkpoints:
            members = step.tasks if step.spec.gang else [task]
            for member in members:
                member.checkpoint = ended.checkpoint
        if ended.outcome is RunEnd.DONE and not step.spec.long_running:
            step.mark_done(task.index)
        elif ended.outcome is RunEnd.FAILED:
            self._apply_failure(task, ended, queue, now_ms)
        self.finish_if_complete(step.job, now_ms)

    def _apply_failure(
        self, task: Task, ended: EndedRun, queue: Queue | None, now_ms: int
    ) -> None:
        step = task.step
        if step.spec.long_running or task.done:
            return
        failures = step.note_failure(task.index, ended.number)
        # max_attempts is unknown for jobs whose queue was removed.
        if queue is not None and failures >= queue.max_attempts:
            step.job.finish(JobState.FAILED, now_ms)

    def ready_steps(
        self,
        now_ms: int,
        may_start: Callable[[Job], bool],
        may_repeat: Callable[[StepRun], bool] | None = None,
    ) -> Iterator[StepRun]:
        """Yield the ready steps of the open jobs that may start.

        Of the other jobs, yields the ready steps that may run twice.
        """
        for job in self.open.values():
            if may_start(job):
                yield from job.ready_steps(now_ms)
            elif may_repeat is not None and any(map(may_repeat, job.steps())):
                yield from filter(may_repeat, job.ready_steps(now_ms))

    def open_due(self, now_ms: int) -> int | None:
        """Open due occurrences; return the time at which the next one is due.

        The time is in Unix milliseconds, None if no further occurrence is to come.
        """
        next_ms = None
        for job in self.open.values():
            due_ms = job.open_due(now_ms)
            if due_ms is not None:
                next_ms = due_ms if next_ms is None else min(next_ms, due_ms)
        return next_ms

    def pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return sum(
            1
            for job in self.open.values()
            if job.record.queue == queue and not job.started
        )

    def expired(self, now_ms: int) -> list[Job]:
        """Return the ended jobs without runs whose retention is over."""
        limit_ms = self._status_for_ms + RETENTION_MARGIN_MS
        return [
            job
            for job in self.jobs.values()
            if job.final is not None
            and now_ms - job.ended_at_ms > limit_ms
            and not job.runs()
        ]

    def remove(self, job: Job) -> None:
        """Remove a job from the registry."""
        self.jobs.pop(job.id, None)
        self.open.pop(job.id, None)

    def runs_to_stop(self, job: Job) -> list[Run]:
        """Return the runs of a job that has ended, or of tasks that are done."""
        if job.final is not None:
            return job.runs()
        return [run for run in job.runs() if run.task.done]
