"""Event types of a shard's journal."""

from __future__ import annotations

import enum
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.outcomes import NotRun, Outcome
from savorylead.resources import Resources


class EpochBegan(NamedTuple):
    """A lead took over the shard; the events that follow belong to this epoch."""

    epoch: int
    #: Name of the leading daemon.
    lead: str


class Accepted(NamedTuple):
    """The shard took responsibility for the task."""

    spec: TaskSpec
    #: Unix time in milliseconds at which the task arrived at its first lead.
    at_ms: int
    #: The shard that offered the task; empty if it came from a gateway.
    origin: str = ""
    #: Number of the last attempt in another shard; 0 if it was never placed.
    attempt: int = 0


class Placed(NamedTuple):
    """An attempt was placed on a worker and may start there."""

    task: TaskId
    attempt: int
    worker: str
    #: Worker incarnation that the start request specifies.
    incarnation: str
    at_ms: int
    #: Resources reserved for the attempt; None for those that the task declares.
    held: Resources | None = None


class RequeueReason(enum.StrEnum):
    """Why a task was requeued; each value is also a metrics label."""

    CHECKPOINTED = "checkpointed"
    WORKER_REFUSED = "worker_refused"
    NEVER_STARTED = "never_started"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    WORKER_RESTARTED = "worker_restarted"

    def counts_against_worker(self) -> bool:
        """Return whether later attempts should avoid the worker."""
        return self in (RequeueReason.WORKER_REFUSED, RequeueReason.FAILED)


class Requeued(NamedTuple):
    """The attempt is known not to be running, and the task is queued again."""

    task: TaskId
    attempt: int
    reason: RequeueReason
    at_ms: int


class Ended(NamedTuple):
    """The task reached its final outcome."""

    task: TaskId
    outcome: Outcome
    at_ms: int


class CancelRequested(NamedTuple):
    """A caller cancelled a placed task; its attempt is being stopped."""

    task: TaskId
    at_ms: int


class Tombstoned(NamedTuple):
    """The task ID was not accepted by this shard and never will be."""

    task: TaskId
    #: The outcome returned to the caller, also for repeated submissions.
    outcome: NotRun
    at_ms: int


class Offered(NamedTuple):
    """The task was offered to another shard; it must not be placed here meanwhile."""

    task: TaskId
    target: str
    at_ms: int


class OfferDeclined(NamedTuple):
    """The target confirmed that it has not accepted the task and never will."""

    task: TaskId
    target: str


class Moved(NamedTuple):
    """The target accepted the task; this shard keeps a reference to the target."""

    task: TaskId
    target: str
    at_ms: int


class Forgotten(NamedTuple):
    """The retention time of these ended tasks expired; their records are removed."""

    tasks: tuple[TaskId, ...]


class Resigned(NamedTuple):
    """The lead resigned; another one may take over the shard without waiting."""

    epoch: int


#: Any event of a journal entry.
Event = (
    EpochBegan
    | Accepted
    | Placed
    | Requeued
    | Ended
    | CancelRequested
    | Tombstoned
    | Offered
    | OfferDeclined
    | Moved
    | Forgotten
    | Resigned
)
