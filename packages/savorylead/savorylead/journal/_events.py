"""The events that a shard's journal keeps."""

from __future__ import annotations

import enum
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.outcomes import NotRun, Outcome
from savorylead.resources import Resources


class EpochBegan(NamedTuple):
    """A lead took the shard; everything after was decided at this epoch."""

    epoch: int
    #: Name of the daemon that leads.
    lead: str


class Accepted(NamedTuple):
    """The shard is responsible for the task from now on."""

    spec: TaskSpec
    #: Unix time in milliseconds of the arrival at the first lead.
    at_ms: int
    #: The shard that offered the task; empty if it came from a gateway.
    origin: str = ""
    #: Number of the last attempt elsewhere; 0 if it never was placed.
    attempt: int = 0


class Placed(NamedTuple):
    """An attempt may start on the worker from now on."""

    task: TaskId
    attempt: int
    worker: str
    #: Incarnation of the worker that the start order names.
    incarnation: str
    at_ms: int
    #: What the attempt holds; None for what the task declares.
    held: Resources | None = None


class RequeueReason(enum.StrEnum):
    """Why an attempt went back to the queue; each value is also a metrics label."""

    CHECKPOINTED = "checkpointed"
    WORKER_REFUSED = "worker_refused"
    NEVER_STARTED = "never_started"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    WORKER_RESTARTED = "worker_restarted"

    def counts_against_worker(self) -> bool:
        """Return whether the task should avoid the worker from now on."""
        return self in (RequeueReason.WORKER_REFUSED, RequeueReason.FAILED)


class Requeued(NamedTuple):
    """The attempt surely no longer runs, and the task waits again."""

    task: TaskId
    attempt: int
    reason: RequeueReason
    at_ms: int


class Ended(NamedTuple):
    """The task has its final answer."""

    task: TaskId
    outcome: Outcome
    at_ms: int


class CancelAsked(NamedTuple):
    """A caller cancelled a task that had been placed; it is being stopped."""

    task: TaskId
    at_ms: int


class Tombstoned(NamedTuple):
    """The id was never accepted here and never will be."""

    task: TaskId
    #: What the caller is told, now and on each repeat.
    outcome: NotRun
    at_ms: int


class Offered(NamedTuple):
    """The task was offered to another shard and must not be placed here."""

    task: TaskId
    target: str
    at_ms: int


class OfferDeclined(NamedTuple):
    """The target proved that it did not and will not take the task."""

    task: TaskId
    target: str


class Moved(NamedTuple):
    """The target has accepted the task; this shard only points there."""

    task: TaskId
    target: str
    at_ms: int


class Forgotten(NamedTuple):
    """Ended tasks whose retention time is over."""

    tasks: tuple[TaskId, ...]


class Resigned(NamedTuple):
    """The lead gave the shard up; another may take it without waiting."""

    epoch: int


#: Everything that a journal entry may hold.
Event = (
    EpochBegan
    | Accepted
    | Placed
    | Requeued
    | Ended
    | CancelAsked
    | Tombstoned
    | Offered
    | OfferDeclined
    | Moved
    | Forgotten
    | Resigned
)
