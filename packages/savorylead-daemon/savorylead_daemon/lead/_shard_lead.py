"""Leads one shard at one epoch."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from savorylead.clock import to_millis
from savorylead.contracts import GrantHolder, TaskId, TaskSpec
from savorylead.domains import Shard
from savorylead.journal import (
    Accepted,
    DeposedError,
    Event,
    Phase,
    ShardState,
    TaskRecord,
    Tombstoned,
)
from savorylead.outcomes import NotRun, Refusal, Unknown
from savorylead.placement import Decision, Overflow, PendingTask, Planner
from savorylead.resources import ZERO, Resources
from savorylead.workers import Inventory, RunReport, VmEntry, Worker, WorkerError
from savorylead_daemon.services import Admitted, SubmitReply, TaskView

from ._dispatcher import TaskDispatcher, members_of
from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._offers import OfferedJob, OfferSender
from ._parts import CellPolicy, LeadParts
from ._pending_queue import PendingQueue
from ._periodic import Gathered
from ._placement_index import PlacementIndex
from ._run_care import RunCare
from ._run_follower import RunFollower
from ._upkeep import EpochProof, RetentionSweep, Upkeep, VmListFollower
from ._views import job_is_answerable, view_job
from ._waiting_room import WaitingRoom
from ._worker_session import Attempt, SessionListener, WorkerSession

#: Most decisions of one planning round, so that a round stays short.
MAX_DECISIONS_PER_ROUND = 500
#: Delay by which triggers of a planning round gather.
PLAN_GATHER = timedelta(milliseconds=2)


class ShardLead(SessionListener, GrantHolder):
    """Owns a shard's records, queue and workers until it is deposed or resigns.

    Its public methods are the messages that it takes; each change of state happens
    within one turn of the reactor. The asynchronous ones fail with DeposedError once
    another lead has taken the shard or this one was closed; what they were asked for
    may then have happened or not.
    """

    def __init__(
        self,
        shard: Shard,
        state: ShardState,
        parts: LeadParts,
        policy: CellPolicy,
        entries: Sequence[VmEntry],
        on_deposed: Callable[[ShardLead], None],
    ) -> None:
        self.shard = shard
        self._parts = parts
        self._clock = parts.clock
        self._planner = parts.planner
        self._on_deposed = on_deposed
        self._closed = False
        self._policy = policy._replace(revision=-1)
        self._began_at = self._clock.now()
        self._ledger = ShardLedger(parts.journal, state)
        self._proof = EpochProof(parts, self._ledger, self._step_down)
        self._plan_soon = Gathered(self._clock, PLAN_GATHER, self._plan)
        self._fleet = ShardFleet(shard, parts.planner, self._open_session)
        self._room = WaitingRoom(parts.waiting_bounds, parts.rng)
        self._offers = OfferSender(shard.name, self._ledger, parts.router, self._clock)
        self._index = PlacementIndex(state)
        self._care = RunCare(self._fleet, self._index.held_on, self._clock)
        self._queue = PendingQueue(
            self._planner, self._fleet, self._care, self._room, self._clock
        )
        self._dispatcher = TaskDispatcher(
            self._ledger,
            self._planner,
            self._fleet,
            self._index,
            self._queue,
            self._room,
            self._care,
            self._offers,
            self._clock,
            parts.observer,
            self._plan_soon.trigger,
        )
        self._runs = RunFollower(
            self._ledger,
            self._planner,
            self._fleet,
            self._index,
            self._queue,
            self._care,
            self._dispatcher,
            self._clock,
            parts.observer,
            self._plan_soon.trigger,
        )
        self._limits = parts.open_limits(shard.name, self.epoch, self)
        self._limits_step_runs = False
        self.apply_policy(policy)
        self._fleet.take_list(entries)
        self._dispatcher.restore()
        self._upkeep = Upkeep(
            parts,
            self._proof,
            VmListFollower(parts, self._fleet, self._runs),
            RetentionSweep(parts, self._ledger),
            self._on_plan_tick,
        )
        parts.observer.lead_began(shard.name, self.epoch, len(self.records))

    @classmethod
    async def open(
        cls,
        shard: Shard,
        lead_name: str,
        parts: LeadParts,
        policy: CellPolicy,
        on_deposed: Callable[[ShardLead], None],
    ) -> ShardLead:
        """Take the shard, replay its journal and take over its workers.

        Raises StoreError, VmListError, or DeposedError if another lead came first.
        """
        entries = await parts.vm_list.read()
        state = await parts.journal.open(lead_name)
        return cls(shard, state, parts, policy, entries, on_deposed)

    @property
    def epoch(self) -> int:
        """The epoch of this lead."""
        return self._parts.journal.epoch

    @property
    def fleet(self) -> ShardFleet:
        """The workers of the shard, for views."""
        return self._fleet

    @property
    def planner(self) -> Planner:
        """The planner, for views and digests."""
        return self._planner

    @property
    def records(self) -> Mapping[TaskId, TaskRecord]:
        """Every task that the shard knows, for views."""
        return self._ledger.state.records

    def running_on(self, worker: str) -> int:
        """Return how many tasks are placed on a worker."""
        return self._index.count_on(worker)

    def held_on(self, worker: str) -> Resources:
        """Return what placed tasks hold on a worker."""
        return self._index.held_on(worker)

    def teams(self) -> list[str]:
        """Return the teams of the configuration in force."""
        return sorted(self._policy.shares)

    def running_count(self) -> int:
        """Return how many tasks are placed in the shard."""
        return sum(self.running_on(s.worker.name) for s in self._fleet)

    def granted(self, team: str) -> Resources:
        """Return what the team may hold in this shard now."""
        return self._limits.grant(team)

    def apply_policy(self, policy: CellPolicy) -> None:
        """Use a configuration; older revisions are ignored."""
        if policy.revision <= self._policy.revision:
            return
        removed = set(self._policy.shares) - set(policy.shares)
        self._policy = policy
        self._room.set_bounds(policy.max_waiting)
        self._planner.set_policy(policy.policy)
        for team in sorted(removed):
            self._planner.set_share(team, 0)
        self._limits.set_limits(policy.revision, policy.limits)
        for team, weight in policy.shares.items():
            self._planner.set_share(team, weight)
            self._planner.set_grant(team, self._limits.grant(team))
        self._plan_soon.trigger()

    def set_fleet(self, capacity: Resources, elsewhere: dict[str, Resources]) -> None:
        """Use what the other leads tell of the fleet, for fair shares."""
        self._planner.set_fleet(capacity, elsewhere)

    async def submit(self, specs: Sequence[TaskSpec]) -> list[SubmitReply]:
        """Accept new tasks and answer repeats; one reply per spec.

        Members of an all-at-once job must come together.
        """
        now_ms = self._now_ms()
        fresh: list[PendingTask] = []
        events: list[Event] = []
        for spec in specs:
            # A tombstone stands for all members of an all-at-once job.
            if spec.id.job() in self.records:
                continue
            refusal = self._refusal_of(spec)
            if refusal is None:
                events.append(Accepted(spec, now_ms))
                fresh.append(self._queue.fresh(spec, now_ms))
            else:
                self._parts.observer.refused(spec, refusal.reason)
                events.append(Tombstoned(spec.id, refusal, now_ms))
        self._accept(events, fresh)
        return [await self._reply_to(spec) for spec in specs]

    async def take_offer(self, origin: str, job: OfferedJob) -> bool:
        """Take a job of another shard, or decline it for good."""
        first = job.specs[0].id
        if first not in self.records:
            self._take_or_decline(origin, job)
        for spec in job.specs:
            await self._ledger.settled(spec.id)
        record = self.records.get(first)
        return record is not None and record.phase is not Phase.TOMBSTONED

    async def answers(self, tasks: Sequence[TaskId], wait: timedelta) -> list[TaskView]:
        """Return views, waiting until one of the tasks has something final."""
        until = self._clock.now() + wait
        while not any(job_is_answerable(self._ledger, task) for task in tasks):
            if not await self._wait_for_any(tasks, until):
                break
        return self.views(tasks)

    def views(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Return views of tasks as they are now."""
        return [view_job(self._ledger, self.shard.name, task) for task in tasks]

    async def cancel(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Cancel tasks; those unknown get a tombstone."""
        known = [
            member
            for task in tasks
            if task.job() in self.records
            for member in self._members_of(task.job())
        ]
        self._dispatcher.cancel(known)
        await self.tombstone([t for t in tasks if t.job() not in self.records])
        for task in known:
            await self._ledger.settled(task)
        return self.views(tasks)

    async def tombstone(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Make sure that tasks are never accepted, unless they already were."""
        now_ms = self._now_ms()
        self._dispatcher.commit(
            [
                Tombstoned(task.job(), NotRun(Refusal.TOMBSTONE), now_ms)
                for task in tasks
                if task.job() not in self.records
            ]
        )
        for task in tasks:
            await self._ledger.settled(task.job())
        return self.views(tasks)

    async def resign(self) -> None:
        """Give the shard up so that another lead may take it at once."""
        self._end(resigned=True)
        await self._parts.journal.resign()

    def close(self) -> None:
        """Stop leading without a word; waiting calls fail with DeposedError."""
        self._end(resigned=False)
        self._parts.journal.close()

    def held(self, team: str) -> Resources:
        """Return what the team holds in the shard."""
        return self._planner.held_by_team(team)

    def grant_changed(self, team: str, grant: Resources) -> None:
        """Use another grant from now on."""
        self._planner.set_grant(team, grant)
        self._plan_soon.trigger()

    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """Take a worker's report."""
        self._fleet.refresh(session)
        self._runs.on_inventory(session, inventory)
        self._plan_soon.trigger()

    def on_reports(self, session: WorkerSession, reports: Sequence[RunReport]) -> None:
        """Take a worker's answer to a stop or a checkpoint."""
        self._runs.on_reports(session, reports)

    def on_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """Take a worker's word that an attempt runs."""
        self._runs.on_started(session, attempt)

    def on_start_refused(
        self, session: WorkerSession, attempt: Attempt, reason: str
    ) -> None:
        """Place an attempt elsewhere that a worker refused."""
        self._runs.on_start_refused(attempt, reason)

    def on_suspected(self, session: WorkerSession) -> None:
        """Give a silent worker no new work."""
        self._fleet.refresh(session)

    def on_lost(self, session: WorkerSession) -> None:
        """Take back the work of a worker whose lease surely lapsed."""
        self._fleet.refresh(session)
        self._runs.on_lost(session)
        self._fleet.drop_if_gone(session)

    def on_stale_epoch(self, epoch: int) -> None:
        """Step down, since a worker has seen a later lead."""
        self._step_down()

    def on_command_failed(self, session: WorkerSession, exc: WorkerError) -> None:
        """Count a command that is sent again."""
        self._parts.observer.order_retried(session.worker.name, type(exc).__name__)

    def _open_session(self, worker: Worker) -> WorkerSession:
        return WorkerSession(
            worker,
            self.epoch,
            self._parts.contract,
            self._clock,
            self._parts.rng,
            self._parts.times,
            self,
            self._proof.may_renew,
            self._parts.store_seen_for,
            self._earlier_leads_until(),
        )

    def _earlier_leads_until(self) -> datetime:
        """Return until when an earlier lead may have renewed leases."""
        if self.epoch == 1:
            return self._began_at
        return self._began_at + self._parts.times.epoch_grace

    def _refusal_of(self, spec: TaskSpec) -> NotRun | None:
        if not self._fleet.possible_in_cell(spec):
            return NotRun(Refusal.IMPOSSIBLE, "no worker of the cell could hold it")
        limit = self._policy.limits.get(spec.id.team, ZERO)
        if not spec.resources.times(spec.members).fits(limit):
            return NotRun(Refusal.OVER_LIMIT, "the team's upper limit is lower")
        return self._room.admit(spec, self._now_ms())

    def _take_or_decline(self, origin: str, job: OfferedJob) -> None:
        if not all(self._planner.ever_fits(spec) for spec in job.specs):
            now_ms = self._now_ms()
            declined = NotRun(Refusal.IMPOSSIBLE, "no worker of the shard fits")
            self._dispatcher.commit(
                [Tombstoned(spec.id, declined, now_ms) for spec in job.specs]
            )
            return
        self._room.readmit(job.specs[0], self._now_ms())
        self._accept(
            [Accepted(spec, job.accepted_at_ms, origin) for spec in job.specs],
            [self._queue.fresh(s, job.accepted_at_ms) for s in job.specs],
        )

    def _accept(self, events: list[Event], fresh: Sequence[PendingTask]) -> None:
        """Accept and place in one entry, so that an urgent task costs one write."""
        if not events:
            return
        self._ledger.stage(events)
        here = [task for task in fresh if self._planner.ever_fits(task.spec)]
        elsewhere = [task for task in fresh if not self._planner.ever_fits(task.spec)]
        decisions: list[Decision] = self._planner.place_now(here, self._now_ms())
        decisions += [Overflow(task.spec.id) for task in elsewhere]
        self._dispatcher.commit(self._dispatcher.decide(decisions))
        self._tell_demand({task.spec.id.team for task in fresh})

    def _tell_demand(self, teams: set[str]) -> None:
        for team in sorted(teams):
            self._limits.set_demand(team, self._planner.wanted_by_team(team))

    async def _reply_to(self, spec: TaskSpec) -> SubmitReply:
        await self._ledger.settled(spec.id)
        record = self.records.get(spec.id)
        if record is None:
            return Unknown("the record is over its retention time")
        if isinstance(record.outcome, NotRun):
            return record.outcome
        if not _same_request(record.spec, spec):
            return NotRun(Refusal.ID_REUSED, "an equal id came with other fields")
        return Admitted(spec.id)

    def _members_of(self, job: TaskId) -> list[TaskId]:
        record = self.records.get(job)
        if record is None or record.spec is None:
            return [job]
        return members_of(record.spec)

    async def _wait_for_any(self, tasks: Sequence[TaskId], until: datetime) -> bool:
        """Wait for news of one of the tasks; False once the time is up."""
        left = until - self._clock.now()
        if left <= timedelta(0):
            return False
        names = [m for task in tasks for m in self._members_of(task.job())]
        waiter = self._ledger.any_answer(names)
        timer = self._clock.call_later(left, waiter.cancel)
        try:
            await waiter
        except CancelledError:
            if self._clock.now() < until:
                raise
            return False
        finally:
            timer.cancel()
            self._ledger.forget_waiter(names, waiter)
        return True

    def _plan(self) -> None:
        # While the journal can't write, decisions would only pile up.
        if self._closed or self._parts.journal.stalled:
            return
        if self._dispatcher.plan(MAX_DECISIONS_PER_ROUND):
            self._plan_soon.trigger()

    def _on_plan_tick(self) -> None:
        self._tell_demand(set(self._policy.shares))
        self._care.refresh()
        self._dispatcher.shed()
        self._shrink_to_limits()
        if not self._limits_step_runs:
            self._limits_step_runs = True
            step = Deferred.fromCoroutine(self._limits.step())
            step.addBoth(self._after_limits_step)
        self._plan_soon.trigger()

    def _shrink_to_limits(self) -> None:
        """Checkpoint what a lowered limit no longer allows."""
        for team in self._policy.shares:
            excess = self._limits.excess(team)
            if any(excess):
                self._dispatcher.checkpoint_excess(team, excess)

    def _after_limits_step(self, result: object) -> object:
        self._limits_step_runs = False
        return result

    def _step_down(self) -> None:
        if not self._closed:
            self.close()
            self._on_deposed(self)

    def _end(self, resigned: bool) -> None:
        if self._closed:
            return
        self._closed = True
        self._upkeep.close()
        self._plan_soon.close()
        self._fleet.close()
        self._offers.close()
        self._limits.close()
        self._ledger.fail(Failure(DeposedError(self.shard.name, self.epoch)))
        self._parts.observer.lead_ended(self.shard.name, self.epoch, resigned)

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())


def _same_request(known: TaskSpec | None, repeated: TaskSpec) -> bool:
    """Return whether a repeat asks for the same; its deadline is relative."""
    if known is None:
        return False
    return known._replace(start_by_ms=0) == repeated._replace(start_by_ms=0)
