"""The interface of a shard's planner: which pending task goes to which worker."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.outcomes import Refusal
from savorylead.resources import Resources
from savorylead.workers import Worker, WorkerState


class Policy(NamedTuple):
    """Weights that a preset sets; a change takes effect with the next decision."""

    #: How strongly services avoid racks that already hold the same workspace.
    spread_weight: float = 1.0
    #: How strongly tasks go to workers whose remaining room suits them least.
    packing_weight: float = 1.0
    #: How strongly tasks without accelerators avoid workers that have some.
    accelerator_guard_weight: float = 1.0
    #: Seconds of waiting after which a task gets turns that ignore shares, and a
    #: reservation if nothing has room for it.
    ageing_s: float = 60.0
    #: Whether urgent tasks may checkpoint batch tasks.
    preemption: bool = True
    #: Whether small tasks may run in front of a waiting reservation.
    backfill: bool = True
    #: How long a reservation of an all-at-once job is kept, in seconds.
    reservation_s: float = 30.0
    #: Whether batch tasks start at all.
    admit_batch: bool = True
    #: Whether batch tasks of teams above their share are checkpointed for teams below
    #: it; otherwise shares only decide what starts.
    rebalance: bool = False


class PendingTask(NamedTuple):
    """A task that waits to be placed."""

    spec: TaskSpec
    #: Unix time in milliseconds at which it was accepted.
    queued_at_ms: int
    #: Number that the next attempt gets.
    next_attempt: int = 1
    #: Workers that must not get it, such as those where it failed.
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True)
class Place:
    """Start the task on the worker; capacity is already held for it."""

    task: TaskId
    worker: str


@dataclass(frozen=True)
class Preempt:
    """Checkpoint a running task to make room; its capacity stays held until it ends."""

    task: TaskId
    worker: str
    #: The task that needs the room: an urgent one, or one of a team below its share.
    beneficiary: TaskId


@dataclass(frozen=True)
class Reject:
    """The task will not be placed and leaves the queue."""

    task: TaskId
    reason: Refusal
    detail: str = ""


@dataclass(frozen=True)
class Overflow:
    """This shard cannot place the task soon; another shard should be asked."""

    task: TaskId


#: What a planner may decide.
Decision = Place | Preempt | Reject | Overflow


class Planner(ABC):
    """Holds a shard's workers, queue and running tasks, and decides placements.

    A planner is pure: it never reads a clock and its decisions depend only on the
    calls made before. Times are Unix milliseconds. All capacity that it hands out
    is held from the decision until ``remove``. The members of an all-at-once job
    are placed by one ``plan`` or ``place_now`` call, or not at all. Place, Reject
    and Overflow take the task out of the queue; a task that no other shard took
    after an Overflow is queued again by ``add_pending``. A member that ran and is
    queued again waits until no member of its job runs, then all that wait start
    together.
    """

    @abstractmethod
    def set_policy(self, policy: Policy) -> None:
        """Use other weights from now on."""

    @abstractmethod
    def set_share(self, team: str, weight: float) -> None:
        """Set the team's weight for when the fleet is full; 0 removes the team."""

    @abstractmethod
    def set_grant(self, team: str, grant: Resources) -> None:
        """Set the most that the team may hold in this shard; teams start at zero."""

    @abstractmethod
    def set_fleet(self, capacity: Resources, elsewhere: dict[str, Resources]) -> None:
        """Tell the fleet's capacity and each team's usage in the other shards."""

    @abstractmethod
    def put_worker(self, worker: Worker, state: WorkerState) -> None:
        """Add a worker or change its state or capacity."""

    @abstractmethod
    def drop_worker(self, name: str) -> None:
        """Remove a worker; its tasks must have been removed before."""

    @abstractmethod
    def add_pending(self, task: PendingTask) -> None:
        """Queue a task."""

    @abstractmethod
    def add_running(self, task: PendingTask, worker: str, since_ms: int) -> None:
        """Hold capacity for a task that already runs, as after a replay."""

    @abstractmethod
    def remove(self, task: TaskId) -> bool:
        """Forget a pending or running task; False if it is not known."""

    @abstractmethod
    def requeue(self, task: PendingTask) -> None:
        """Free a running task's capacity and queue it again."""

    @abstractmethod
    def place_now(self, tasks: Collection[PendingTask], now_ms: int) -> list[Decision]:
        """Decide on tasks on arrival; those without a decision are queued.

        A task is placed at once only if nothing that waits should go before it. A
        job for which workers are reserved may start too, if it fits by now.
        """

    @abstractmethod
    def plan(self, now_ms: int, max_decisions: int) -> list[Decision]:
        """Decide on queued tasks, best first."""

    @abstractmethod
    def held_by_team(self, team: str) -> Resources:
        """Return what the team holds in this shard."""

    @abstractmethod
    def wanted_by_team(self, team: str) -> Resources:
        """Return what the team's pending tasks ask for in all."""

    @abstractmethod
    def pending_count(self) -> int:
        """Return how many tasks wait."""

    @abstractmethod
    def ever_fits(self, spec: TaskSpec) -> bool:
        """Return whether some worker of this shard could hold the task when empty."""
