"""The lead of one pool: decides, orders, and follows what became of it."""

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
)
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import (
    CellDocument,
    Finding,
    Plan,
    PoolGrants,
    WorkerEntry,
    WorkerReport,
)
from savorylead.resources import ZERO, Resources
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.settings import LogLevel

from ._admission import Admission
from ._advice_asker import AdviceAsker
from ._grant_keeper import GrantKeeper
from ._job_intake import JobIntake
from ._lead_parts import LeadParts
from ._leadless_pools import LeadlessPools
from ._plan_timer import PlanTimer
from ._pool_fleet import PoolFleet
from ._pool_records import PoolRecords, RecordedWorker
from ._pool_state import PoolState
from ._progress_log import ProgressLog
from ._report_judge import ReportJudge
from ._run_starter import RunStarter
from ._session_owner import SessionOwner
from ._term import Term
from ._term_writes import TermWrites
from ._worker_session import WorkerSession

#: Workers are renewed before the jobs are loaded if that takes longer. A strong machine
#: takes less than 0.3 s, and looks at each worker once.
RENEW_AFTER = timedelta(milliseconds=500)
#: Time between two lines on the same team at its limit.
SHORT_LOG_EVERY = timedelta(seconds=1)
#: Longest wait of a caller for a final state to become durable.
FINAL_STATE_WAIT = timedelta(milliseconds=200)
#: How often records of ended jobs are deleted.
FORGET_EVERY = timedelta(seconds=10)


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
        self._tasks = TaskSet()
        #: Whether a later lead was seen; this one ends at the next turn.
        self._is_superseded = False
        #: Whether the jobs are loaded; callers are not answered before.
        self.loaded = False
        #: The platform's newest list, which may come before the jobs are loaded.
        self._listed: Sequence[WorkerEntry] | None = None
        self._state = PoolState(parts.clock, parts.status_for_ms)
        self.admission = Admission(self._state, parts.log)
        self._passes = PlanTimer(parts.clock, self._plan_now)
        self._waiting_demand: dict[str, Resources] = {}
        self._short_logged_until: dict[str, datetime] = {}
        store, clock, log = parts.store, parts.clock, parts.log
        writes = TermWrites(store, term, self.superseded)
        self._records = PoolRecords(
            store, clock, log, term, self._tasks, writes, self._unloadable
        )
        self._progress = ProgressLog(writes, clock, log, self._tasks, self._on_durable)
        self._fleet = PoolFleet(
            self._state, self, parts.calls, self._records, clock, log, term
        )
        self._starter = RunStarter(
            self._state,
            log,
            term.number,
            self._tasks,
            self.may_act,
            self._plan_soon,
        )
        self._asker = AdviceAsker(self._state, log, parts.ask_adviser, self._plan_soon)
        self._intake = JobIntake(
            self._state, self._starter, self._progress, log, term.pool, self._plan_soon
        )
        self._judge = ReportJudge(self._state, self._starter, self._progress, log)
        self._grants = PoolGrants(term.pool)
        self._grant_keeper = GrantKeeper(
            store,
            clock,
            log,
            term,
            self._tasks,
            writes,
            self._grants,
            LeadlessPools(store, clock, parts.has_lead),
            self._demand,
            self._plan_soon,
            parts.on_grants_written,
        )
        self.set_document(document)

    def start(self) -> None:
        """Load the jobs, claim the workers and begin to decide."""
        for what, begin in (
            ("start of a lead", self._load),
            ("intake of jobs", self._follow),
            ("forgetting of jobs", self._forget_ended),
        ):
            self._tasks.spawn(what, supervised(what, self._clock, begin))
        self._grant_keeper.start()

    def close(self) -> None:
        """Order and write nothing more; workers go on under their leases."""
        self._tasks.close()
        self._log_dropped()
        self._fleet.close()
        self._progress.close()
        self._passes.close()

    def _log_dropped(self) -> None:
        """Tell in one line what the next lead has to find out by itself."""
        jobs = self._progress.unwritten()
        workers = not self._records.has_written()
        grants = self._grant_keeper.is_unclear()
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

    def may_act(self) -> bool:
        """Return whether this daemon surely still leads."""
        is_over = self._tasks.is_closed or self._is_superseded
        return not is_over and self._parts.lease.holds()

    def superseded(self) -> None:
        """Give the pool up: a later lead has written or used a worker.

        That happens at the next turn, since one of the lead's own tasks tells it.
        """
        if not self._is_superseded:
            self._is_superseded = True
            self._clock.call_later(timedelta(0), self._give_up)

    def _unloadable(self) -> None:
        self._give_way("not_loaded")

    def _give_way(self, reason: str) -> None:
        # At the next turn, since one of the lead's own tasks tells it.
        tell = self._parts.on_unable
        self._clock.call_later(timedelta(0), tell, self.term.pool, reason)

    def _give_up(self) -> None:
        if not self._tasks.is_closed:
            self._on_superseded(self.term.pool)

    def set_document(self, document: CellDocument) -> None:
        """Take over a configuration."""
        # Jobs of a queue that was removed still run, by what it said last.
        self._state.queues.update((q.name, q) for q in document.queues)
        self._state.weights = {t.name: t.weight for t in document.teams}
        self._state.planner.set_queues(self._state.queues.values())
        self._grants.set_pools(p.name for p in document.pools)
        self._grants.set_limits({t.name: t.limit for t in document.teams})
        self._grant_keeper.hurry()
        self._plan_soon()

    def accept(self, record: JobRecord, revision: int) -> None:
        """Take in a job that is durable."""
        self._intake.take_in(record, revision)

    def cancel(self, job_id: str) -> bool:
        """Stop a job whose cancellation is durable; False if it is not known."""
        if job_id not in self._state.jobs.jobs:
            return False
        self._intake.cancel(job_id)
        return True

    async def shown_state(self, job_id: str) -> JobState | None:
        """Return the state to tell, None if the job is not known here.

        A final state that is about to become durable is waited for: a caller who is
        told the state before it would come back only much later.
        """
        job = self._state.jobs.jobs.get(job_id)
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
        return self._state.jobs.pending(queue)

    async def _load(self) -> None:
        began_at = self._clock.now()
        loaded = await self._records.load(self._renew_meanwhile)
        self._intake.restore(loaded)
        self.loaded = True
        self._fleet.load(loaded.workers)
        if self._listed is not None:
            self._fleet.set_workers(self._listed)
        self._log.log_event(
            LogLevel.INFO,
            "lead_loaded",
            pool=self.term.pool,
            term=self.fence,
            jobs=len(self._state.jobs.jobs),
            open_jobs=len(self._state.jobs.open),
            workers=len(self._state.sessions),
            took_ms=to_millis(self._clock.now()) - to_millis(began_at),
        )
        self._plan_soon()

    async def _follow(self) -> None:
        await self._records.follow(self._intake.take_in, self._intake.cancel)

    def _renew_meanwhile(self, workers: Sequence[RecordedWorker]) -> None:
        async def renew() -> None:
            await self._clock.sleep(RENEW_AFTER)
            if not self.loaded:
                self._fleet.renew(workers)

        self._tasks.spawn("renewal while records are read", renew())

    def takes_reports(self) -> bool:
        """Return whether reports can be judged, since the jobs are known."""
        return self.loaded

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
            old = self._state.jobs.forgettable(self._state.now_ms())
            if not old or not self.may_act():
                continue
            deleted = await self._records.guarded(self._progress.forget(old))
            for job in old[: deleted or 0]:
                self._state.jobs.forget(job)

    def _plan_soon(self) -> None:
        if self.loaded and not self._tasks.is_closed:
            self._passes.soon()

    def _plan_now(self, now_ms: int) -> None:
        if self._fleet.is_cut_off():
            self._give_way("workers_not_reached")
        elif self.may_act():
            self._plan_once(now_ms)

    def _plan_once(self, now_ms: int) -> None:
        self._fleet.is_located()
        self._state.jobs.open_due(now_ms)
        steps = list(self._state.jobs.ready_steps(now_ms, self._may_start))
        workers = [
            w for w in self._state.workers.values() if self._records.is_recorded(w.id)
        ]
        plan = self._state.planner.plan(
            steps,
            self._state.queues,
            workers,
            self._team_room,
            now_ms,
            self._parts.advice_slots(),
        )
        self._note_demand(plan)
        self._starter.carry_out(plan)
        for request in plan.requests:
            self._tasks.spawn("call for advice", self._asker.ask(request))

    def _may_start(self, job: Job) -> bool:
        # A step need not wait until the ends before it are durable: workers list them
        # until then, so the next lead learns of them too.
        # A job accepted since this term began can't have runs of earlier leads.
        return self._fleet.is_located() or job.revision > self.term.revision

    def _team_room(self, team: str) -> Resources | None:
        # What an earlier lead started on a worker that has not answered yet may be
        # any team's.
        held = self._state.held.get(team, ZERO).plus(self._fleet.hidden_room())
        return self._grants.room(team, held)

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
                held=self._state.held.get(team, ZERO)[:3],
                lacking=lacking[:3],
                **self._grants.explain(team),
            )

    def _demand(self) -> tuple[dict[str, Resources], dict[str, Resources]] | None:
        """Return what teams hold and wait for, None while that is not known whole."""
        if not self._fleet.is_located():
            return None
        return self._state.held, self._waiting_demand

    async def durable(self) -> None:
        """Return once what was applied is durable."""
        await self._progress.durable()

    def set_workers(self, entries: Sequence[WorkerEntry]) -> None:
        """Take over the platform's list of this pool's workers."""
        self._listed = entries
        if self.loaded:
            self._fleet.set_workers(entries)
            self._plan_soon()

    def apply(
        self, session: WorkerSession, findings: Sequence[Finding], report: WorkerReport
    ) -> None:
        """Take over what a report says."""
        if not self._records.is_recorded(session.worker.id):
            self._fleet.record_workers()
        self._judge.apply(session, findings)
        self._plan_soon()

    def lost(self, session: WorkerSession, runs: Sequence[Run], reason: str) -> None:
        """Take over that runs are over without a report of their end."""
        for run in runs:
            self._judge.gone(run, reason)
        self._plan_soon()
