"""Leads one shard at one epoch."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import datetime, timedelta

from twisted.python.failure import Failure

from savorylead.contracts import GrantHolder, TaskId, TaskSpec, TeamLimits
from savorylead.domains import Shard
from savorylead.journal import (
    DeposedError,
    ShardState,
    TaskRecord,
)
from savorylead.placement import Planner
from savorylead.resources import ZERO, Resources
from savorylead.workers import (
    Inventory,
    RunReport,
    VmEntry,
    Worker,
    WorkerError,
    WorkerState,
)
from savorylead_daemon.services import SubmitReply, TaskView

from ._answer_desk import AnswerDesk
from ._dispatcher import TaskDispatcher
from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._limit_keeper import LimitKeeper
from ._offers import OfferedJob, OfferSender
from ._parts import CellPolicy, LeadParts
from ._pending_queue import PendingQueue
from ._periodic import Gathered
from ._placement_index import PlacementIndex
from ._run_care import RunCare
from ._run_follower import RunFollower
from ._session_listener import Attempt, SessionListener
from ._shared import SharedParts
from ._task_intake import TaskIntake
from ._upkeep import EpochProof, RetentionSweep, Upkeep, VmListFollower
from ._waiting_room import WaitingRoom
from ._worker_session import WorkerSession

#: Most decisions of one planning round, so that a round stays short.
MAX_DECISIONS_PER_ROUND = 500
#: Delay by which triggers of a planning round gather.
PLAN_GATHER = timedelta(milliseconds=2)


class ShardLead(SessionListener):
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
        self._on_deposed = on_deposed
        self._closed = False
        self._policy = policy._replace(revision=-1)
        self._began_at = parts.clock.now()
        self._plan_soon = Gathered(parts.clock, PLAN_GATHER, self._plan)
        self._shared = self._build_shared(state)
        self._proof = EpochProof(parts, self._shared.ledger, self._step_down)
        self._dispatcher = TaskDispatcher(self._shared)
        self._runs = RunFollower(self._shared, self._dispatcher)
        self._limits = LimitKeeper(
            self._open_limits,
            parts.planner,
            self._dispatcher,
            self._free,
            self._plan_soon.trigger,
        )
        self._intake = TaskIntake(
            self._shared,
            self._dispatcher,
            lambda: self._policy,
            self._limits.tell_demand,
        )
        self._desk = AnswerDesk(
            shard.name, self._shared.ledger, self._intake.members, parts.clock
        )
        self.apply_policy(policy)
        self._shared.fleet.take_list(entries)
        self._dispatcher.restore()
        self._upkeep = Upkeep(
            parts,
            self._proof,
            VmListFollower(parts, self._shared.fleet, self._runs),
            RetentionSweep(parts, self._shared.ledger),
            self._on_plan_tick,
        )
        parts.observer.lead_began(shard.name, self.epoch, len(self.records))

    def _build_shared(self, state: ShardState) -> SharedParts:
        parts = self._parts
        ledger = ShardLedger(parts.journal, state)
        fleet = ShardFleet(self.shard, parts.planner, self._open_session)
        index = PlacementIndex(state)
        care = RunCare(fleet, index.held_on, parts.clock)
        room = WaitingRoom(parts.waiting_bounds, parts.rng)
        return SharedParts(
            ledger=ledger,
            planner=parts.planner,
            fleet=fleet,
            index=index,
            queue=PendingQueue(parts.planner, fleet, care, room, parts.clock),
            room=room,
            care=care,
            offers=OfferSender(self.shard.name, ledger, parts.router, parts.clock),
            clock=parts.clock,
            observer=parts.observer,
            plan_soon=self._plan_soon.trigger,
        )

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
        return self._shared.fleet

    @property
    def planner(self) -> Planner:
        """The planner, for views and digests."""
        return self._shared.planner

    @property
    def records(self) -> Mapping[TaskId, TaskRecord]:
        """Every task that the shard knows, for views."""
        return self._shared.ledger.state.records

    def running_on(self, worker: str) -> int:
        """Return how many tasks are placed on a worker."""
        return self._shared.index.count_on(worker)

    def held_on(self, worker: str) -> Resources:
        """Return what placed tasks hold on a worker."""
        return self._shared.index.held_on(worker)

    def teams(self) -> list[str]:
        """Return the teams of the configuration in force."""
        return sorted(self._policy.shares)

    def running_count(self) -> int:
        """Return how many tasks are placed in the shard."""
        return sum(self.running_on(s.worker.name) for s in self._shared.fleet)

    def held(self, team: str) -> Resources:
        """Return what the team holds in the shard."""
        return self._limits.held(team)

    def granted(self, team: str) -> Resources:
        """Return what the team may hold in this shard now."""
        return self._limits.granted(team)

    def apply_policy(self, policy: CellPolicy) -> None:
        """Use a configuration; older revisions are ignored."""
        if policy.revision <= self._policy.revision:
            return
        removed = set(self._policy.shares) - set(policy.shares)
        self._policy = policy
        self._shared.room.set_bounds(policy.max_waiting)
        planner = self._shared.planner
        planner.set_policy(policy.policy)
        for team in sorted(removed):
            planner.set_share(team, 0)
        for team, weight in policy.shares.items():
            planner.set_share(team, weight)
        self._limits.apply_policy(policy)
        self._plan_soon.trigger()

    def set_fleet(self, capacity: Resources, elsewhere: dict[str, Resources]) -> None:
        """Use what the other leads tell of the fleet, for fair shares."""
        self._shared.planner.set_fleet(capacity, elsewhere)

    async def submit(self, specs: Sequence[TaskSpec]) -> list[SubmitReply]:
        """Accept new tasks and answer repeats; one reply per spec.

        Members of an all-at-once job must come together.
        """
        return await self._intake.submit(specs)

    async def take_offer(self, origin: str, job: OfferedJob) -> bool:
        """Take a job of another shard, or decline it for good."""
        return await self._intake.take_offer(origin, job)

    async def answers(self, tasks: Sequence[TaskId], wait: timedelta) -> list[TaskView]:
        """Return views, waiting until one of the tasks has something final."""
        return await self._desk.answers(tasks, wait)

    def views(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Return views of tasks as they are now."""
        return self._desk.views(tasks)

    async def cancel(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Cancel tasks; those unknown get a tombstone."""
        await self._intake.cancel(tasks)
        return self._desk.views(tasks)

    async def tombstone(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Make sure that tasks are never accepted, unless they already were."""
        await self._intake.tombstone(tasks)
        return self._desk.views(tasks)

    async def resign(self) -> None:
        """Give the shard up so that another lead may take it at once."""
        self._end(resigned=True)
        await self._parts.journal.resign()

    def close(self) -> None:
        """Stop leading without a word; waiting calls fail with DeposedError."""
        self._end(resigned=False)
        self._parts.journal.close()

    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """Take a worker's report."""
        self._shared.fleet.refresh(session)
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
        self._shared.fleet.refresh(session)

    def on_lost(self, session: WorkerSession) -> None:
        """Take back the work of a worker whose lease surely lapsed."""
        self._shared.fleet.refresh(session)
        self._runs.on_lost(session)
        self._shared.fleet.drop_if_gone(session)

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
            self._parts.clock,
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

    def _free(self) -> Resources:
        """Return what the workers that take work could still hold."""
        free = ZERO
        for session in self._shared.fleet:
            name = session.worker.name
            if self._shared.fleet.state(name) is WorkerState.READY:
                held = self._shared.index.held_on(name)
                free = free.plus(session.worker.capacity.minus(held))
        return free

    def _open_limits(self, holder: GrantHolder) -> TeamLimits:
        return self._parts.open_limits(self.shard.name, self.epoch, holder)

    def _plan(self) -> None:
        # While the journal can't write, decisions would only pile up.
        if self._closed or self._parts.journal.stalled:
            return
        if self._dispatcher.plan(MAX_DECISIONS_PER_ROUND):
            self._plan_soon.trigger()

    def _on_plan_tick(self) -> None:
        self._shared.care.refresh()
        self._dispatcher.shed()
        self._limits.step()
        self._plan_soon.trigger()

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
        self._shared.fleet.close()
        self._shared.offers.close()
        self._limits.close()
        self._shared.ledger.fail(Failure(DeposedError(self.shard.name, self.epoch)))
        self._parts.observer.lead_ended(self.shard.name, self.epoch, resigned)
