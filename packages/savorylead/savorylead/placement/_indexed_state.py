"""State and indexes of the indexed planner: tasks, teams and workers."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

from . import _rules as rules
from ._amounts import Amounts, minus, plus
from ._indexed_open import OpenShapes
from ._indexed_rows import FreeCapacityIndex, RunningEntry, WorkerRow
from ._indexed_shapes import JOB_SHAPE, Shape, ShapeMasks
from ._indexed_teams import TaskClass, Team, TeamOrder
from ._planner import PendingTask, Planner, Policy
from ._rebalance import ShareBalancer


class IndexedState(Planner):
    """Updates every index with each change."""

    def __init__(self) -> None:
        self._policy = Policy()
        self._balancer = ShareBalancer()
        self._teams: dict[str, Team] = {}
        self._order = TeamOrder()
        self._elsewhere_total = ZERO
        self._index = FreeCapacityIndex()
        self._rows: dict[str, WorkerRow] = {}
        self._capacities: Counter[Resources] = Counter()
        self._capacity = ZERO
        self._held: Amounts = ZERO
        self._shapes = ShapeMasks()
        self._open = OpenShapes(self._shapes, covers_index=True)
        #: The same, for the reserved workers.
        self._open_reserved = OpenShapes(self._shapes, covers_index=False)
        #: Queue time, sequence number and class of each pending task.
        self._pending: dict[TaskId, tuple[int, int, TaskClass]] = {}
        self._urgent_count = 0
        self._running: dict[TaskId, RunningEntry] = {}
        #: Start deadline, sequence number and id of pending tasks, by deadline.
        self._deadlines: list[tuple[int, int, TaskId]] = []
        #: Classes of which some task fits on no worker of the shard.
        self._impossible: dict[TaskClass, None] = {}
        #: Earliest time at which one of them may be offered to another shard.
        self._impossible_due_ms = 0
        #: Number of running members by job.
        self._job_running: Counter[TaskId] = Counter()
        #: Number of running services, by team and workspace, then by rack.
        self._rack_counts: dict[tuple[str, str], Counter[str]] = {}
        self._racks: Counter[str] = Counter()
        self._claims: dict[TaskId, rules.Claim] = {}
        self._stopping: set[TaskId] = set()
        self._number = 0
        self._next_rank = 0
        #: Incremented whenever a task that did not fit before may fit now.
        self._fit_version = 0

    # -- teams

    def set_policy(self, policy: Policy) -> None:
        """Replace the placement settings."""
        self._policy = policy
        self._fit_version += 1

    def set_share(self, team: str, weight: float) -> None:
        """Set the weight of the team's share of a full fleet; 0 removes the team."""
        entry = self._team(team)
        entry.weight = weight
        self._order.invalidate(entry)

    def set_grant(self, team: str, grant: Resources) -> None:
        """Set the team's upper limit of usage in this shard."""
        entry = self._team(team)
        entry.grant = grant
        entry.grant_stale = True
        self._fit_version += 1

    def set_fleet(self, capacity: Resources, elsewhere: dict[str, Resources]) -> None:
        """Set the fleet's capacity and each team's usage in the other shards."""
        self._order.set_fleet(capacity)
        self._elsewhere_total = ZERO
        self._balancer.start_digest()
        for name, used in elsewhere.items():
            self._team(name)
            self._elsewhere_total = self._elsewhere_total.plus(used)
        for name, team in self._teams.items():
            team.elsewhere = elsewhere.get(name, ZERO)
            self._order.invalidate(team)

    def held_by_team(self, team: str) -> Resources:
        """Return the team's usage in this shard."""
        entry = self._teams.get(team)
        return Resources(*entry.held) if entry else ZERO

    def wanted_by_team(self, team: str) -> Resources:
        """Return the total request of the team's pending tasks."""
        entry = self._teams.get(team)
        return Resources(*entry.wanted) if entry else ZERO

    def _team(self, name: str) -> Team:
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = Team(name)
        return team

    # -- workers

    def put_worker(self, worker: Worker, state: WorkerState) -> None:
        """Add a worker or change its state or capacity."""
        row = self._row(worker.name)
        if row.worker == worker and row.state is state:
            return
        before = row.worker
        if before != worker:
            self._leave_rack(row)
            row.worker = worker
            row.resize(before.capacity if before else ZERO, worker.capacity)
            self._enter_rack(row)
            self._count_capacity(before, worker)
        row.state = state
        self._reindex_row(row)

    def drop_worker(self, name: str) -> None:
        """Remove a worker, whose tasks must have been removed before."""
        row = self._rows.get(name)
        if row is None or row.worker is None:
            return
        for owner in [o for o, c in self._claims.items() if c.worker == name]:
            self._drop_claim(owner)
        before = row.worker
        self._leave_rack(row)
        row.resize(before.capacity, ZERO)
        row.worker = None
        row.state = None
        row.reserved = False
        self._open_reserved.remove_worker(row)
        self._count_capacity(before, None)
        self._reindex_row(row)
        self._drop_unused_row(row)

    def ever_fits(self, spec: TaskSpec) -> bool:
        """Return whether the task would fit on some idle worker of this shard."""
        return any(spec.resources.fits(capacity) for capacity in self._capacities)

    def _row(self, name: str) -> WorkerRow:
        row = self._rows.get(name)
        if row is None:
            row = self._rows[name] = WorkerRow(name, self._next_rank)
            self._index.rows[row.rank] = row
            self._next_rank += 1
        return row

    def _drop_unused_row(self, row: WorkerRow) -> None:
        """Delete the row of a removed worker once it has no task left."""
        if row.worker is None and not row.tasks:
            del self._rows[row.name]
            self._index.remove(row)

    def _reindex_row(self, row: WorkerRow) -> None:
        """Update the indexes after any change of a worker."""
        self._index.update(row)
        self._index.update_after_preemption(row)
        if row.reserved:
            self._open.remove_worker(row)
            self._open_reserved.capacity_increased(row)
        elif row.state is WorkerState.READY:
            self._open.capacity_increased(row)
        else:
            self._open.remove_worker(row)
        self._fit_version += 1

    def _count_capacity(self, before: Worker | None, after: Worker | None) -> None:
        old = before.capacity if before else ZERO
        new = after.capacity if after else ZERO
        self._capacity = self._capacity.plus(new).minus(old)
        kinds = len(self._capacities)
        if before:
            self._capacities[old] -= 1
            if not self._capacities[old]:
                del self._capacities[old]
        if after:
            self._capacities[new] += 1
        if len(self._capacities) != kinds or old != new:
            self._recheck_order()
            self._recheck_possible()

    def _recheck_order(self) -> None:
        columns = zip(*self._capacities, strict=True)
        largest = Resources(*(max(column, default=0) for column in columns))
        order = rules.PackingOrder.of_largest(largest, 0)
        if order != self._index.order:
            self._index.rebuild(order)

    def _recheck_possible(self) -> None:
        self._impossible.clear()
        for team in self._teams.values():
            for lane in (team.urgent, team.normal):
                for cls in lane.classes.values():
                    self._check_possible(cls)

    def _check_possible(self, cls: TaskClass) -> None:
        if not self._capacities:
            return
        members = cls.queue if cls.is_gang else cls.queue[:1]
        if not all(self.ever_fits(task.spec) for _, _, task in members):
            self._impossible[cls] = None
            self._impossible_due_ms = 0

    def _enter_rack(self, row: WorkerRow) -> None:
        self._racks[row.worker.rack] += 1
        for entry in row.tasks.values():
            self._count_service(entry.task, row, 1)

    def _leave_rack(self, row: WorkerRow) -> None:
        if row.worker is None:
            return
        for entry in row.tasks.values():
            self._count_service(entry.task, row, -1)
        rack = row.worker.rack
        self._racks[rack] -= 1
        if not self._racks[rack]:
            del self._racks[rack]

    def _count_service(self, task: PendingTask, row: WorkerRow, change: int) -> None:
        spec = task.spec
        if spec.kind is not TaskKind.SERVICE or row.worker is None:
            return
        key = (spec.id.team, spec.id.workspace)
        counts = self._rack_counts.setdefault(key, Counter())
        counts[row.worker.rack] += change
        if not counts[row.worker.rack]:
            del counts[row.worker.rack]
            if not counts:
                del self._rack_counts[key]

    # -- pending tasks

    def add_pending(self, task: PendingTask) -> None:
        """Queue a task."""
        spec = task.spec
        if spec.id in self._pending:
            self._unqueue(spec.id)
        team = self._team(spec.id.team)
        lane = team.urgent if spec.urgent else team.normal
        key = rules.equivalence_class(task)
        cls = lane.classes.get(key)
        new = cls is None
        if cls is None:
            shape = self._shape_of(task)
            cls = TaskClass(key, lane, shape, task)
            lane.add_class(cls)
            team.grant_stale = True
        self._number += 1
        lane.push(cls, (task.queued_at_ms, self._number, task))
        self._pending[spec.id] = (task.queued_at_ms, self._number, cls)
        if spec.start_by_ms:
            insort(self._deadlines, (spec.start_by_ms, self._number, spec.id))
        team.wanted = plus(team.wanted, spec.resources)
        team.waiting += 1
        self._urgent_count += spec.urgent
        if team.waiting == 1:
            self._order.invalidate(team)
        if cls.is_gang:
            cls.cores_milli += spec.resources.cores_milli
        if new or cls.is_gang:
            self._check_possible(cls)
            self._fit_version += 1
        elif cls in self._impossible:
            self._impossible_due_ms = 0

    def _shape_of(self, task: PendingTask) -> Shape:
        if rules.is_gang(task):
            return JOB_SHAPE
        short = rules.may_backfill(task)
        shape = self._shapes.acquire(task.spec.resources, task.avoid, short)
        if shape.users == 1:
            self._open.reopen(shape.bit)
            self._open_reserved.reopen(shape.bit)
        return shape

    def pending_count(self) -> int:
        """Return the number of pending tasks."""
        return len(self._pending)

    def _unqueue(self, task_id: TaskId) -> PendingTask:
        queued_at_ms, number, cls = self._pending.pop(task_id)
        task = cls.lane.remove(cls, queued_at_ms, number)
        spec = task.spec
        team = cls.lane.team
        if cls.is_gang:
            cls.cores_milli -= spec.resources.cores_milli
            if cls in self._impossible:
                del self._impossible[cls]
                self._check_possible(cls)
        if not cls.queue:
            cls.lane.drop_class(cls)
            if not cls.is_gang:
                self._shapes.release(cls.shape)
            self._impossible.pop(cls, None)
        if spec.start_by_ms:
            key = (spec.start_by_ms, number)
            del self._deadlines[bisect_left(self._deadlines, key)]
        team.wanted = minus(team.wanted, spec.resources)
        team.waiting -= 1
        self._urgent_count -= spec.urgent
        if team.waiting == 0:
            self._order.invalidate(team)
        return task
