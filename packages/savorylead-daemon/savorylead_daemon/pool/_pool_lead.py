"""The lead of one pool: plans, sends orders and tracks their outcomes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import CancelledError, Deferred

from savorylead.clock import to_millis
from savorylead.jobs import (
    Job,
    JobRecord,
    JobState,
    ProgressRecord,
    Run,
    StepRun,
    Task,
)
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import (
    BlockedTeam,
    CellDocument,
    Committed,
    Finding,
    LearnedDurations,
    Plan,
    PoolDemand,
    PoolGrants,
    PoolWorker,
    WorkerEntry,
    WorkerReport,
)
from savorylead.resources import ZERO, Resources
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.settings import LogLevel

from ._admission import Admission
from ._advice_caller import AdviceCaller
from ._copy_counts import CopyCounter
from ._crash_records import CrashRecords
from ._crash_tracker import CrashTracker
from ._duration_records import DurationRecords
from ._former_queues import FormerQueues
from ._grant_updater import GrantUpdater
from ._job_intake import JobIntake
from ._job_marks import JobMarks
from ._keys import intake_prefix, pool_key
from ._lead_parts import LeadParts
from ._leadless_pools import LeadlessPools
from ._plan_timer import PlanTimer
from ._pool_fleet import PoolFleet
from ._pool_records import LoadedPool, PoolRecords, RecordedWorker
from ._pool_state import PoolState
from ._progress_log import ProgressLog
from ._report_processor import ReportProcessor
from ._run_starter import RunStarter
from ._session_owner import SessionOwner
from ._term import Term
from ._term_writes import TermWrites
from ._worker_session import WORKER_LEASE_MS, WorkerSession

#: If loading the jobs takes longer than this, workers are renewed in the meantime. A
#: fast machine loads in less than 0.3 s and so polls each worker only once.
RENEW_AFTER = timedelta(milliseconds=500)
#: Shortest interval between two log lines on the same team at its limit.
LIMIT_LOG_INTERVAL = timedelta(seconds=1)
#: Longest delay of a resignation until what the next lead needs is recorded: a write
#: takes 4 ms, and the pool has no decisions meanwhile.
RESIGN_WAIT = timedelta(milliseconds=200)
#: Longest delay of a state request until a final state is durable.
FINAL_STATE_WAIT = timedelta(milliseconds=200)
#: Time for which a pool that has left the configuration keeps its lead, at least.
#: Daemons with an earlier version store jobs in it for a few seconds more.
MIN_RETIREMENT_AGE = timedelta(seconds=60)
#: Interval between deletions of ended jobs' records.
PURGE_INTERVAL = timedelta(seconds=10)
_MS = timedelta(milliseconds=1)


class PoolLead(SessionOwner):
    """Leads one pool for one term; a new term needs a new instance."""

    def __init__(
        self,
        parts: LeadParts,
        term: Term,
        document: CellDocument,
        evacuated: frozenset[str],
        on_superseded: Callable[[str], None],
    ) -> None:
        """``evacuated`` are the failure domains in which nothing may start."""
        self._parts = parts
        self._clock = parts.clock
        self._log = parts.log
        self.term = term
        self.fence = term.number
        self._on_superseded = on_superseded
        self._tasks = TaskSet()
        #: Whether a later lead was detected; this one then ends at the next iteration
        #: of the reactor.
        self._is_superseded = False
        self._is_resigning = False
        #: Whether the jobs are loaded; callers are not answered before that.
        self.loaded = False
        #: Whether a member was of the earlier version at any time in this term.
        self._has_unmarking_members = not parts.all_mark_ended_leases()
        #: The platform's newest list, which may arrive before the jobs are loaded.
        self._listed_workers: Sequence[WorkerEntry] | None = None
        #: Since when the configuration lacks this pool; None if it names it.
        self._unnamed_since: datetime | None = None
        self._state = PoolState(parts.clock, parts.status_for_ms, parts.policy)
        self.admission = Admission(self._state, parts.log)
        self._plan_timer = PlanTimer(parts.clock, self._plan_now)
        self._waiting_demand: dict[str, Resources] = {}
        self._blocked: dict[str, BlockedTeam] = {}
        self._short_logged_until: dict[str, datetime] = {}
        store, clock, log = parts.store, parts.clock, parts.log
        writes = self._writes = TermWrites(store, term, self.superseded)
        self._records = PoolRecords(
            store,
            clock,
            log,
            term,
            self._tasks,
            writes,
            self._on_unloadable,
            parts.policy.marks_jobs,
        )
        self._progress = ProgressLog(writes, clock, log, self._tasks, self._on_durable)
        self._marks = JobMarks(parts.policy.marks_jobs, self._progress)
        self._fleet = PoolFleet(
            self._state,
            self,
            parts.calls,
            self._records,
            clock,
            log,
            term,
            parts.max_worker_lease_ms,
        )
        self._crash_records = CrashRecords(term.pool, writes, clock, log, self._tasks)
        self._crashes = CrashTracker(
            term.pool,
            self._state,
            log,
            parts.crash_counts,
            self._crash_records,
            self._give_up,
        )
        durations = self._state.planner.durations
        self._duration_records = (
            DurationRecords(
                term.pool, durations, store, writes, clock, log, self._tasks
            )
            if isinstance(durations, LearnedDurations)
            else None
        )
        self._starter = RunStarter(
            self._state,
            log,
            term.number,
            self._tasks,
            self.may_act,
            self._plan_soon,
            self._crashes,
            CopyCounter(term.pool, parts.copy_counts),
        )
        self._asker = AdviceCaller(self._state, log, parts.ask_adviser, self._plan_soon)
        self._intake = JobIntake(
            self._state,
            self._starter,
            self._progress,
            log,
            term,
            self._plan_soon,
            self._marks,
            parts.policy.marks_jobs,
        )
        self._report_processor = ReportProcessor(
            self._state, self._starter, self._progress, log
        )
        self._former_queues = FormerQueues(
            store,
            clock,
            log,
            term.pool,
            self._tasks,
            self._state.queues,
            self._on_queue_found,
        )
        self._grants = PoolGrants(term.pool)
        self._grant_updater = GrantUpdater(
            store,
            clock,
            log,
            term,
            self._tasks,
            writes,
            self._grants,
            LeadlessPools(store, clock, parts.has_lead, parts.max_worker_lease_ms),
            self._demand,
            self._plan_soon,
            parts.on_grants_written,
        )
        self.set_document(document)
        self.set_evacuated(evacuated)

    def start(self) -> None:
        """Load the jobs, claim the workers and start planning."""
        for what, begin in (
            ("start of a lead", self._load),
            ("intake of jobs", self._follow),
            ("forgetting of jobs", self._purge_ended),
        ):
            self._tasks.spawn(what, supervised(what, self._clock, begin))
        self._grant_updater.start()
        if self._duration_records is not None:
            self._duration_records.start()

    def close(self) -> None:
        """Stop all orders and writes; workers continue until their leases expire."""
        self._tasks.close()
        self._log_unwritten()
        self._log_leases_left()
        self._fleet.close()
        self._progress.close()
        self._crash_records.close()
        self._plan_timer.close()

    async def prepare_to_resign(self) -> None:
        """Start nothing more, and record what the next lead cannot find out."""
        self._is_resigning = True
        recording = Deferred.fromCoroutine(self._crashes.note_resigning())
        try:
            await within(self._clock, RESIGN_WAIT, recording)
        except (DeadlineExceededError, CancelledError):
            self._log.log_event(
                LogLevel.INFO, "resigned_unrecorded", pool=self.term.pool
            )

    def _log_unwritten(self) -> None:
        """Log the unwritten changes, which the next lead must discover itself."""
        jobs = self._progress.unwritten()
        workers = not self._records.is_written()
        grants = self._grant_updater.is_unclear()
        if jobs or workers or grants:
            self._log.log_event(
                LogLevel.INFO,
                "lead_writes_dropped",
                pool=self.term.pool,
                term=self.fence,
                jobs=jobs,
                workers=workers,
                grants=grants,
            )

    def _log_leases_left(self) -> None:
        """Log for how long workers may continue runs of this term."""
        left_ms = self._fleet.leases_left_ms()
        self._log.log_event(
            LogLevel.INFO,
            "lead_leases_left",
            pool=self.term.pool,
            term=self.fence,
            renewed_ms_ago=self._parts.lease.renewed_ms_ago(),
            leased_workers=len(left_ms),
            longest_lease_ms=max(left_ms, default=0),
        )

    def reaches_all_runs(self) -> bool:
        """Return whether the next lead would locate all runs at once."""
        return self._fleet.reaches_all_runs()

    def may_act(self) -> bool:
        """Return whether this daemon is guaranteed to still be the lead."""
        is_over = self._tasks.is_closed or self._is_superseded
        return not is_over and self._parts.lease.holds()

    def worker_lease_ms(self) -> int:
        """Return for how long a worker may be leased now, in milliseconds.

        Beside daemons that may end this daemon's lease without a mark, worker leases
        count from the last proof of the lease, so that they are over whenever leads of
        the earlier version take them for over.
        """
        if self._parts.all_mark_ended_leases():
            return WORKER_LEASE_MS
        proved_at = self._parts.lease.proved_at
        if proved_at is None:
            return 0
        return max(0, WORKER_LEASE_MS - (self._clock.now() - proved_at) // _MS)

    def superseded(self) -> None:
        """Resign, since a later lead has written records or used a worker.

        Deferred to the next reactor iteration, since one of the lead's own tasks calls
        this.
        """
        if not self._is_superseded:
            self._is_superseded = True
            self._clock.call_later(timedelta(0), self._resign)

    def _on_unloadable(self) -> None:
        self._report_cannot_lead("not_loaded")

    def _report_cannot_lead(self, reason: str) -> None:
        # In the next reactor iteration, since one of the lead's own tasks calls this.
        on_cannot_lead = self._parts.on_cannot_lead
        self._clock.call_later(timedelta(0), on_cannot_lead, self.term.pool, reason)

    def _resign(self) -> None:
        if not self._tasks.is_closed:
            self._on_superseded(self.term.pool)

    def set_document(self, document: CellDocument) -> None:
        """Apply a configuration."""
        if any(p.name == self.term.pool for p in document.pools):
            self._unnamed_since = None
        elif self._unnamed_since is None:
            self._unnamed_since = self._clock.now()
        # Jobs of a removed queue still run, under its last configuration.
        self._state.queues.update((q.name, q) for q in document.queues)
        self._state.weights = {t.name: t.weight for t in document.teams}
        self._state.planner.set_queues(self._state.queues.values())
        self._grants.set_pools(p.name for p in document.pools)
        self._grants.set_queues(document.queues)
        self._grants.set_limits({t.name: t.limit for t in document.teams})
        self._grant_updater.update_soon()
        self._plan_soon()

    def _on_queue_found(self) -> None:
        """Plan the jobs of a queue that was removed before this term."""
        self._state.planner.set_queues(self._state.queues.values())
        self._plan_soon()

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Start nothing in these failure domains; what runs there continues."""
        self._fleet.set_evacuated(domains)
        self._plan_soon()

    def accept(self, record: JobRecord, revision: int) -> None:
        """Add a durable job."""
        self._intake.add(record, revision)
        if record.id in self._state.jobs.open:
            self._former_queues.note(record)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job whose cancellation is durable; False if the job is unknown."""
        if job_id not in self._state.jobs.jobs:
            return False
        self._intake.cancel(job_id)
        return True

    async def reported_state(self, job_id: str) -> JobState | None:
        """Return the state to report to callers, None if the job is unknown here.

        Waits for a final state that is about to become durable: a caller that got the
        previous state would poll again only much later.
        """
        job = self._state.jobs.jobs.get(job_id)
        if job is None:
            return None
        if job.cancelled and job.final is JobState.CANCELLED:
            return JobState.CANCELLED
        if job.final is not None and job.reported_state is not job.final:
            durable = Deferred.fromCoroutine(self._progress.wait_until_durable())
            try:
                await within(self._clock, FINAL_STATE_WAIT, durable)
            except (DeadlineExceededError, CancelledError):
                # Report the last durable state.
                return job.reported_state
        return job.reported_state

    def schedule_grant_review(self) -> None:
        """Schedule a review of the grants and demands of other pools."""
        self._grant_updater.update_soon()

    def pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return self._state.jobs.pending(queue)

    async def _load(self) -> None:
        began_at = self._clock.now()
        loaded = await self._records.load(self._renew_meanwhile)
        self._intake.restore(loaded)
        self.loaded = True
        for job in self._state.jobs.open.values():
            self._former_queues.note(job.record)
        self._fleet.load(loaded.workers, loaded.ended_early)
        self._crash_records.revision = loaded.suspects_revision
        self._crashes.restore(loaded.suspects)
        if self._listed_workers is not None:
            self._fleet.set_workers(self._listed_workers)
        self._log.log_event(
            LogLevel.INFO,
            "lead_loaded",
            pool=self.term.pool,
            term=self.fence,
            jobs=len(self._state.jobs.jobs),
            open_jobs=len(self._state.jobs.open),
            former_ended_early=loaded.ended_early,
            **self._unseen_at_takeover(loaded),
            workers=len(self._state.sessions),
            took_ms=to_millis(self._clock.now()) - to_millis(began_at),
        )
        self._plan_soon()

    def _unseen_at_takeover(self, loaded: LoadedPool) -> dict[str, int | None]:
        """Return what is logged on jobs that no earlier lead can have started."""
        if not self._parts.policy.marks_jobs:
            return {}
        jobs = self._state.jobs.open.values()
        return {
            "unseen_jobs": sum(job.is_unseen for job in jobs),
            "unmarked_jobs": sum(map(self._marks.is_awaited, jobs)),
            "marked_since": loaded.marked_since,
        }

    async def _follow(self) -> None:
        await self._records.follow(
            lambda job_id: job_id in self._state.jobs.jobs,
            self.accept,
            self._intake.cancel,
        )

    def _renew_meanwhile(self, workers: Sequence[RecordedWorker]) -> None:
        async def renew() -> None:
            await self._clock.sleep(RENEW_AFTER)
            if not self.loaded:
                self._fleet.renew(workers)

        self._tasks.spawn("renewal while records are read", renew())

    def can_apply_reports(self) -> bool:
        """Return whether reports can be applied, which needs the jobs to be loaded."""
        return self.loaded

    def _on_durable(self, job: Job, progress: ProgressRecord) -> None:
        shown = job.reported_state
        if progress.state:
            job.reported_state = JobState(progress.state)
        elif job.started:
            job.reported_state = JobState.RUNNING
        if shown is not job.reported_state and progress.state:
            self._log.log_event(
                LogLevel.INFO,
                "job_ended",
                job=job.id,
                state=progress.state,
                queue=job.record.queue,
                after_ms=job.ended_at_ms - job.record.accepted_at_ms,
            )
        self._plan_soon()

    async def _purge_ended(self) -> None:
        while True:
            await self._clock.sleep(PURGE_INTERVAL)
            if not self.may_act():
                continue
            if self._may_retire():
                await self._records.log_store_errors(self._retire())
            old = self._state.jobs.expired(self._state.now_ms())
            if not old:
                continue
            deleted = await self._records.log_store_errors(self._progress.delete(old))
            for job in old[: deleted or 0]:
                self._state.jobs.remove(job)

    def _may_retire(self) -> bool:
        """Return whether the pool has left the configuration and holds no jobs."""
        since = self._unnamed_since
        if since is None or not self.loaded or self._state.jobs.jobs:
            return False
        return self._clock.now() - since >= MIN_RETIREMENT_AGE

    async def _retire(self) -> None:
        """End the term, so that the pool has no lead from then on."""
        pool = self.term.pool
        # A job that is stored meanwhile changes the key's revision.
        item = await self._parts.store.get(pool_key(pool))
        page = await self._parts.store.page(intake_prefix(pool))
        if page.items:
            return
        revision = 0 if item is None else item.revision
        result = await self._writes.commit(
            {pool_key(pool): revision}, deletes=[pool_key(pool), self.term.key]
        )
        self._log.log_event(
            LogLevel.INFO,
            "pool_retired",
            pool=pool,
            term=self.fence,
            done=isinstance(result, Committed),
        )

    def _plan_soon(self) -> None:
        if self.loaded and not self._tasks.is_closed:
            self._plan_timer.request_pass()

    def _plan_now(self, now_ms: int) -> None:
        if self._fleet.is_isolated():
            self._report_cannot_lead("workers_not_reached")
        elif self.may_act() and not self._is_resigning:
            self._plan_once(now_ms)

    def _plan_once(self, now_ms: int) -> None:
        self._fleet.all_runs_located()
        self._state.jobs.open_due(now_ms)
        may_repeat = None
        if self._parts.policy.marks_jobs and self._parts.policy.copy_share > 0:
            may_repeat = self._may_repeat
        steps = list(self._state.jobs.ready_steps(now_ms, self._may_start, may_repeat))
        workers = [
            w for w in self._state.workers.values() if self._records.is_recorded(w.id)
        ]
        plan = self._state.planner.plan(
            steps,
            self._state.queues,
            workers,
            self._team_headroom,
            now_ms,
            self._parts.advice_slots(),
        )
        self._note_demand(plan)
        if not self._fleet.all_runs_located():
            # A task of an earlier lead may have two runs already.
            plan = plan._replace(copies=[])
        self._starter.execute(self._marks.startable(plan))
        for request in plan.requests:
            self._tasks.spawn("call for advice", self._asker.call(request))

    def _may_start(self, job: Job) -> bool:
        if self._marks.is_overdue(job):
            return False
        # A step does not wait until the ends of its predecessors are durable: workers
        # list them until then, so the next lead gets them as well.
        if self._fleet.all_runs_located():
            return True
        # A job accepted since this term began is announced to no earlier lead, except
        # by daemons of the earlier version.
        self._has_unmarking_members |= not self._parts.all_mark_ended_leases()
        return job.is_unseen and not self._has_unmarking_members

    def _may_repeat(self, step: StepRun) -> bool:
        """Return whether tasks of a step may start beside runs of earlier leads.

        The same steps may as may have copies: members of two gangs would break each
        other, and a run that is found later is kept only as a copy.
        """
        spec = step.spec
        if not spec.speculative or spec.gang or spec.long_running or spec.fills:
            return False
        return not step.has_suspects and not self._marks.is_overdue(step.job)

    def _team_headroom(self, team: str) -> Resources | None:
        # Runs of earlier leads on workers that have not answered yet may belong to any
        # team, so each team's headroom is reduced by all of them.
        held = self._state.held.get(team, ZERO).plus(self._fleet.unlocated_resources())
        return self._grants.headroom(team, held)

    def _note_demand(self, plan: Plan) -> None:
        self._waiting_demand = plan.blocked_by_limit
        self._blocked = self._blocked_teams(plan)
        for team, lacking in plan.blocked_by_limit.items():
            if any(lacking):
                self._grant_updater.note_shortage(lacking)
            now = self._clock.now()
            if now < self._short_logged_until.get(team, now):
                continue
            self._short_logged_until[team] = now + LIMIT_LOG_INTERVAL
            self._log.log_event(
                LogLevel.INFO,
                "team_short_of_limit",
                team=team,
                pool=self.term.pool,
                held=self._state.held.get(team, ZERO)[:3],
                lacking=lacking[:3],
                **self._grants.explain(team),
            )

    def _blocked_teams(self, plan: Plan) -> dict[str, BlockedTeam]:
        """Return the teams that a limit blocks, each since its last start if later."""
        blocked = {}
        for team, pieces in plan.blocked_pieces.items():
            before = self._blocked.get(team)
            since_ms = self._state.now_ms() if before is None else before.since_ms
            started_ms = self._state.last_start_ms.get(team, 0)
            blocked[team] = BlockedTeam(pieces, max(since_ms, started_ms))
        return blocked

    def _demand(self) -> PoolDemand | None:
        """Return what teams hold and wait for, None until all runs are located."""
        if not self._fleet.all_runs_located():
            return None
        state = self._state
        return PoolDemand(
            state.held, self._waiting_demand, self._blocked, state.lasting
        )

    async def wait_until_durable(self) -> None:
        """Return once all applied changes are durable."""
        await self._progress.wait_until_durable()

    def set_workers(self, entries: Sequence[WorkerEntry]) -> None:
        """Apply the platform's current list of this pool's workers."""
        self._listed_workers = entries
        if self.loaded:
            self._fleet.set_workers(entries)
            self._plan_soon()

    def apply(
        self, session: WorkerSession, findings: Sequence[Finding], report: WorkerReport
    ) -> None:
        """Apply the findings of a report."""
        incarnation_ms = session.settled_incarnation_ms
        if not self._records.is_recorded(session.worker.id, incarnation_ms):
            self._fleet.record_workers()
        self._report_processor.apply(session, findings)
        self._plan_soon()

    def worker_ended(
        self, session: WorkerSession, runs: Sequence[Run], is_certain: bool
    ) -> None:
        """Record that the worker's incarnation ended while ``runs`` were on it."""
        self._crashes.note_worker_ended(session.worker, runs, is_certain)

    def worker_silent(self, worker: PoolWorker) -> None:
        """Record the worker's runs, since it may have crashed."""
        self._crashes.note_silent(worker)

    def worker_answered(self, worker: PoolWorker) -> None:
        """Handle that a worker has answered a poll."""
        self._crashes.note_answered(worker)

    def worker_listed(self, worker: PoolWorker) -> None:
        """Handle that a worker has appeared in the platform's list."""
        self._crashes.note_listed(worker)

    def count_unanswered_start(self, event: str) -> None:
        """Count what became of a start order without an answer."""
        self._parts.unanswered_starts[self.term.pool, event] += 1

    def _give_up(self, task: Task) -> None:
        """End the job of a task that crashes its workers, as failed."""
        job = task.step.job
        now_ms = self._state.now_ms()
        job.finish(JobState.FAILED, now_ms)
        self._state.jobs.finish_if_complete(job, now_ms)
        self._progress.schedule_write(job, urgent=True)
        self._starter.stop_unneeded(job)

    def lost(self, session: WorkerSession, runs: Sequence[Run], reason: str) -> None:
        """Record that runs are over without a report of their end."""
        for run in runs:
            self._report_processor.record_lost(run, reason)
        self._plan_soon()
