"""What really happened in a run, for checkers to read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from savorylead.contracts import TaskId
from savorylead.outcomes import Outcome
from savorylead.resources import Resources
from savorylead_daemon.services import SubmitReply
from savorylead_standins.workers import Execution


class Submission(NamedTuple):
    """One task as a caller submitted it, and the reply."""

    task: TaskId
    key: str
    repeatable: bool
    #: Result that a run of this very task produces.
    expected_result: str
    submitted_at_ms: int
    #: 0 if no reply came.
    replied_at_ms: int
    #: None if no reply came, as when the gateway died.
    reply: SubmitReply | None


class Answer(NamedTuple):
    """A final outcome as a caller was told it."""

    task: TaskId
    told_at_ms: int
    outcome: Outcome


class KeyWithdrawal(NamedTuple):
    """An operator was told that a key is withdrawn."""

    key: str
    accepted_at_ms: int


class LimitChange(NamedTuple):
    """An operator changed a team's upper limit."""

    team: str
    limit: Resources
    #: When the operator sent the change; the store may have accepted it since.
    sent_at_ms: int
    #: When the operator knew that the store had accepted it.
    accepted_at_ms: int


class RevisionSample(NamedTuple):
    """The configuration in force at one daemon at one moment."""

    #: Name and start of the process, since a new process starts afresh.
    process: str
    at_ms: int
    revision: int
    #: Whether the daemon takes keyed work under it. One that can't confirm its
    #: configuration refuses that work, so an old one has no force there.
    confirmed: bool = True


class Departure(NamedTuple):
    """A VM began to leave."""

    worker: str
    at_ms: int


@dataclass
class RunHistory:
    """Everything that the checkers judge; nothing in it comes from a daemon's word."""

    capacities: Mapping[str, Resources]
    executions: list[Execution] = field(default_factory=list)
    #: Starts that workers refused for want of room, by worker.
    over_capacity_refusals: dict[str, int] = field(default_factory=dict)
    submissions: list[Submission] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    withdrawals: list[KeyWithdrawal] = field(default_factory=list)
    limits: list[LimitChange] = field(default_factory=list)
    #: Revisions and when an operator was told that they are accepted.
    revisions_accepted: dict[int, int] = field(default_factory=dict)
    samples: list[RevisionSample] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    #: Calls that a planned stop of a daemon cut off.
    calls_cut_off: list[str] = field(default_factory=list)
    #: When the run ended.
    ended_at_ms: int = 0
    #: Whether the run was given the time to finish everything that was accepted.
    settled: bool = True
