"""The jobs of a pool, and what ends of runs do to them. No input or output."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from savorylead.jobs import Job, JobRecord, JobState, Run, StepRun, Task, TaskName
from savorylead.pools import EndedRun, Queue, RunEnd

#: How long an ended job is remembered beyond what callers are promised, in
#: milliseconds: time for the last question that was sent in time.
REMEMBER_EXTRA_MS = 30_000


class RateMeter:
    """Tells which jobs of a team are beyond the jobs a second owed to it."""

    #: Seconds of a team's rate that may come at once.
    BURST_S = 3.0

    def __init__(self) -> None:
        self._levels: dict[str, tuple[float, int]] = {}

    def is_surplus(self, team: str, per_s: float, now_ms: int) -> bool:
        """Count one job; return whether it is beyond the team's rate."""
        level = self._level(team, per_s, now_ms)
        surplus = level < 1.0
        self._levels[team] = (level if surplus else level - 1.0, now_ms)
        return surplus

    def would_be_surplus(self, team: str, per_s: float, now_ms: int) -> bool:
        """Return whether one more job would be beyond the team's rate."""
        return self._level(team, per_s, now_ms) < 1.0

    def _level(self, team: str, per_s: float, now_ms: int) -> float:
        most = max(1.0, per_s * self.BURST_S)
        level, at_ms = self._levels.get(team, (most, now_ms))
        return min(most, level + per_s * max(0, now_ms - at_ms) / 1000)


class JobBook:
    """Every job of a pool that is not forgotten yet."""

    def __init__(self, status_for_ms: int) -> None:
        self._status_for_ms = status_for_ms
        self.jobs: dict[str, Job] = {}
        #: Jobs without a final state.
        self.open: dict[str, Job] = {}
        self.meter = RateMeter()

    def add(self, record: JobRecord, revision: int, weight: float, came_ms: int) -> Job:
        """Return the job of a record, which may have been added before.

        ``weight`` is the jobs a second that are owed to the team, and ``came_ms`` when
        this one came.
        """
        job = self.jobs.get(record.id)
        if job is None:
            job = Job(record, revision)
            job.surplus = self.meter.is_surplus(record.team, weight, came_ms)
            self.jobs[record.id] = job
            self.open[record.id] = job
        return job

    def task(self, name: TaskName) -> Task | None:
        """Return a task by its name."""
        job = self.jobs.get(name.job)
        if job is None:
            return None
        return job.task(name.occurrence, name.step, name.index)

    def close_if_over(self, job: Job, now_ms: int) -> bool:
        """Give a job its final state if all is done; return whether it has one."""
        if job.final is None and job.is_complete():
            job.finish(JobState.COMPLETED, now_ms)
        if job.final is not None:
            self.open.pop(job.id, None)
        return job.final is not None

    def cancel(self, job: Job, now_ms: int) -> bool:
        """Cancel a job; return whether that changed anything."""
        job.cancelled = True
        if job.final is not None:
            return False
        job.finish(JobState.CANCELLED, now_ms)
        self.open.pop(job.id, None)
        return True

    def apply_end(
        self, task: Task, ended: EndedRun, queue: Queue | None, now_ms: int
    ) -> None:
        """Take over how a run of the task ended."""
        step = task.step
        task.last_run = max(task.last_run, ended.number)
        if ended.checkpoint and step.spec.checkpoints:
            members = step.tasks if step.spec.gang else [task]
            for member in members:
                member.checkpoint = ended.checkpoint
        if ended.how is RunEnd.DONE and not step.spec.long_running:
            step.mark_done(task.index)
        elif ended.how is RunEnd.FAILED:
            self._apply_failure(task, ended, queue, now_ms)
        self.close_if_over(step.job, now_ms)

    def _apply_failure(
        self, task: Task, ended: EndedRun, queue: Queue | None, now_ms: int
    ) -> None:
        step = task.step
        if step.spec.long_running or task.done:
            return
        failures = step.note_failure(task.index, ended.number)
        # A queue that was removed leaves its jobs without a bound to go by.
        if queue is not None and failures >= queue.max_attempts:
            step.job.finish(JobState.FAILED, now_ms)

    def ready_steps(
        self, now_ms: int, may_start: Callable[[Job], bool]
    ) -> Iterator[StepRun]:
        """Yield the steps of open jobs whose turn has come."""
        for job in self.open.values():
            if may_start(job):
                yield from job.ready_steps(now_ms)

    def open_due(self, now_ms: int) -> int | None:
        """Open occurrences that are due; return when the next one is."""
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

    def forgettable(self, now_ms: int) -> list[Job]:
        """Return ended jobs that nobody may ask for any more."""
        limit_ms = self._status_for_ms + REMEMBER_EXTRA_MS
        return [
            job
            for job in self.jobs.values()
            if job.final is not None
            and now_ms - job.ended_at_ms > limit_ms
            and not job.runs()
        ]

    def forget(self, job: Job) -> None:
        """Drop a job."""
        self.jobs.pop(job.id, None)
        self.open.pop(job.id, None)

    def runs_to_stop(self, job: Job) -> list[Run]:
        """Return the runs of a job that has ended, or of tasks that are done."""
        if job.final is not None:
            return job.runs()
        return [run for run in job.runs() if run.task.done]
