"""What daemons ask each other, and the answers."""

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
    """Asks a shard's lead to accept tasks."""

    shard: str
    #: Id of the caller's key, checked again at the lead.
    key_id: str
    specs: tuple[TaskSpec, ...]


class AnswersMessage(NamedTuple):
    """Asks for views, to be answered once one task has something final."""

    shard: str
    tasks: tuple[TaskId, ...]
    wait_ms: int


class CancelMessage(NamedTuple):
    """Asks to cancel tasks."""

    shard: str
    key_id: str
    tasks: tuple[TaskId, ...]


class TombstoneMessage(NamedTuple):
    """Asks that tasks are never accepted, unless they already were."""

    shard: str
    tasks: tuple[TaskId, ...]


class OfferMessage(NamedTuple):
    """Offers a job whole to another shard."""

    shard: str
    origin: str
    specs: tuple[TaskSpec, ...]
    accepted_at_ms: int
    #: Number of the last attempt; 0 if none was ever placed.
    attempt: int = 0


class TasksMessage(NamedTuple):
    """Asks for a part of the list of a shard's tasks."""

    shard: str
    team: str
    #: Empty for all.
    workspace: str
    #: Empty for all.
    phase: str
    limit: int
    #: Text of the task id after which to go on; empty to begin.
    after: str


class WorkersMessage(NamedTuple):
    """Asks for the workers of a shard."""

    shard: str


class DigestMessage(NamedTuple):
    """Asks a daemon what it leads and how it fares."""

    #: Name of the daemon that asks.
    asker: str


#: Everything that one daemon may ask another.
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
    """Whether the offered job was taken, for good either way."""

    taken: bool


class TasksAnswer(NamedTuple):
    """A part of a list of tasks."""

    page: TaskPage


class WorkersAnswer(NamedTuple):
    """The workers of a shard."""

    workers: tuple[WorkerView, ...]


class TeamUsage(NamedTuple):
    """What a team holds and may hold in one shard."""

    team: str
    held: Resources
    granted: Resources


class ShardDigest(NamedTuple):
    """What a lead tells everyone about its shard."""

    view: ShardView
    capacity: Resources
    held: Resources
    teams: tuple[TeamUsage, ...]


class DigestAnswer(NamedTuple):
    """What a daemon leads, and what it knows of the store."""

    name: str
    shards: tuple[ShardDigest, ...]
    #: Milliseconds since its configuration was confirmed; None if it never was.
    confirmed_age_ms: int | None
    #: Milliseconds since the store last answered it; None if it never did.
    store_age_ms: int | None


@dataclass(frozen=True)
class NotLead:
    """The daemon does not lead the shard and did nothing."""

    shard: str


@dataclass(frozen=True)
class LeadLost:
    """The daemon lost the shard while it worked on the message.

    What it was asked for may have happened or not.
    """

    shard: str


@dataclass(frozen=True)
class KeyRefused:
    """The lead may not act on the caller's key now and did nothing."""

    reason: Refusal


#: Everything that a daemon may answer.
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
    """A TaskView whose outcome carries its tag."""

    task: TaskId
    phase: str
    shard: str
    worker: str
    attempt: int
    accepted_at_ms: int
    outcome: WireOutcome | None


def view_to_wire(view: TaskView) -> WireView:
    """Return a view as plain values."""
    wire = None if view.outcome is None else outcome_to_wire(view.outcome)
    return WireView(*view[:-1], wire)


def view_from_wire(wire: WireView) -> TaskView:
    """Return a view; raises UnknownOutcomeError."""
    outcome: Outcome | None = None
    if wire.outcome is not None:
        outcome = outcome_from_wire(wire.outcome)
    return TaskView(*wire[:-1], outcome)


def reply_to_wire(reply: SubmitReply) -> tuple[str, list[Any]]:
    """Return the reply to one submitted task as plain values."""
    if isinstance(reply, Admitted):
        return "admitted", list(reply.task)
    return outcome_to_wire(reply)


def reply_from_wire(wire: tuple[str, list[Any]]) -> SubmitReply:
    """Return the reply to one submitted task; raises UnknownOutcomeError."""
    tag, fields = wire
    if tag == "admitted":
        return Admitted(TaskId(*fields))
    outcome = outcome_from_wire(wire)
    if isinstance(outcome, NotRun | Unknown):
        return outcome
    return Unknown(f"unexpected reply {tag}")
