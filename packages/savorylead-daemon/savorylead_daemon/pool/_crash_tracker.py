"""Tells crashes of workers from planned ends, and gives up tasks that cause them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from savorylead.jobs import IsolatedRun, JobState, Run, SuspectTask, Task, TaskName
from savorylead.pools import (
    PoolWorker,
    WorkerCrash,
    has_common_cause,
    isolate,
    record_crash,
)
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._crash_records import CrashRecords
from ._pool_state import PoolState

#: Maximum number of runs named in a log line; a worker rarely has more.
MAX_LOGGED_RUNS = 40


class CrashCounts:
    """Counts for the metrics, kept across the leads of one daemon."""

    def __init__(self) -> None:
        #: Number of workers that ended, by pool and by how they ended.
        self.worker_ends: Counter[tuple[str, str]] = Counter()
        #: Number of tasks that were given up since they crash workers, by pool.
        self.given_up: Counter[str] = Counter()


class CrashTracker:
    """Keeps the suspects of one pool, across the leads that record them."""

    def __init__(
        self,
        pool: str,
        state: PoolState,
        log: EventLog,
        counts: CrashCounts,
        records: CrashRecords,
        give_up: Callable[[Task], None],
    ) -> None:
        """``give_up(task)`` ends the job of a task that crashes workers."""
        self._pool = pool
        self._state = state
        self._log = log
        self._counts = counts
        self._records = records
        self._give_up = give_up
        #: Tasks under which workers have crashed, in the order of their first crash.
        self._tasks: dict[Task, None] = {}
        #: Workers that are presumed to have crashed, and their incarnation's start.
        self._presumed: dict[str, int] = {}

    async def wait_until_recorded(self) -> None:
        """Return once the suspects are durable, or cannot be made so in time."""
        await self._records.wait_until_written()

    def _record(self) -> None:
        """Record the suspects whose jobs are open, those with most crashes first."""
        for task in [t for t in self._tasks if not t.crashes or not t.is_open]:
            del self._tasks[task]
        by_crashes = sorted(self._tasks, key=lambda task: -len(task.crashes))
        self._records.schedule_write(
            [SuspectTask(str(t.name), t.crashes, t.isolated_run) for t in by_crashes]
        )

    def isolate(self, run: Run, worker: PoolWorker, incarnation_start_ms: int) -> None:
        """Isolate a suspect's run whose start is about to be ordered."""
        isolate(run, worker, self._state.now_ms())
        run.task.isolated_run = IsolatedRun(worker.id, incarnation_start_ms, run.number)
        self._record()

    def restore(self, suspects: Iterable[SuspectTask]) -> None:
        """Go on with the suspects that the former lead recorded.

        Their last runs count as started until their workers' reports tell more.
        """
        for suspect in suspects:
            task = self._find(suspect.task)
            if task is None or not task.is_open:
                continue
            task.crashes = suspect.crashes
            task.step.has_suspects = True
            self._tasks[task] = None
            if suspect.isolated_run is not None:
                self._restore_run(task, suspect.isolated_run)

    def _find(self, name: str) -> Task | None:
        try:
            return self._state.jobs.task(TaskName.parse(name))
        except ValueError:
            return None

    def _restore_run(self, task: Task, isolated: IsolatedRun) -> None:
        task.last_run = max(task.last_run, isolated.number)
        session = self._state.sessions.get(isolated.worker)
        if session is None or task.run is not None:
            return
        task.isolated_run = isolated
        session.expect_incarnation(isolated.incarnation_start_ms)
        run = Run(task, isolated.number, isolated.worker, self._state.now_ms())
        run.adopted = True
        task.run = run
        self._state.hold(session.worker, run)

    def note_worker_ended(
        self, worker: PoolWorker, runs: Sequence[Run], is_certain: bool
    ) -> None:
        """Record that a worker's incarnation has ended, with the runs that it had.

        ``is_certain`` is False if the worker is only presumed to have crashed, since it
        has neither answered nor been listed for a while.
        """
        at_ms = worker.silent_since_ms or self._state.now_ms()
        is_planned = worker.is_leaving or worker.evacuated
        worker.crashed_at_ms = 0 if is_planned else at_ms
        how = "planned" if is_planned else "crashed" if is_certain else "presumed"
        self._counts.worker_ends[self._pool, how] += 1
        is_shared = not is_planned and has_common_cause(
            worker, at_ms, self._state.workers.values()
        )
        self._log.log_event(
            LogLevel.INFO,
            "worker_left" if is_planned else "worker_crashed",
            pool=self._pool,
            worker=worker.id,
            rack=worker.entry.rack,
            certain=is_certain,
            common_cause=is_shared,
            runs=len(runs),
            # A run that began just before its worker crashed is the likeliest cause.
            task_runs=[
                f"{run.task.name}/{run.number}"
                for run in sorted(runs, key=lambda run: -run.sent_at_ms)
            ][:MAX_LOGGED_RUNS],
            youngest_run_ms=at_ms - max((r.sent_at_ms for r in runs), default=at_ms),
        )
        if runs and not is_planned:
            if not is_certain:
                self._presumed[worker.id] = worker.entry.incarnation_start_ms
            # Any other start may have been answered by the next incarnation.
            answered_ms = max(
                worker.last_answer_ms, *(run.confirmed_at_ms for run in runs)
            )
            self._blame(
                WorkerCrash(worker.id, answered_ms, at_ms, runs, is_certain, is_shared)
            )

    def note_listed(self, worker: PoolWorker) -> None:
        """Take back a presumed crash if the worker is listed as it was before."""
        start_ms = self._presumed.pop(worker.id, None)
        if start_ms is None or start_ms != worker.entry.incarnation_start_ms:
            return
        self._log.log_event(
            LogLevel.INFO, "worker_had_not_crashed", pool=self._pool, worker=worker.id
        )
        for task in self._tasks:
            task.crashes = tuple(c for c in task.crashes if c.worker != worker.id)
        self._record()

    def _blame(self, crash: WorkerCrash) -> None:
        given_up = record_crash(crash)
        for run in crash.runs:
            if run.task.crashes:
                self._tasks[run.task] = None
        for task in given_up:
            if task.step.job.final is not None:
                # Another task of the same job was given up just now.
                continue
            self._counts.given_up[self._pool] += 1
            self._log.log_event(
                LogLevel.WARNING,
                "job_given_up",
                job=task.step.job.id,
                state=JobState.FAILED.value,
                pool=self._pool,
                task_name=str(task.name),
                crashes=len(task.crashes),
                crashed_workers=[c.worker for c in task.crashes],
                run_ages_ms=[c.age_ms for c in task.crashes],
            )
            self._give_up(task)
        self._record()
