"""Types of the messages between daemons and of their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.outcomes import (
    NotRun,
    Outcome,
    Refusal,
    Unknown,
    WireOutcome,
    outcome_from_wire,
    outcome_to_wire,
)
from savorylead.resources import Resources
from savorylead_daemon.services import (
    Admitted,
    ShardView,
    SubmitReply,
    TaskPage,
    TaskView,
    WorkerView,
)


class SubmitMessage(NamedTuple):
    """Submits tasks to the lead of a shard."""

    shard: str
    #: Id of the caller's key, which the lead checks again.
    key_id: str
    specs: tuple[TaskSpec, ...]


class AnswersMessage(NamedTuple):
    """Requests views of tasks; answered once one of the tasks has an outcome."""

    shard: str
    tasks: tuple[TaskId, ...]
    wait_ms: int


class CancelMessage(NamedTuple):
    """Requests the cancellation of tasks."""

    shard: str
    key_id: str
    tasks: tuple[TaskId, ...]


class TombstoneMessage(NamedTuple):
    """Requests tombstones, so that tasks not yet accepted never will be."""

    shard: str
    tasks: tuple[TaskId, ...]


class OfferMessage(NamedTuple):
    """Offers an entire job to another shard."""

    shard: str
    origin: str
    specs: tuple[TaskSpec, ...]
    accepted_at_ms: int
    #: Number of the last attempt; 0 if none was ever placed.
    attempt: int = 0


class TasksMessage(NamedTuple):
    """Requests one page of the list of a shard's tasks."""

    shard: str
    team: str
    #: Empty for all.
    workspace: str
    #: Empty for all.
    phase: str
    limit: int
    #: Text of the last task id of the previous page; empty for the first page.
    after: str


class WorkersMessage(NamedTuple):
    """Requests the workers of a shard."""

    shard: str


class DigestMessage(NamedTuple):
    """Requests a digest of the shards that a daemon leads and of its own state."""

    #: Name of the daemon that sends the message.
    sender: str


#: Any message from one daemon to another.
PeerMessage = (
    SubmitMessage
    | AnswersMessage
    | CancelMessage
    | TombstoneMessage
    | OfferMessage
    | TasksMessage
    | WorkersMessage
    | DigestMessage
)


class SubmitAnswer(NamedTuple):
    """One reply per spec."""

    replies: tuple[SubmitReply, ...]


class ViewsAnswer(NamedTuple):
    """One view per task."""

    views: tuple[TaskView, ...]


class OfferAnswer(NamedTuple):
    """Whether the offered job was accepted; the decision is final."""

    accepted: bool


class TasksAnswer(NamedTuple):
    """One page of a list of tasks."""

    page: TaskPage


class WorkersAnswer(NamedTuple):
    """The workers of a shard."""

    workers: tuple[WorkerView, ...]


class TeamUsage(NamedTuple):
    """Resources that a team holds, and those granted to it, in one shard."""

    team: str
    held: Resources
    granted: Resources


class ShardDigest(NamedTuple):
    """State of a shard that its lead publishes to all daemons."""

    view: ShardView
    capacity: Resources
    held: Resources
    teams: tuple[TeamUsage, ...]


class DigestAnswer(NamedTuple):
    """The shards that a daemon leads, and the age of its data from the store."""

    name: str
    shards: tuple[ShardDigest, ...]
    #: Milliseconds since its configuration was last confirmed; None if it never was.
    confirmed_age_ms: int | None
    #: Milliseconds since the store last answered it; None if it never did.
    store_age_ms: int | None


@dataclass(frozen=True)
class NotLead:
    """The daemon does not lead the shard; the message had no effect."""

    shard: str


@dataclass(frozen=True)
class LeadLost:
    """The daemon lost the lead of the shard while it handled the message.

    The message may or may not have taken effect.
    """

    shard: str


@dataclass(frozen=True)
class KeyRefused:
    """The lead may not act on the caller's key at present; nothing was done."""

    reason: Refusal


#: Any answer of a daemon.
PeerAnswer = (
    SubmitAnswer
    | ViewsAnswer
    | OfferAnswer
    | TasksAnswer
    | WorkersAnswer
    | DigestAnswer
    | NotLead
    | LeadLost
    | KeyRefused
)


class WireView(NamedTuple):
    """Wire form of a TaskView; its outcome is a pair of tag and fields."""

    task: TaskId
    phase: str
    shard: str
    worker: str
    attempt: int
    accepted_at_ms: int
    outcome: WireOutcome | None


def view_to_wire(view: TaskView) -> WireView:
    """Return the wire form of a view."""
    wire = None if view.outcome is None else outcome_to_wire(view.outcome)
    return WireView(*view[:-1], wire)


def view_from_wire(wire: WireView) -> TaskView:
    """Return a view from its wire form; raises UnknownOutcomeError."""
    outcome: Outcome | None = None
    if wire.outcome is not None:
        outcome = outcome_from_wire(wire.outcome)
    return TaskView(*wire[:-1], outcome)


def reply_to_wire(reply: SubmitReply) -> tuple[str, list[Any]]:
    """Return the wire form of the reply to one submitted task."""
    if isinstance(reply, Admitted):
        return "admitted", list(reply.task)
    return outcome_to_wire(reply)


def reply_from_wire(wire: tuple[str, list[Any]]) -> SubmitReply:
    """Return a reply from its wire form; raises UnknownOutcomeError."""
    tag, fields = wire
    if tag == "admitted":
        return Admitted(TaskId(*fields))
    outcome = outcome_from_wire(wire)
    if isinstance(outcome, NotRun | Unknown):
        return outcome
    return Unknown(f"unexpected reply {tag}")
