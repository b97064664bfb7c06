"""The state of one job and of its steps, tasks and runs."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from ._crashes import TaskCrash
from ._records import JobRecord, ProgressRecord, RecordError, StepProgress
from ._spec import StepSpec
from ._task_name import TaskName


class JobState(enum.StrEnum):
    """The state of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunState(enum.Enum):
    """The state of a run, as known to the lead."""

    #: The start order was sent and is not answered yet.
    STARTING = enum.auto()
    RUNNING = enum.auto()
    #: A stop was ordered; the task may still run.
    STOPPING = enum.auto()


class Run:
    """One run of a task on one worker, until its end is known."""

    __slots__ = (
        "adopted",
        "confirmed_at_ms",
        "copy_reason",
        "is_blamed",
        "load",
        "number",
        "pace_percent",
        "partner",
        "percent",
        "percent_at_ms",
        "resumed",
        "last_reported_at_ms",
        "sent_at_ms",
        "state",
        "stop_ordered_at_ms",
        "stop_reason",
        "stopped_at_ms",
        "suspect_until_ms",
        "task",
        "unreported_ms",
        "void_clock_ms",
        "worker",
    )

    def __init__(self, task: Task, number: int, worker: str, sent_at_ms: int) -> None:
        self.task = task
        self.number = number
        #: Id of the worker.
        self.worker = worker
        self.state = RunState.STARTING
        self.sent_at_ms = sent_at_ms
        #: Expiry of its start order on the worker's clock.
        self.void_clock_ms = 0
        #: When the worker confirmed the start; 0 before.
        self.confirmed_at_ms = 0
        #: Whether an earlier lead started it.
        self.adopted = False
        #: Whether it resumed from a checkpoint.
        self.resumed = False
        #: Progress in percent of a finite task; 100 for a long-running one in service.
        self.percent = 0
        #: When ``percent`` last changed.
        self.percent_at_ms = sent_at_ms
        #: When the run was last listed in a report; 0 before.
        self.last_reported_at_ms = 0
        #: Time since ``percent`` changed in which reports were overdue.
        self.unreported_ms = 0
        #: Tail response time in ms of a serving task; cores_milli in use by others.
        self.load = 0
        #: Speed to which it was throttled, in percent of its normal speed.
        self.pace_percent = 100
        #: Why it was started beside the task's first run; empty if it was not.
        self.copy_reason = ""
        #: The last other run of its task that was active beside it.
        self.partner: Run | None = None
        #: Whether a crash of its worker counts against its task.
        self.is_blamed = False
        #: When a stop was first ordered; 0 before.
        self.stop_ordered_at_ms = 0
        #: When the worker accepted a stop; 0 before.
        self.stopped_at_ms = 0
        self.stop_reason = ""
        #: Until when it may be about to crash its worker; 0 if it is no suspect.
        self.suspect_until_ms = 0

    @property
    def is_only_recorded(self) -> bool:
        """Whether it is only known from the record of an earlier lead."""
        return self.adopted and not self.last_reported_at_ms


class CopyNotAllowedError(Exception):
    """A second run of a task must not be started beside its first one."""


class Task:
    """One task of a step's occurrence."""

    __slots__ = (
        "checkpoint",
        "copy",
        "crashes",
        "done",
        "has_lost_copy",
        "index",
        "last_run",
        "run",
        "step",
        "unplaced_at",
    )

    def __init__(self, step: StepRun, index: int) -> None:
        self.step = step
        self.index = index
        self.done = False
        #: Its only run, or the first of two.
        self.run: Run | None = None
        #: The second run of a speculative task, beside the first.
        self.copy: Run | None = None
        #: Whether the worker of a copy was lost with it.
        self.has_lost_copy = False
        #: Highest run number of this task.
        self.last_run = 0
        #: The last checkpoint that a worker reported; empty for none.
        self.checkpoint = ""
        #: Recent crashes of workers under its runs, oldest first.
        self.crashes: tuple[TaskCrash, ...] = ()
        #: When it last became ready without a run, in milliseconds.
        self.unplaced_at = 0

    @property
    def is_open(self) -> bool:
        """Whether it may still have to run."""
        return not self.done and self.step.job.final is None

    @property
    def may_have_copy(self) -> bool:
        """Whether a second run may be active beside its present one.

        Only the caller can permit it. A suspect starts apart from others, so that a
        further crash has one likely cause. A task whose copy was lost with its worker
        may become one once the crash is known.
        """
        spec = self.step.spec
        if not spec.speculative or spec.gang or spec.long_running or spec.fills:
            return False
        has_one_run = self.run is not None and self.copy is None
        may_be_suspect = self.is_suspect or self.has_lost_copy
        return has_one_run and self.is_open and not may_be_suspect

    def add_copy(self, run: Run, reason: str) -> None:
        """Add a second run; raises CopyNotAllowedError unless the task may have one."""
        if not self.may_have_copy or self.run is None:
            raise CopyNotAllowedError(f"{self.name}/{run.number}")
        run.copy_reason = reason
        run.partner, self.run.partner = self.run, run
        self.copy = run

    def forget_run(self, run: Run) -> None:
        """Record that a run is over; a copy takes the place of the first run."""
        if run is self.copy:
            self.copy = None
        elif run is self.run:
            self.run, self.copy = self.copy, None

    def has_run(self, run: Run) -> bool:
        """Return whether a run is its first run or its copy."""
        return run is self.run or run is self.copy

    @property
    def is_suspect(self) -> bool:
        """Whether a worker has crashed under it lately."""
        return bool(self.crashes)

    @property
    def is_prime_suspect(self) -> bool:
        """Whether it is likelier than others to have crashed a worker."""
        return len(self.crashes) > 1 or any(c.is_youngest for c in self.crashes)

    @property
    def name(self) -> TaskName:
        """The task's name in calls to workers."""
        step = self.step
        return TaskName(step.job.record.id, step.occurrence, step.index, self.index)


