"""The interface of a shard's planner, which assigns pending tasks to workers."""

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
    """Placement settings of a preset; a change applies from the next decision on."""

    #: Cost of each service of the same workspace that already runs in the rack.
    spread_weight: float = 1.0
    #: Cost of the part of a worker that would stay free: prefers the tightest fit.
    packing_weight: float = 1.0
    #: Cost of placing a task without accelerators on a worker that has some.
    accelerator_guard_weight: float = 1.0
    #: Seconds of waiting after which a task may start regardless of shares, and gets a
    #: reservation if it fits on no worker.
    ageing_s: float = 60.0
    #: Whether urgent tasks may checkpoint batch tasks.
    preemption: bool = True
    #: Whether short tasks may run on reserved workers before the reservation's owner.
    backfill: bool = True
    #: Time after which a reservation or claim expires, in seconds.
    reservation_s: float = 30.0
    #: Whether batch tasks may start.
    admit_batch: bool = True
    #: Whether batch tasks of teams above their share are checkpointed for teams below
    #: it; otherwise shares only decide the order of starts.
    rebalance: bool = False


class PendingTask(NamedTuple):
    """A task that waits to be placed."""

    spec: TaskSpec
    #: Unix time in milliseconds at which it was accepted.
    queued_at_ms: int
    #: Number of the next attempt.
    next_attempt: int = 1
    #: Workers excluded for this task, such as those where it failed.
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True)
class Place:
    """Start the task on the worker, on which its capacity is already allocated."""

    task: TaskId
    worker: str


@dataclass(frozen=True)
class Preempt:
    """Checkpoint a running task; its capacity stays allocated until it has ended."""

    task: TaskId
    worker: str
    #: The task that needs the capacity: urgent, or of a team below its share.
    beneficiary: TaskId


@dataclass(frozen=True)
class Reject:
    """Remove the task from the queue without placing it."""

    task: TaskId
    reason: Refusal
    detail: str = ""


@dataclass(frozen=True)
class Overflow:
    """Offer the task to another shard, since this one cannot place it soon."""

    task: TaskId


#: Any decision of a planner.
Decision = Place | Preempt | Reject | Overflow


class Planner(ABC):
    """Tracks a shard's workers, queue and running tasks, and decides placements.

    A planner is deterministic: it reads no clock, and its decisions depend only on the
    preceding calls. Times are Unix milliseconds. Capacity is allocated from the
    decision until ``remove``. All members of an all-at-once job are placed by the same
    ``plan`` or ``place_now`` call, or none is. Place, Reject and Overflow remove the
    task from the queue; a task that no other shard accepted after an Overflow is queued
    again by ``add_pending``. A member that is queued again after a run waits until no
    member of its job runs; then all waiting members start together.
    """

    @abstractmethod
    def set_policy(self, policy: Policy) -> None:
        """Replace the placement settings."""

    @abstractmethod
    def set_share(self, team: str, weight: float) -> None:
        """Set the weight of the team's share of a full fleet; 0 removes the team."""

    @abstractmethod
    def set_grant(self, team: str, grant: Resources) -> None:
        """Set the team's upper limit of usage in this shard; it is zero at first."""

    @abstractmethod
    def set_fleet(self, capacity: Resources, elsewhere: dict[str, Resources]) -> None:
        """Set the fleet's capacity and each team's usage in the other shards."""

    @abstractmethod
    def put_worker(self, worker: Worker, state: WorkerState) -> None:
        """Add a worker or change its state or capacity."""

    @abstractmethod
    def drop_worker(self, name: str) -> None:
        """Remove a worker, whose tasks must have been removed before."""

    @abstractmethod
    def add_pending(self, task: PendingTask) -> None:
        """Queue a task."""

    @abstractmethod
    def add_running(self, task: PendingTask, worker: str, since_ms: int) -> None:
        """Allocate capacity for a task that already runs, such as after a replay."""

    @abstractmethod
    def remove(self, task: TaskId) -> bool:
        """Remove a pending or running task; return False if it is unknown."""

    @abstractmethod
    def requeue(self, task: PendingTask) -> None:
        """Release a running task's capacity and queue the task again."""

    @abstractmethod
    def place_now(self, tasks: Collection[PendingTask], now_ms: int) -> list[Decision]:
        """Decide on tasks on arrival; those without a decision are queued.

        A task is placed immediately only if no queued task precedes it in the order of
        starts. A job that has a reservation may start as well, if it fits now.
        """

    @abstractmethod
    def plan(self, now_ms: int, max_decisions: int) -> list[Decision]:
        """Decide on queued tasks in the order of starts."""

    @abstractmethod
    def held_by_team(self, team: str) -> Resources:
        """Return the team's usage in this shard."""

    @abstractmethod
    def wanted_by_team(self, team: str) -> Resources:
        """Return the total request of the team's pending tasks."""

    @abstractmethod
    def pending_count(self) -> int:
        """Return the number of pending tasks."""

    @abstractmethod
    def ever_fits(self, spec: TaskSpec) -> bool:
        """Return whether the task would fit on some idle worker of this shard."""
