"""State of a shard in plain dicts, without any index."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.contracts import TaskId
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

from ._planner import PendingTask, Planner, Policy
from ._rebalance import ShareBalancer
from ._rules import Claim, PackingOrder, Reservation


class RunningTask(NamedTuple):
    """A task that has capacity allocated."""

    task: PendingTask
    worker: str
    since_ms: int
    #: Sequence number, which orders the starts of this planner.
    number: int


class QueuedTask(NamedTuple):
    """A pending task; ``number`` orders tasks accepted at the same time."""

    queued_at_ms: int
    number: int
    task: PendingTask


def total(parts: list[Resources]) -> Resources:
    """Return the sum of the parts."""
    result = ZERO
    for part in parts:
        result = result.plus(part)
    return result


class NaiveState(Planner):
    """Stores the planner's state in plain dicts and computes sums on demand."""

    def __init__(self) -> None:
        self._policy = Policy()
        self._balancer = ShareBalancer()
        self._weights: dict[str, float] = {}
        self._grants: dict[str, Resources] = {}
        self._fleet = ZERO
        self._elsewhere: dict[str, Resources] = {}
        self._workers: dict[str, Worker] = {}
        self._states: dict[str, WorkerState] = {}
        #: Order in which workers were added, to break ties.
        self._ranks: dict[str, int] = {}
        self._next_rank = 0
        self._pending: dict[TaskId, QueuedTask] = {}
        self._running: dict[TaskId, RunningTask] = {}
        self._claims: dict[TaskId, Claim] = {}
        #: Tasks that are being checkpointed and still have their capacity allocated.
        self._stopping: set[TaskId] = set()
        self._reservation: Reservation | None = None
        self._number = 0

    def set_policy(self, policy: Policy) -> None:
        """Replace the placement settings."""
        self._policy = policy

    def set_share(self, team: str, weight: float) -> None:
        """Set the weight of the team's share of a full fleet; 0 removes the team."""
        self._weights[team] = weight

    def set_grant(self, team: str, grant: Resources) -> None:
        """Set the team's upper limit of usage in this shard."""
        self._grants[team] = grant

    def set_fleet(self, capacity: Resources, elsewhere: dict[str, Resources]) -> None:
        """Set the fleet's capacity and each team's usage in the other shards."""
        self._fleet = capacity
        self._elsewhere = dict(elsewhere)
        self._balancer.start_digest()

    def put_worker(self, worker: Worker, state: WorkerState) -> None:
        """Add a worker or change its state or capacity."""
        self._workers[worker.name] = worker
        self._states[worker.name] = state
        if worker.name not in self._ranks:
            self._ranks[worker.name] = self._next_rank
            self._next_rank += 1

    def drop_worker(self, name: str) -> None:
        """Remove a worker, whose tasks must have been removed before."""
        self._workers.pop(name, None)
        self._states.pop(name, None)
        self._ranks.pop(name, None)
        for owner in [o for o, c in self._claims.items() if c.worker == name]:
            del self._claims[owner]
        reservation = self._reservation
        if reservation is not None:
            left = reservation.workers - {name}
            self._reservation = reservation._replace(workers=left)

    def add_pending(self, task: PendingTask) -> None:
        """Queue a task."""
        self._number += 1
        queued = QueuedTask(task.queued_at_ms, self._number, task)
        self._pending[task.spec.id] = queued

    def add_running(self, task: PendingTask, worker: str, since_ms: int) -> None:
        """Allocate capacity for a task that already runs, such as after a replay."""
        self._number += 1
        running = RunningTask(task, worker, since_ms, self._number)
        self._running[task.spec.id] = running

    def remove(self, task: TaskId) -> bool:
        """Remove a pending or running task; return False if it is unknown."""
        self._claims.pop(task, None)
        self._stopping.discard(task)
        if self._pending.pop(task, None) is not None:
            return True
        return self._running.pop(task, None) is not None

    def requeue(self, task: PendingTask) -> None:
        """Release a running task's capacity and queue the task again."""
        self._stopping.discard(task.spec.id)
        self._running.pop(task.spec.id, None)
        self.add_pending(task)

    def held_by_team(self, team: str) -> Resources:
        """Return the team's usage in this shard."""
        held = [
            running.task.spec.resources
            for running in self._running.values()
            if running.task.spec.id.team == team
        ]
        return total(held)

    def wanted_by_team(self, team: str) -> Resources:
        """Return the total request of the team's pending tasks."""
        wanted = [
            queued.task.spec.resources
            for queued in self._pending.values()
            if queued.task.spec.id.team == team
        ]
        return total(wanted)

    def pending_count(self) -> int:
        """Return the number of pending tasks."""
        return len(self._pending)

    def _capacity(self) -> Resources:
        return total([worker.capacity for worker in self._workers.values()])

    def _free(self, name: str) -> Resources:
        held = [
            running.task.spec.resources
            for running in self._running.values()
            if running.worker == name
        ]
        return self._workers[name].capacity.minus(total(held))

    def _shard_free(self) -> Resources:
        held = [r.task.spec.resources for r in self._running.values()]
        return self._capacity().minus(total(held))

    def _order(self) -> PackingOrder:
        capacities = [worker.capacity for worker in self._workers.values()]
        largest = [max(column, default=0) for column in zip(*capacities, strict=True)]
        return PackingOrder.of_largest(Resources(*largest), 0)

    def _same_in_rack(self, task: PendingTask, rack: str) -> int:
        """Count running services of the task's workspace in the rack."""
        count = 0
        for running in self._running.values():
            spec = running.task.spec
            worker = self._workers.get(running.worker)
            if worker is None or worker.rack != rack or spec.kind != "service":
                continue
            same_team = spec.id.team == task.spec.id.team
            if same_team and spec.id.workspace == task.spec.id.workspace:
                count += 1
        return count
