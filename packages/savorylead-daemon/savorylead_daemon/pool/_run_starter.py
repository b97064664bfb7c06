"""Sends start orders for tasks and handles their outcomes."""

from __future__ import annotations

from collections.abc import Callable

from savorylead.jobs import Job, JobState, Run, RunState, Task
from savorylead.pools import (
    Placement,
    Plan,
    PlannedCopy,
    PlannedGang,
    RunOrder,
    RunRejected,
    RunStarted,
    StartRejection,
    WorkerNotReachedError,
)
from savorylead_daemon.concurrency import TaskSet
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._copy_counts import CopyCounter
from ._crash_tracker import CrashTracker
from ._pool_state import PoolState

#: Run numbers reserved per term, so that the next lead can number its runs above all
#: earlier ones without any communication.
RUNS_PER_TERM = 64
#: Increment of a run number that a worker has rejected as too low.
RUN_NUMBER_STEP = 16


class RunStarter:
    """Executes the starts and preemptions of a plan."""

    def __init__(
        self,
        state: PoolState,
        log: EventLog,
        fence: int,
        tasks: TaskSet,
        may_act: Callable[[], bool],
        plan_soon: Callable[[], None],
        crashes: CrashTracker,
        copies: CopyCounter,
    ) -> None:
        self._state = state
        self._log = log
        self._fence = fence
        self._tasks = tasks
        self._may_act = may_act
        self._plan_soon = plan_soon
        self._crashes = crashes
        self._copies = copies

    def execute(self, plan: Plan) -> None:
        """Start the placed tasks and stop the preempted runs."""
        now_ms = self._state.now_ms()
        for placement in plan.placements:
            run = self._begin(placement, self._next_number(placement.task), now_ms)
            self._tasks.spawn("start of a task", self._start(run, placement))
        for gang in plan.gangs:
            self._start_gang(gang, now_ms)
        for step, waited_ms in plan.turns:
            self._log.log_event(
                LogLevel.INFO,
                "step_goes_first",
                job=step.job.id,
                step=step.name,
                tasks=step.spec.count,
                gang=step.spec.gang,
                waited_ms=waited_ms,
                allowed=self._state.planner.book.allowed_count(step),
            )
        for run in plan.preempted:
            self.log_start(run, "preempted", percent=run.percent)
            self._state.sessions[run.worker].stop_run(run, "preempted")
        for copy in plan.copies:
            self._start_copy(copy, now_ms)

    def _start_copy(self, copy: PlannedCopy, now_ms: int) -> None:
        """Start a second run beside the first one.

        Raises CopyNotAllowedError before anything is sent if the task may have only one
        run at a time.
        """
        placement = copy.placement
        task, worker = placement.task, placement.worker
        run = Run(task, self._next_number(task), worker.id, now_ms)
        run.resumed = bool(task.checkpoint)
        task.add_copy(run, copy.reason)
        task.last_run = run.number
        self._state.hold(worker, run)
        self._copies.note_started()
        self._tasks.spawn("start of a copy", self._start(run, placement))

    def _start_gang(self, gang: PlannedGang, now_ms: int) -> None:
        number = max(self._next_number(p.task) for p in gang.placements)
        runs = [(self._begin(p, number, now_ms), p) for p in gang.placements]
        for run, placement in runs:
            self._tasks.spawn("start of a gang's task", self._start(run, placement))

    def _next_number(self, task: Task) -> int:
        return max(task.last_run, (self._fence - 1) * RUNS_PER_TERM) + 1

    def _begin(self, placement: Placement, number: int, now_ms: int) -> Run:
        """Create a run and reserve its resources before its order is sent."""
        task, worker = placement.task, placement.worker
        run = Run(task, number, worker.id, now_ms)
        run.resumed = bool(task.checkpoint)
        task.run = run
        task.last_run = number
        self._state.hold(worker, run)
        if task.is_suspect and worker.id in self._state.sessions:
            self._crashes.isolate(run, worker)
        return run

    async def _start(self, run: Run, placement: Placement) -> None:
        task = run.task
        if task.is_suspect:
            # If the run crashes its worker, a later lead must know that it was there.
            await self._crashes.wait_until_recorded()
        session = self._state.sessions.get(run.worker)
        may_start = session is not None and await session.confirm_incarnation()
        is_needed = run.state is RunState.STARTING and task.has_run(run)
        if session is None or not is_needed or not self._may_act():
            self.free(run)
            self.stop_rest_of_gang(run, "gang_incomplete")
            return
        if not may_start:
            self.log_start(run, "worker_unconfirmed")
            self._failed_to_start(run)
            return
        order = RunOrder(
            task=task.name,
            number=run.number,
            payload=task.step.job.record.spec.payload,
            deadline_ms=0,
            checkpoint=task.checkpoint,
            ticket=placement.ticket,
        )
        try:
            result = await session.start_run(run, order)
        except WorkerNotReachedError as exc:
            self.log_start(run, "not_reached", detail=str(exc))
            self._failed_to_start(run)
            return
        if result is None:
            session.stop_run(run, "start_unanswered")
            self.stop_rest_of_gang(run, "start_unanswered")
        elif isinstance(result, RunRejected):
            self.log_start(run, result.reason.value)
            self._rejected(run, result)
        else:
            self._started(run, result)

    def _started(self, run: Run, result: RunStarted) -> None:
        job = run.task.step.job
        run.confirmed_at_ms = self._state.now_ms()
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        self.log_start(run, "started")
        self.mark_started(job)
        if job.final is not None or run.task.done:
            self.stop_unneeded(job)

    def mark_started(self, job: Job) -> None:
        """Mark the job as started."""
        job.started = True
        if job.reported_state is JobState.QUEUED:
            job.reported_state = JobState.RUNNING

    def _rejected(self, run: Run, result: RunRejected) -> None:
        worker = self._state.workers[run.worker]
        task = run.task
        if result.reason is StartRejection.STALE_NUMBER:
            task.last_run += RUN_NUMBER_STEP
        elif result.reason is StartRejection.BAD_TICKET:
            self._state.planner.book.record_rejection(task.step, run.worker)
        elif result.reason in (StartRejection.UNHEALTHY, StartRejection.NO_ROOM):
            worker.quarantine(self._state.now_ms())
        self._failed_to_start(run)

    def free(self, run: Run, won: bool = False) -> None:
        """Release a run that is over; a copy won if it made its task done."""
        if self._state.free(run) and run.copy_reason:
            self._copies.note_ended(won)

    def _failed_to_start(self, run: Run) -> None:
        self.free(run)
        self.stop_rest_of_gang(run, "gang_incomplete")
        self._plan_soon()

    def stop_rest_of_gang(self, run: Run, reason: str) -> None:
        """Stop the other members of a run's gang, which cannot continue without it."""
        if not run.task.step.spec.gang:
            return
        for task in run.task.step.tasks:
            other = task.run
            if other is not None and other is not run:
                self._state.sessions[other.worker].stop_run(other, reason)

    def stop_unneeded(self, job: Job) -> None:
        """Stop the runs of a job that has ended, or of tasks that are done."""
        for run in self._state.jobs.runs_to_stop(job):
            session = self._state.sessions.get(run.worker)
            if session is not None:
                session.stop_run(run, "not_needed")

    def log_start(self, run: Run, outcome: str, **details: object) -> None:
        """Log the outcome of a start, or a decision about the run."""
        if run.copy_reason:
            details = {"copy": True, "reason": run.copy_reason, **details}
        self._log.log_event(
            LogLevel.INFO,
            "task_start",
            job=run.task.step.job.id,
            task_name=str(run.task.name),
            run=run.number,
            worker=run.worker,
            outcome=outcome,
            **details,
        )
