"""Tells crashes of workers from planned ends, and gives up tasks that cause them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from savorylead.jobs import (
    JobState,
    RecordedRun,
    Run,
    RunState,
    SuspectTask,
    Task,
    TaskName,
)
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
from ._worker_session import WorkerSession

#: Maximum number of runs named in a log line; a worker rarely has more.
MAX_LOGGED_RUNS = 40
#: Age up to which a run is recorded when its lead resigns, in milliseconds: its worker
#: may have crashed without being found silent yet. A poll waits for an end for 1 s, and
#: its answer and that of the next poll are overdue after 0.7 s at most.
UNSEEN_CRASH_MS = 2_500


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
        #: Whether the former lead's record was read; it is not overwritten before.
        self._is_restored = False
        #: Workers whose runs are recorded since they do not answer.
        self._silent: set[str] = set()
        #: Runs that began just before this lead resigned.
        self._last_runs: list[Run] = []

    async def wait_until_recorded(self) -> None:
        """Return once the suspects are durable, or cannot be made so in time."""
        await self._records.wait_until_written()

    def _record(self) -> None:
        """Record the suspects whose jobs are open, those with most crashes first."""
        for task in [t for t in self._tasks if not t.crashes or not t.is_open]:
            del self._tasks[task]
        by_crashes = sorted(self._tasks, key=lambda task: -len(task.crashes))
        exposed = [run.task for run in self._exposed_runs()]
        tasks = dict.fromkeys([*by_crashes, *exposed])
        self._records.schedule_write(
            [SuspectTask(str(t.name), t.crashes, self._run_of(t)) for t in tasks]
        )

    def _exposed_runs(self) -> list[Run]:
        """Return the runs whose worker may have crashed, the youngest ones first."""
        runs = [*self._last_runs]
        for worker_id in self._silent & self._state.workers.keys():
            runs += self._state.workers[worker_id].runs.values()
        return sorted(
            (r for r in runs if r.task.is_open and r.task.run is r and not r.is_blamed),
            key=lambda run: -run.sent_at_ms,
        )

    def _run_of(self, task: Task) -> RecordedRun | None:
        """Return a task's run as it is recorded; None if no further crash can count."""
        run = task.run
        session = None if run is None else self._state.sessions.get(run.worker)
        if run is None or session is None or run.is_blamed:
            return None
        return _record_of(run, session)

    def note_silent(self, worker: PoolWorker) -> None:
        """Record the runs of a worker that does not answer.

        If it has crashed, that is recognized seconds later, perhaps by the next lead.
        """
        if worker.runs and self._is_restored:
            self._silent.add(worker.id)
            self._record()

    def note_answered(self, worker: PoolWorker) -> None:
        """Forget the record of a worker's runs once it has answered."""
        if worker.id in self._silent:
            self._silent.discard(worker.id)
            self._record()

    async def note_resigning(self) -> None:
        """Record the runs under which workers may have crashed unnoticed by now."""
        since_ms = self._state.now_ms() - UNSEEN_CRASH_MS
        self._last_runs = [
            run
            for worker in self._state.workers.values()
            for run in worker.runs.values()
            if run.sent_at_ms >= since_ms
        ]
        if self._is_restored and self._last_runs:
            self._record()
        await self._records.wait_until_written()

    def isolate(self, run: Run, worker: PoolWorker) -> None:
        """Isolate a suspect's run whose start is about to be ordered."""
        isolate(run, worker, self._state.now_ms())
        self._record()

    def restore(self, suspects: Iterable[SuspectTask]) -> None:
        """Go on with the suspects that the former lead recorded.

        Their last runs count as started until their workers' reports tell more. So do
        runs on workers that did not answer the former lead.
        """
        self._is_restored = True
        for suspect in suspects:
            task = self._find(suspect.task)
            if task is None or not task.is_open:
                continue
            if suspect.crashes:
                task.crashes = suspect.crashes
                task.step.has_suspects = True
                self._tasks[task] = None
            if suspect.recorded_run is not None:
                self._restore_run(task, suspect.recorded_run)

    def _find(self, name: str) -> Task | None:
        try:
            return self._state.jobs.task(TaskName.parse(name))
        except ValueError:
            return None

    def _restore_run(self, task: Task, recorded: RecordedRun) -> None:
        task.last_run = max(task.last_run, recorded.number)
        session = self._state.sessions.get(recorded.worker)
        if session is None or task.run is not None:
            return
        worker = session.worker
        session.expect_incarnation(recorded.incarnation_start_ms)
        sent_at_ms = recorded.sent_at_ms or self._state.now_ms()
        run = Run(task, recorded.number, worker.id, sent_at_ms)
        run.adopted = True
        run.suspect_until_ms = recorded.suspect_until_ms
        if recorded.confirmed_at_ms:
            run.confirmed_at_ms = recorded.confirmed_at_ms
            run.state = RunState.RUNNING
        if not session.claimed:
            worker.last_answer_ms = recorded.last_answer_ms
            if recorded.silent_since_ms:
                # A crash would have happened when the former lead noticed the silence.
                worker.silent_since_ms = recorded.silent_since_ms
                self._silent.add(worker.id)
        task.run = run
        self._state.hold(worker, run)

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


def _record_of(run: Run, session: WorkerSession) -> RecordedRun:
    worker = session.worker
    return RecordedRun(
        worker.id,
        session.incarnation_start_ms,
        run.number,
        run.sent_at_ms,
        run.confirmed_at_ms,
        run.suspect_until_ms,
        worker.silent_since_ms,
        worker.last_answer_ms,
    )
