"""The lead of one pool: decides, orders, and follows what became of it."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from twisted.internet.defer import CancelledError, Deferred

from savorylead.clock import Clock, Timer, to_millis
from savorylead.jobs import (
    Job,
    JobRecord,
    JobState,
    ProgressRecord,
    Run,
    RunState,
    Task,
)
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import (
    Advice,
    AdviceRequest,
    AdviserError,
    CellDocument,
    CellStore,
    Ended,
    Finding,
    Listed,
    PaceController,
    Placement,
    Plan,
    PlannedGang,
    PoolGrants,
    PoolPlanner,
    PoolWorker,
    Queue,
    RunEnd,
    RunOrder,
    RunRejected,
    RunStarted,
    StartRejection,
    Unexplained,
    Vanished,
    WorkerCalls,
    WorkerEntry,
    WorkerNotReachedError,
    WorkerReport,
    stalled_runs,
)
from savorylead.resources import ZERO, Resources
from savorylead_daemon.concurrency import spawn
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._cell_lease import CellLease
from ._elections import Term
from ._grant_keeper import GrantKeeper
from ._job_book import JobBook
from ._pool_records import PoolRecords, RecordedWorker
from ._progress_log import ProgressLog
from ._worker_session import SessionOwner, WorkerSession

#: Run numbers of one term; the next lead begins above them without asking anybody.
RUNS_PER_TERM = 64
#: How far a number is raised when a worker says that it is too low.
RUN_NUMBER_STEP = 16
#: Least time between two passes of the planner.
PLAN_EVERY = timedelta(milliseconds=5)
#: A pass is followed by a pause of this many times its own length.
PLAN_PAUSE_FACTOR = 2.0
#: Longest time without a pass, since tickets, rests and deadlines end by themselves.
PLAN_AT_LEAST = timedelta(milliseconds=250)
#: How long a worker may run on that the former lead used and that can't be reached:
#: its longest lease of 4.5 s, the drift of its clock, and calls under way.
UNREACHED_WAIT = timedelta(milliseconds=4_900)
#: A worker that is not listed any more is given up after this time, if it runs
#: nothing. Entries that lapsed with the store are back two seconds after it.
UNLISTED_WAIT = timedelta(milliseconds=2_500)
#: A task moves from a leaving worker that it would outlast, or nearly.
LEAVING_MARGIN_MS = 500
#: Time between two lines on the same team at its limit.
SHORT_LOG_EVERY = timedelta(seconds=1)
#: Longest wait of a caller for a final state to become durable.
FINAL_STATE_WAIT = timedelta(milliseconds=200)
#: How often records of ended jobs are deleted.
FORGET_EVERY = timedelta(seconds=10)

#: Asks the adviser through one of the cell's daemons; raises AdviserError.
AskAdviser = Callable[[str, Sequence[str], float, float], Coroutine[Any, Any, Advice]]


class LeadParts(NamedTuple):
    """What a lead is built from."""

    store: CellStore
    clock: Clock
    log: EventLog
    calls: WorkerCalls
    ask_adviser: AskAdviser
    lease: CellLease
    #: How long states of ended jobs are told, in milliseconds.
    status_for_ms: int
    #: Tells the other leads that they should look at the teams' limits.
    on_grants_written: Callable[[str], None]


class PoolLead(SessionOwner):
    """Everything about one pool during one term; it is thrown away afterwards."""

    def __init__(
        self,
        parts: LeadParts,
        term: Term,
        document: CellDocument,
        on_superseded: Callable[[str], None],
    ) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._log = parts.log
        self.term = term
        self.fence = term.number
        self._on_superseded = on_superseded
        self._closed = False
        #: Whether the jobs are loaded; callers are not answered before.
        self.loaded = False
        self._located = False
        #: Workers that earlier leads may have used.
        self._to_locate: frozenset[str] = frozenset()
        self._began_at = parts.clock.now()
        self.jobs = JobBook(parts.status_for_ms)
        self._workers: dict[str, PoolWorker] = {}
        self._sessions: dict[str, WorkerSession] = {}
        self._unlisted_since: dict[str, int] = {}
        self._queues: dict[str, Queue] = {}
        self._weights: dict[str, float] = {}
        self._held: dict[str, Resources] = {}
        self._planner = PoolPlanner()
        self._pace = PaceController()
        self._plan_timer: Timer | None = None
        self._plan_due_ms = 0
        self._plan_not_before = self._began_at
        self._records = PoolRecords(parts.store, parts.clock, parts.log, term)
        self._progress = ProgressLog(
            parts.store,
            parts.clock,
            parts.log,
            term,
            self._on_durable,
            self.superseded,
        )
        self._grants = PoolGrants(term.pool)
        self._grant_keeper = GrantKeeper(
            parts.store,
            parts.clock,
            parts.log,
            term,
            self._grants,
            self._demand,
            self._plan_soon,
            parts.on_grants_written,
        )
        self._waiting_demand: dict[str, Resources] = {}
        self._short_logged_until: dict[str, datetime] = {}
        self._running: list[Deferred[None]] = []
        self.set_document(document)

    # -- the life of a term --

    def start(self) -> None:
        """Load the jobs, claim the workers and begin to decide."""
        self._running = [
            spawn("start of a lead", self._load()),
            spawn(
                "intake of jobs", self._records.follow(self._take_in, self._cancelled)
            ),
            spawn("forgetting of jobs", self._forget_ended()),
        ]
        self._grant_keeper.start()

    def close(self) -> None:
        """Order nothing more; workers go on under their leases."""
        self._closed = True
        for running in self._running:
            running.cancel()
        for session in self._sessions.values():
            session.close()
        self._progress.close()
        self._grant_keeper.close()
        if self._plan_timer is not None:
            self._plan_timer.cancel()

    def may_act(self) -> bool:
        """Return whether this daemon surely still leads."""
        return not self._closed and self._parts.lease.holds()

    def superseded(self) -> None:
        """Give the pool up: a later lead has written or used a worker."""
        if not self._closed:
            self._on_superseded(self.term.pool)

    def set_document(self, document: CellDocument) -> None:
        """Take over a configuration."""
        self._queues = {q.name: q for q in document.queues}
        self._weights = {t.name: t.weight for t in document.teams}
        self._planner.set_queues(document.queues)
        self._grants.set_limits({t.name: t.limit for t in document.teams})
        self._grant_keeper.hurry()
        self._plan_soon()

    # -- what callers ask --

    def accept(self, record: JobRecord, revision: int) -> None:
        """Take in a job that is durable."""
        self._take_in(record, revision)

    def cancel(self, job_id: str) -> bool:
        """Stop a job whose cancellation is durable; False if it is not known."""
        if job_id not in self.jobs.jobs:
            return False
        self._cancelled(job_id)
        return True

    async def shown_state(self, job_id: str) -> JobState | None:
        """Return the state to tell, None if the job is not known here.

        A final state that is about to become durable is waited for: a caller who is
        told the state before it would come back only much later.
        """
        job = self.jobs.jobs.get(job_id)
        if job is None:
            return None
        if job.cancelled and job.final is JobState.CANCELLED:
            return JobState.CANCELLED
        if job.final is not None and job.shown is not job.final:
            durable = Deferred.fromCoroutine(self._progress.durable())
            try:
                await within(self._clock, FINAL_STATE_WAIT, durable)
            except (DeadlineExceededError, CancelledError):
                # What was durable before is told.
                return job.shown
        return job.shown

    def review_grants(self) -> None:
        """Look soon at what other pools have and want of teams' limits."""
        self._grant_keeper.hurry()

    def pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return self.jobs.pending(queue)

    # -- loading --

    async def _load(self) -> None:
        loaded = await self._records.load()
        self._to_locate = frozenset(r.entry.id for r in loaded.workers)
        for recorded in loaded.workers:
            self._open_session(recorded.entry)
        now_ms = self._now_ms()
        for record, revision in loaded.jobs:
            weight = self._weights.get(record.team, 1.0)
            job = self.jobs.add(record, revision, weight, now_ms)
            saved = loaded.progress.get(record.id)
            if saved is not None:
                job.restore(saved.progress)
                job.progress_revision = saved.revision
                if job.final is not None:
                    self.jobs.open.pop(job.id, None)
            if record.id in loaded.cancelled:
                self._cancelled(record.id)
        self.loaded = True
        self._log.log_event(
            LogLevel.INFO,
            "lead_loaded",
            pool=self.term.pool,
            term=self.fence,
            jobs=len(self.jobs.jobs),
            open_jobs=len(self.jobs.open),
            workers=len(self._sessions),
        )
        self._plan_soon()

    def set_workers(self, entries: Sequence[WorkerEntry]) -> None:
        """Take over the platform's list of this pool's workers."""
        if not self.loaded:
            return
        now_ms = self._now_ms()
        listed = {entry.id for entry in entries}
        for entry in entries:
            self._unlisted_since.pop(entry.id, None)
            self._open_session(entry)
        for worker_id in [w for w in self._workers if w not in listed]:
            self._note_unlisted(worker_id, now_ms)
        self._record_workers()
        self._leave_in_time()
        self._plan_soon()

    def _record_workers(self) -> None:
        """Record the workers that are or may be used; the next lead claims these.

        One that can't be reached and surely runs nothing would only hold it up.
        """
        used = [w for w in self._workers.values() if w.usable or w.runs]
        unlocated = self._to_locate if not self._located else frozenset()
        recorded = [RecordedWorker(w.entry) for w in used]
        recorded += [
            RecordedWorker(self._workers[w].entry)
            for w in unlocated
            if w in self._workers and not self._workers[w].usable
        ]
        self._records.want_workers(recorded)

    def _open_session(self, entry: WorkerEntry) -> None:
        worker = self._workers.get(entry.id)
        if worker is not None:
            if worker.entry.accepting and not entry.accepting:
                self._log.log_event(LogLevel.INFO, "worker_leaving", worker=entry.id)
            worker.entry = entry
            return
        worker = self._workers[entry.id] = PoolWorker(entry)
        session = WorkerSession(worker, self, self._parts.calls, self._clock, self._log)
        self._sessions[entry.id] = session
        session.start()

    def _note_unlisted(self, worker_id: str, now_ms: int) -> None:
        worker = self._workers[worker_id]
        worker.entry = worker.entry._replace(accepting=False)
        since_ms = self._unlisted_since.setdefault(worker_id, now_ms)
        unlisted = timedelta(milliseconds=now_ms - since_ms)
        if unlisted < UNLISTED_WAIT or worker.runs or not self._is_located():
            return
        self._log.log_event(LogLevel.INFO, "worker_gone", worker=worker_id)
        self._sessions.pop(worker_id).close()
        del self._workers[worker_id]
        del self._unlisted_since[worker_id]

    def _is_located(self) -> bool:
        """Return whether every run of earlier leads is known here, or over."""
        if self._located:
            return True
        if not self.loaded:
            return False
        waited = self._clock.now() - self._began_at >= UNREACHED_WAIT
        sessions = [self._sessions.get(w) for w in self._to_locate]
        if waited or all(s is None or s.claimed for s in sessions):
            self._located = True
            self._log.log_event(
                LogLevel.INFO,
                "runs_located",
                pool=self.term.pool,
                term=self.fence,
                unreached=[
                    w
                    for w in self._to_locate
                    if w in self._sessions and not self._sessions[w].claimed
                ],
            )
        return self._located

    # -- jobs --

    def _take_in(self, record: JobRecord, revision: int) -> None:
        if record.id in self.jobs.jobs:
            return
        weight = self._weights.get(record.team, 1.0)
        job = self.jobs.add(record, revision, weight, self._now_ms())
        self._log.log_event(
            LogLevel.INFO,
            "job_taken_in",
            job=record.id,
            pool=self.term.pool,
            age_ms=self._now_ms() - record.accepted_at_ms,
            surplus=job.surplus,
            steps=[
                [s.count, s.resources[:3], s.estimate_ms] for s in record.spec.steps
            ],
        )
        self._plan_soon()

    def _cancelled(self, job_id: str) -> None:
        job = self.jobs.jobs.get(job_id)
        if job is None or not self.jobs.cancel(job, self._now_ms()):
            return
        self._log.log_event(LogLevel.INFO, "job_cancelled", job=job_id)
        self._progress.note(job, urgent=True)
        self._stop_needless(job)

    def _stop_needless(self, job: Job) -> None:
        for run in self.jobs.runs_to_stop(job):
            session = self._sessions.get(run.worker)
            if session is not None:
                session.stop_run(run, "not_needed")

    def _on_durable(self, job: Job, progress: ProgressRecord) -> None:
        shown = job.shown
        if progress.state:
            job.shown = JobState(progress.state)
        elif job.started:
            job.shown = JobState.RUNNING
        if shown is not job.shown and progress.state:
            self._log.log_event(
                LogLevel.INFO,
                "job_ended",
                job=job.id,
                state=progress.state,
                queue=job.record.queue,
                after_ms=job.ended_at_ms - job.record.accepted_at_ms,
            )
        self._plan_soon()

    async def _forget_ended(self) -> None:
        while True:
            await self._clock.sleep(FORGET_EVERY)
            old = self.jobs.forgettable(self._now_ms())
            if not old or not self.may_act():
                continue
            deleted = await self._records.guarded(self._progress.forget(old))
            for job in old[: deleted or 0]:
                self.jobs.forget(job)

    # -- planning --

    def _plan_soon(self) -> None:
        self._plan_at(self._plan_not_before)

    def _plan_at(self, moment: datetime) -> None:
        if self._closed or not self.loaded:
            return
        now = self._clock.now()
        delay = max(timedelta(0), moment - now)
        due_ms = to_millis(now + delay)
        if self._plan_timer is not None:
            if due_ms >= self._plan_due_ms:
                return
            self._plan_timer.cancel()
        self._plan_due_ms = due_ms
        self._plan_timer = self._clock.call_later(delay, self._plan_now)

    def _plan_now(self) -> None:
        self._plan_timer = None
        began = self._clock.now()
        if self.may_act():
            self._plan_once(to_millis(began))
        ended = self._clock.now()
        pause = max(PLAN_EVERY, (ended - began) * PLAN_PAUSE_FACTOR)
        self._plan_not_before = ended + pause
        if self._plan_timer is None:
            self._plan_at(ended + PLAN_AT_LEAST)

    def _plan_once(self, now_ms: int) -> None:
        self._is_located()
        self.jobs.open_due(now_ms)
        steps = list(self.jobs.ready_steps(now_ms, self._may_start))
        workers = [w for w in self._workers.values() if self._records.is_recorded(w.id)]
        plan = self._planner.plan(steps, self._queues, workers, self._team_room, now_ms)
        self._note_demand(plan)
        self._carry_out(plan, now_ms)

    def _may_start(self, job: Job) -> bool:
        if self._progress.must_wait(job):
            return False
        # A job accepted since this term began can't have runs of earlier leads.
        return self._located or job.revision > self.term.revision

    def _team_room(self, team: str) -> Resources | None:
        return self._grants.room(team, self._held.get(team, ZERO))

    def _note_demand(self, plan: Plan) -> None:
        self._waiting_demand = plan.short_of_limit
        for team, lacking in plan.short_of_limit.items():
            if any(lacking):
                self._grant_keeper.note_short(lacking)
            now = self._clock.now()
            if now < self._short_logged_until.get(team, now):
                continue
            self._short_logged_until[team] = now + SHORT_LOG_EVERY
            self._log.log_event(
                LogLevel.INFO,
                "team_short_of_limit",
                team=team,
                pool=self.term.pool,
                held=self._held.get(team, ZERO)[:3],
                lacking=lacking[:3],
                **self._grants.explain(team),
            )

    def _demand(self) -> tuple[dict[str, Resources], dict[str, Resources]]:
        return self._held, self._waiting_demand

    def _carry_out(self, plan: Plan, now_ms: int) -> None:
        for placement in plan.placements:
            run = self._begin(placement, self._next_number(placement.task), now_ms)
            spawn("start of a task", self._start(run, placement))
        for gang in plan.gangs:
            self._start_gang(gang, now_ms)
        for request in plan.requests:
            spawn("call for advice", self._ask(request))
        for run in plan.preempted:
            self._log_start(run, "preempted", percent=run.percent)
            self._sessions[run.worker].stop_run(run, "preempted")

    def _start_gang(self, gang: PlannedGang, now_ms: int) -> None:
        number = max(self._next_number(p.task) for p in gang.placements)
        runs = [(self._begin(p, number, now_ms), p) for p in gang.placements]
        for run, placement in runs:
            spawn("start of a gang's task", self._start(run, placement))

    def _next_number(self, task: Task) -> int:
        return max(task.last_run, (self.fence - 1) * RUNS_PER_TERM) + 1

    def _begin(self, placement: Placement, number: int, now_ms: int) -> Run:
        """Hold the room of a run before its order is sent."""
        task, worker = placement.task, placement.worker
        run = Run(task, number, worker.id, now_ms)
        run.resumed = bool(task.checkpoint)
        task.run = run
        task.last_run = number
        self._hold(worker, run)
        return run

    def _hold(self, worker: PoolWorker, run: Run) -> None:
        worker.add(run)
        team = run.task.step.job.record.team
        held = self._held.get(team, ZERO)
        self._held[team] = held.plus(run.task.step.spec.resources)

    def _free(self, run: Run) -> None:
        """Give back everything that a run held; it is surely over."""
        worker = self._workers.get(run.worker)
        if worker is None or (str(run.task.name), run.number) not in worker.runs:
            return
        worker.remove(run)
        team = run.task.step.job.record.team
        self._held[team] = self._held[team].minus(run.task.step.spec.resources)
        if run.task.run is run:
            run.task.run = None

    async def _start(self, run: Run, placement: Placement) -> None:
        task = run.task
        session = self._sessions.get(run.worker)
        if session is None or not self.may_act():
            self._free(run)
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
            self._log_start(run, "not_reached", detail=str(exc))
            self._failed_to_start(run)
            return
        if self._closed:
            return
        if result is None:
            session.stop_run(run, "start_unanswered")
            self._stop_rest_of_gang(run, "start_unanswered")
        elif isinstance(result, RunRejected):
            self._log_start(run, result.reason.value)
            self._rejected(run, result)
        else:
            self._started(run, result)

    def _started(self, run: Run, result: RunStarted) -> None:
        job = run.task.step.job
        run.confirmed_at_ms = self._now_ms()
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        self._log_start(run, "started")
        self._show_started(job)
        if job.final is not None or run.task.done:
            self._stop_needless(job)

    def _show_started(self, job: Job) -> None:
        job.started = True
        if job.shown is JobState.QUEUED:
            job.shown = JobState.RUNNING

    def _rejected(self, run: Run, result: RunRejected) -> None:
        worker = self._workers[run.worker]
        task = run.task
        if result.reason is StartRejection.STALE_NUMBER:
            task.last_run += RUN_NUMBER_STEP
        elif result.reason is StartRejection.BAD_TICKET:
            self._planner.book.refused(task.step, run.worker)
        elif result.reason in (StartRejection.UNHEALTHY, StartRejection.NO_ROOM):
            worker.rest(self._now_ms())
        self._failed_to_start(run)

    def _failed_to_start(self, run: Run) -> None:
        self._free(run)
        self._stop_rest_of_gang(run, "gang_incomplete")
        self._plan_soon()

    def _stop_rest_of_gang(self, run: Run, reason: str) -> None:
        if not run.task.step.spec.gang:
            return
        for task in run.task.step.tasks:
            other = task.run
            if other is not None and other is not run:
                self._sessions[other.worker].stop_run(other, reason)

    def _log_start(self, run: Run, outcome: str, **details: object) -> None:
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

    async def _ask(self, request: AdviceRequest) -> None:
        book = self._planner.book
        step = request.step
        asked = [self._workers[w] for w in request.workers if w in self._workers]
        book.asked(step)
        try:
            advice = await self._parts.ask_adviser(
                step.name, request.workers, request.expected_ms, request.rank_ms
            )
        except AdviserError as exc:
            self._log.log_event(
                LogLevel.INFO, "advice_failed", step=step.name, detail=str(exc)
            )
            book.failed(step, self._now_ms())
        else:
            book.answered(step, step.job.record.queue, asked, advice, self._now_ms())
            self._log.log_event(
                LogLevel.INFO,
                "advice",
                step=step.name,
                asked=len(asked),
                allowed=len(advice.tickets),
            )
        self._plan_soon()

    # -- reports of workers --

    async def durable(self) -> None:
        """Return once what was applied is durable."""
        await self._progress.durable()

    def apply(
        self, session: WorkerSession, findings: Sequence[Finding], report: WorkerReport
    ) -> None:
        """Take over what a report says."""
        worker = session.worker
        worker.unexplained = 0
        if not self._records.is_recorded(worker.id):
            self._record_workers()
        for finding in findings:
            if isinstance(finding, Listed):
                self._listed(finding)
            elif isinstance(finding, Ended):
                self._ended(worker, finding)
            elif isinstance(finding, Vanished):
                self._gone(finding.run, "vanished")
            else:
                self._unexplained(session, finding)
        self._stop_stalled(session)
        for order in self._pace.decide(worker, self._now_ms()):
            self._log.log_event(
                LogLevel.INFO,
                "pace",
                worker=worker.id,
                task_name=str(order.run.task.name),
                percent=order.percent,
            )
            spawn("pace of a run", session.pace(order.run, order.percent))
        self._plan_soon()

    def lost(self, session: WorkerSession, runs: Sequence[Run], reason: str) -> None:
        """Take over that runs are over without a report of their end."""
        for run in runs:
            self._gone(run, reason)
        self._plan_soon()

    def _listed(self, finding: Listed) -> None:
        run, active = finding.run, finding.active
        now_ms = self._now_ms()
        if not run.confirmed_at_ms:
            run.confirmed_at_ms = now_ms
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            self._show_started(run.task.step.job)
        if active.percent != run.percent:
            run.percent = active.percent
            run.percent_at_ms = now_ms
        run.load = active.load
        step = run.task.step
        if active.checkpoint and step.spec.checkpoints:
            for task in step.tasks if step.spec.gang else [run.task]:
                task.checkpoint = active.checkpoint

    def _ended(self, worker: PoolWorker, finding: Ended) -> None:
        ended = finding.ended
        task = self.jobs.task(ended.task)
        if finding.run is not None:
            self._free(finding.run)
        if task is None:
            return
        job = task.step.job
        queue = self._queues.get(job.record.queue)
        self.jobs.apply_end(task, ended, queue, self._now_ms())
        self._log.log_event(
            LogLevel.INFO,
            "task_end",
            job=job.id,
            task_name=str(ended.task),
            run=ended.number,
            worker=worker.id,
            outcome=ended.how.value,
        )
        if ended.how is RunEnd.DONE:
            worker.note_success()
            self._learn(finding.run)
        elif ended.how is RunEnd.FAILED and worker.note_failure(self._now_ms()):
            self._log.log_event(LogLevel.INFO, "worker_rested", worker=worker.id)
        if ended.how is not RunEnd.DONE and finding.run is not None:
            self._stop_rest_of_gang(finding.run, "gang_broken")
        opens_more = ended.how is RunEnd.FAILED or task.step.is_done
        self._progress.note(job, urgent=opens_more or job.final is not None)
        self._stop_needless(job)

    def _learn(self, run: Run | None) -> None:
        """Learn the length of a task that ran in one piece and undisturbed."""
        if run is None or not run.confirmed_at_ms or run.adopted or run.resumed:
            return
        spec = run.task.step.spec
        if spec.gang or spec.fills or spec.long_running:
            return
        took_ms = self._now_ms() - run.confirmed_at_ms
        queue = run.task.step.job.record.queue
        durations = self._planner.durations
        expected_ms = durations.estimate_ms(queue, spec)
        durations.observe(queue, spec, took_ms)
        worker = self._workers[run.worker]
        if worker.note_length(took_ms / expected_ms, self._now_ms()):
            self._log.log_event(LogLevel.INFO, "worker_slow", worker=worker.id)

    def _gone(self, run: Run, reason: str) -> None:
        self._log.log_event(
            LogLevel.INFO,
            "task_end",
            job=run.task.step.job.id,
            task_name=str(run.task.name),
            run=run.number,
            worker=run.worker,
            outcome=reason,
            stop_reason=run.stop_reason,
        )
        self._free(run)
        self._stop_rest_of_gang(run, "gang_broken")

    def _unexplained(self, session: WorkerSession, finding: Unexplained) -> None:
        """Adopt a run of an earlier lead, or keep the worker free of more."""
        active = finding.active
        worker = session.worker
        task = self.jobs.task(active.task)
        if task is None:
            # Its record may be on the way; without one its size is not known.
            worker.unexplained += 1
            return
        run = Run(task, active.number, worker.id, self._now_ms())
        run.adopted = True
        run.confirmed_at_ms = self._now_ms()
        run.state = RunState.RUNNING
        run.percent = active.percent
        task.last_run = max(task.last_run, active.number)
        self._hold(worker, run)
        job = task.step.job
        self._show_started(job)
        if task.run is not None or task.done or job.final is not None:
            session.stop_run(run, "not_needed")
            return
        task.run = run
        if active.checkpoint and task.step.spec.checkpoints:
            task.checkpoint = active.checkpoint
        self._log.log_event(
            LogLevel.INFO,
            "run_adopted",
            job=job.id,
            task_name=str(active.task),
            run=active.number,
            worker=worker.id,
        )

    def _leave_in_time(self) -> None:
        """Move what a leaving worker would otherwise end."""
        for session in self._sessions.values():
            remaining_ms = session.worker.entry.remaining_ms
            if session.worker.entry.accepting or remaining_ms is None:
                continue
            for run in list(session.worker.runs.values()):
                if self._must_move(run, remaining_ms):
                    session.stop_run(run, "worker_leaving")

    def _must_move(self, run: Run, remaining_ms: int) -> bool:
        spec = run.task.step.spec
        if spec.long_running:
            return True
        if not spec.checkpoints:
            return False
        queue = run.task.step.job.record.queue
        length_ms = self._planner.durations.estimate_ms(queue, spec)
        left_ms = length_ms * (1 - run.percent / 100)
        return left_ms > remaining_ms - LEAVING_MARGIN_MS

    def _stop_stalled(self, session: WorkerSession) -> None:
        now_ms = self._now_ms()
        durations = self._planner.durations
        for run in stalled_runs(session.worker, durations, now_ms):
            self._log_start(run, "stalled", percent=run.percent)
            session.worker.note_stall(now_ms)
            session.stop_run(run, "stalled")

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())