class StepRun:
    """One occurrence of a step."""

    __slots__ = (
        "advice",
        "done_count",
        "durations",
        "failed_runs",
        "failures",
        "has_stalled",
        "has_suspects",
        "index",
        "job",
        "occurrence",
        "ready_at_ms",
        "spec",
        "tasks",
        "time",
    )

    def __init__(self, job: Job, occurrence: int, index: int, spec: StepSpec) -> None:
        self.job = job
        self.occurrence = occurrence
        self.index = index
        self.spec = spec
        self.tasks = [Task(self, number) for number in range(spec.count)]
        self.done_count = 0
        #: Numbers of the runs that failed, by task; a gang counts under -1.
        self.failed_runs: dict[int, set[int]] = {}
        #: Whether one of its runs was stopped as stalled.
        self.has_stalled = False
        #: Whether a worker has crashed under one of its tasks.
        self.has_suspects = False
        #: When the steps it depends on were done; None before.
        self.ready_at_ms: int | None = None
        #: The policy adviser's answers for this step; owned by the planner.
        self.advice: object | None = None
        #: The workers on which runs of this step fail; owned by the planner.
        self.failures: object | None = None
        #: What is known of its tasks' durations; owned by the planner.
        self.durations: object | None = None
        #: Cached due time and expected duration; owned by the planner.
        self.time: object | None = None

    @property
    def name(self) -> str:
        """The name of the step in calls for advice."""
        return f"{self.job.record.id}.{self.occurrence}.{self.index}"

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == self.spec.count

    def waiting(self) -> list[Task]:
        """Return the tasks that are not done and have no run."""
        return [t for t in self.tasks if t.run is None and not t.done]

    def running(self) -> list[Task]:
        """Return the tasks that have a run."""
        return [t for t in self.tasks if t.run is not None]

    def failures_of(self, index: int) -> set[int]:
        """Return the numbers of the failed runs that count against a task."""
        return self.failed_runs.get(-1 if self.spec.gang else index, set())

    def note_failure(self, index: int, run_number: int) -> int:
        """Record a failed run, once; return how many runs of the task have failed."""
        key = -1 if self.spec.gang else index
        runs = self.failed_runs.setdefault(key, set())
        runs.add(run_number)
        return len(runs)

    def mark_done(self, index: int) -> None:
        """Mark a task as done, or every task of a gang."""
        done = self.tasks if self.spec.gang else [self.tasks[index]]
        for task in done:
            if not task.done:
                task.done = True
                self.done_count += 1


