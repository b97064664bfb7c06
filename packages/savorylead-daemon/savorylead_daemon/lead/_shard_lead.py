"""The lead of one shard at one epoch."""

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

from ._admission_control import AdmissionControl
from ._dispatcher import TaskDispatcher
from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._offers import OfferedJob, OfferSender
from ._parts import CellPolicy, LeadParts
from ._pending_queue import PendingQueue
from ._periodic import CoalescedCall
from ._placement_index import PlacementIndex
from ._run_follower import RunFollower
from ._run_monitor import RunMonitor
from ._session_listener import Attempt, SessionListener
from ._shared import SharedParts
from ._task_intake import TaskIntake
from ._task_status import TaskStatusService
from ._team_limit_manager import TeamLimitManager
from ._upkeep import EpochProof, RetentionSweep, Upkeep, VmListPoller
from ._worker_session import WorkerSession

#: Maximum decisions per planning round, which bounds its duration.
MAX_DECISIONS_PER_ROUND = 500
#: Delay during which triggers of a planning round are coalesced.
PLAN_COALESCE_DELAY = timedelta(milliseconds=2)


class ShardLead(SessionListener):
    """Owns a shard's records, queue and workers until it is deposed or resigns.

    Its public methods handle messages; each state change happens within one reactor
    iteration. The asynchronous ones fail with DeposedError once another lead has
    taken the shard or this one was closed; the requested change may or may not have
    been made then.
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
        self._plan_soon = CoalescedCall(parts.clock, PLAN_COALESCE_DELAY, self._plan)
        self._shared = self._build_shared(state)
        self._proof = EpochProof(parts, self._shared.ledger, self._step_down)
        self._dispatcher = TaskDispatcher(self._shared)
        self._runs = RunFollower(self._shared, self._dispatcher)
        self._limits = TeamLimitManager(
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
            self._limits.report_demand,
        )
        self._status = TaskStatusService(
            shard.name, self._shared.ledger, self._intake.members, parts.clock
        )
        self.apply_policy(policy)
        self._shared.fleet.apply_vm_list(entries)
        self._dispatcher.restore()
        self._upkeep = Upkeep(
            parts,
            self._proof,
            VmListPoller(parts, self._shared.fleet, self._runs),
            RetentionSweep(parts, self._shared.ledger),
            self._on_plan_tick,
        )
        parts.observer.lead_began(shard.name, self.epoch, len(self.records))

    def _build_shared(self, state: ShardState) -> SharedParts:
        parts = self._parts
        ledger = ShardLedger(parts.journal, state)
        fleet = ShardFleet(self.shard, parts.planner, self._open_session)
        index = PlacementIndex(state)
        monitor = RunMonitor(fleet, index.held_on, parts.clock)
        admission = AdmissionControl(parts.waiting_bounds, parts.rng)
        return SharedParts(
            ledger=ledger,
            planner=parts.planner,
            fleet=fleet,
            index=index,
            queue=PendingQueue(parts.planner, fleet, monitor, admission, parts.clock),
            admission=admission,
            monitor=monitor,
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
        """Acquire the shard, replay its journal and take over its workers.

        Raises StoreError, VmListError, or DeposedError if another lead acquired it.
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
        """The records of all tasks in the shard, for views."""
        return self._shared.ledger.state.records

    def running_on(self, worker: str) -> int:
        """Return how many tasks are placed on a worker."""
        return self._shared.index.count_on(worker)

    def held_on(self, worker: str) -> Resources:
        """Return the resources that placed tasks hold on a worker."""
        return self._shared.index.held_on(worker)

    def teams(self) -> list[str]:
        """Return the teams of the current configuration."""
        return sorted(self._policy.shares)

    def running_count(self) -> int:
        """Return how many tasks are placed in the shard."""
        return sum(self.running_on(s.worker.name) for s in self._shared.fleet)

    def held(self, team: str) -> Resources:
        """Return the resources that the team's tasks hold in the shard."""
        return self._limits.held(team)

    def granted(self, team: str) -> Resources:
        """Return the team's current grant in this shard."""
        return self._limits.granted(team)

    def apply_policy(self, policy: CellPolicy) -> None:
        """Apply a configuration, unless its revision is not newer."""
        if policy.revision <= self._policy.revision:
            return
        removed = set(self._policy.shares) - set(policy.shares)
        self._policy = policy
        self._shared.admission.set_bounds(policy.max_waiting)
        planner = self._shared.planner
        planner.set_policy(policy.policy)
        for team in sorted(removed):
            planner.set_share(team, 0)
        for team, weight in policy.shares.items():
            planner.set_share(team, weight)
        self._limits.apply_policy(policy)
        self._plan_soon.trigger()

    def set_fleet(self, capacity: Resources, elsewhere: dict[str, Resources]) -> None:
        """Set the fleet's capacity and what teams hold elsewhere, for fair shares."""
        self._shared.planner.set_fleet(capacity, elsewhere)

    async def submit(self, specs: Sequence[TaskSpec]) -> list[SubmitReply]:
        """Accept new tasks and reply to repeated ones; one reply per spec.

        All members of an all-at-once job must be in the same call.
        """
        return await self._intake.submit(specs)

    async def handle_offer(self, origin: str, job: OfferedJob) -> bool:
        """Accept a job offered by another shard, or decline it permanently."""
        return await self._intake.handle_offer(origin, job)

    async def answers(self, tasks: Sequence[TaskId], wait: timedelta) -> list[TaskView]:
        """Return views once one of the tasks is answerable or ``wait`` has passed."""
        return await self._status.answers(tasks, wait)

    def views(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Return views of the current state of tasks."""
        return self._status.views(tasks)

    async def cancel(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Cancel tasks; unknown ones get a tombstone."""
        await self._intake.cancel(tasks)
        return self._status.views(tasks)

    async def tombstone(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Prevent tasks from being accepted later; has no effect on known tasks."""
        await self._intake.tombstone(tasks)
        return self._status.views(tasks)

    async def resign(self) -> None:
        """Release the shard, so that another lead may take it immediately."""
        self._end(resigned=True)
        await self._parts.journal.resign()

    def close(self) -> None:
        """Stop leading without releasing the shard; pending calls get DeposedError."""
        self._end(resigned=False)
        self._parts.journal.close()

    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """Process a worker's inventory."""
        self._shared.fleet.refresh(session)
        self._runs.on_inventory(session, inventory)
        self._plan_soon.trigger()

    def on_reports(self, session: WorkerSession, reports: Sequence[RunReport]) -> None:
        """Process a worker's reply to a stop or a checkpoint."""
        self._runs.on_reports(session, reports)

    def on_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """Process a worker's confirmation that an attempt started."""
        self._runs.on_started(session, attempt)

    def on_start_refused(
        self, session: WorkerSession, attempt: Attempt, reason: str
    ) -> None:
        """End or requeue a task whose start the worker refused."""
        self._runs.on_start_refused(attempt, reason)

    def on_suspected(self, session: WorkerSession) -> None:
        """Exclude an unresponsive worker from new placements."""
        self._shared.fleet.refresh(session)

    def on_lost(self, session: WorkerSession) -> None:
        """End or requeue the tasks of a worker whose lease has certainly expired."""
        self._shared.fleet.refresh(session)
        self._runs.on_lost(session)
        self._shared.fleet.drop_if_gone(session)

    def on_stale_epoch(self, epoch: int) -> None:
        """Step down, since a worker has seen a newer epoch."""
        self._step_down()

    def on_command_failed(self, session: WorkerSession, exc: WorkerError) -> None:
        """Report a command that will be retried to the observer."""
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
            self._parts.store_reachable_for,
            self._earlier_leads_until(),
        )

    def _earlier_leads_until(self) -> datetime:
        """Return the latest time at which an earlier lead may have renewed leases."""
        if self.epoch == 1:
            return self._began_at
        return self._began_at + self._parts.times.epoch_grace

    def _free(self) -> Resources:
        """Return the unallocated capacity of the workers that accept work."""
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
        # While the journal can't write, decisions would accumulate unwritten.
        if self._closed or self._parts.journal.stalled:
            return
        if self._dispatcher.plan(MAX_DECISIONS_PER_ROUND):
            self._plan_soon.trigger()

    def _on_plan_tick(self) -> None:
        self._shared.monitor.refresh()
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