class Job:
    """A job with its open occurrences."""

    def __init__(self, record: JobRecord, revision: int) -> None:
        self.record = record
        #: Store revision of its record; the terms of later leads have higher ones.
        self.revision = revision
        #: Steps of each open occurrence, in order.
        self.occurrences: list[list[StepRun]] = []
        self.final: JobState | None = None
        self.ended_at_ms = 0
        self.started = False
        self.cancelled = False
        #: The state reported to callers; it follows ``state`` once that is durable.
        self.reported_state = JobState.QUEUED
        #: Store revision of its progress record; 0 if there is none.
        self.progress_revision = 0
        #: Whether no lead of an earlier term can have ordered any of its tasks.
        self.is_unseen = False
        #: Whether its progress record is unreadable, so that no task of it is started.
        self.is_unreadable = False
        #: Whether its team submits more than its weight allows.
        self.surplus = False

    @property
    def id(self) -> str:
        """The id that the caller chose."""
        return self.record.id

    def open_due(self, now_ms: int) -> int | None:
        """Open the occurrences that are due; return when the next one is."""
        spec = self.record.spec
        occurrence_count = max(1, spec.repeats)
        while len(self.occurrences) < occurrence_count:
            occurrence = len(self.occurrences)
            if spec.repeats:
                due_ms = spec.first_due_ms + occurrence * spec.interval_ms
                if now_ms < due_ms:
                    return due_ms
            self.occurrences.append(
                [
                    StepRun(self, occurrence, i, step)
                    for i, step in enumerate(spec.steps)
                ]
            )
        return None

    def steps(self) -> Iterator[StepRun]:
        """Yield every open step of every occurrence."""
        for steps in self.occurrences:
            yield from steps

    def ready_steps(self, now_ms: int) -> Iterator[StepRun]:
        """Yield the steps that are not done and whose dependencies are."""
        for steps in self.occurrences:
            for step in steps:
                if step.is_done:
                    continue
                if step.ready_at_ms is None:
                    if not all(steps[i].is_done for i in step.spec.after):
                        continue
                    step.ready_at_ms = now_ms
                yield step

    def runs(self) -> list[Run]:
        """Return every run that may still be active on a worker."""
        return [
            run
            for step in self.steps()
            for task in step.tasks
            for run in (task.run, task.copy)
            if run is not None
        ]

    def task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its indices, or None if it does not exist."""
        if not 0 <= occurrence < max(1, self.record.spec.repeats):
            return None
        while len(self.occurrences) <= occurrence:
            number = len(self.occurrences)
            self.occurrences.append(
                [
                    StepRun(self, number, i, spec)
                    for i, spec in enumerate(self.record.spec.steps)
                ]
            )
        steps = self.occurrences[occurrence]
        if not 0 <= step < len(steps) or not 0 <= index < steps[step].spec.count:
            return None
        return steps[step].tasks[index]

    def is_complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        if len(self.occurrences) < max(1, self.record.spec.repeats):
            return False
        return all(step.is_done for step in self.steps())

    def finish(self, state: JobState, now_ms: int) -> None:
        """Set the job's final state, unless it has one."""
        if self.final is None:
            self.final = state
            self.ended_at_ms = now_ms

    def state(self) -> JobState:
        """Return the current state, whether or not it is durable."""
        if self.final is not None:
            return self.final
        return JobState.RUNNING if self.started else JobState.QUEUED

    def progress(self) -> ProgressRecord:
        """Return the progress record, from which a later lead restores the job."""
        steps = []
        if self.final is None:
            for step in self.steps():
                if step.done_count or step.failed_runs:
                    steps.append(_step_progress(step))
        state = "" if self.final is None else self.final.value
        return ProgressRecord(state, self.started, self.ended_at_ms, tuple(steps))

    def restore(self, progress: ProgressRecord) -> None:
        """Restore the progress that an earlier lead recorded.

        Raises RecordError if the record does not match the job, since a daemon of
        another version may have written it. The job may then be partly restored.
        """
        self.started = progress.started
        state = saved_state(self.id, progress)
        if state is not None:
            self.final = state
            self.ended_at_ms = progress.ended_at_ms
        for saved in progress.steps:
            first = self.task(saved.occurrence, saved.step, 0)
            if first is None:
                raise RecordError(self.id, f"no step at (occurrence, step) {saved[:2]}")
            step = first.step
            failed_tasks = [index for index, _ in saved.failed if index != -1]
            for index in (*saved.done, *failed_tasks):
                if not 0 <= index < step.spec.count:
                    raise RecordError(
                        self.id, f"no task {index} at (occurrence, step) {saved[:2]}"
                    )
            indices = range(step.spec.count) if saved.all_done else saved.done
            for index in indices:
                step.mark_done(index)
            for index, runs in saved.failed:
                step.failed_runs[index] = set(runs)
                highest = max(runs, default=0)
                for task in step.tasks if index < 0 else [step.tasks[index]]:
                    task.last_run = max(task.last_run, highest)
        self.reported_state = self.state()


def saved_state(job_id: str, progress: ProgressRecord) -> JobState | None:
    """Return the final state in a progress record, if any; raises RecordError."""
    if not progress.state:
        return None
    try:
        return JobState(progress.state)
    except ValueError as exc:
        raise RecordError(job_id, str(exc)) from exc


def _step_progress(step: StepRun) -> StepProgress:
    done: tuple[int, ...] = ()
    if not step.is_done:
        done = tuple(task.index for task in step.tasks if task.done)
    failed = tuple(
        (index, tuple(sorted(runs))) for index, runs in step.failed_runs.items()
    )
    return StepProgress(step.occurrence, step.index, step.is_done, done, failed)
