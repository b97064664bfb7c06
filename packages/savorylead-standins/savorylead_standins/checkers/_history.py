"""History of a run as observed outside the daemons; the input of the checkers."""

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
    """One submission of a task by a caller, and the reply."""

    task: TaskId
    key: str
    repeatable: bool
    #: Result that a run of this task produces.
    expected_result: str
    submitted_at_ms: int
    #: 0 if no reply arrived.
    replied_at_ms: int
    #: None if no reply arrived, for example because the gateway died.
    reply: SubmitReply | None


class Answer(NamedTuple):
    """A final outcome as a caller received it."""

    task: TaskId
    received_at_ms: int
    outcome: Outcome


class KeyWithdrawal(NamedTuple):
    """An operator received the reply that a key is withdrawn."""

    key: str
    accepted_at_ms: int


class LimitChange(NamedTuple):
    """An operator changed a team's upper limit."""

    team: str
    limit: Resources
    #: When the operator sent the change; the store may have accepted it from then on.
    sent_at_ms: int
    #: When the operator learned that the store had accepted it.
    accepted_at_ms: int


class RevisionSample(NamedTuple):
    """The configuration in force on one daemon at one time."""

    #: Name and start number of the process, since a new process has no earlier state.
    process: str
    at_ms: int
    revision: int
    #: Whether the daemon accepts calls with keys under it. A daemon that can't confirm
    #: its configuration refuses them, so an outdated one has no effect there.
    confirmed: bool = True


class Departure(NamedTuple):
    """The time at which a VM began to leave."""

    worker: str
    at_ms: int


@dataclass
class RunHistory:
    """Input of the checkers; none of it relies on what daemons report."""

    capacities: Mapping[str, Resources]
    executions: list[Execution] = field(default_factory=list)
    #: Number of starts that each worker refused for lack of capacity.
    over_capacity_refusals: dict[str, int] = field(default_factory=dict)
    submissions: list[Submission] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    withdrawals: list[KeyWithdrawal] = field(default_factory=list)
    limits: list[LimitChange] = field(default_factory=list)
    #: For each revision, when an operator received the reply that it is accepted.
    revisions_accepted: dict[int, int] = field(default_factory=dict)
    samples: list[RevisionSample] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    #: Calls that a planned stop of a daemon interrupted.
    calls_cut_off: list[str] = field(default_factory=list)
    #: When the run ended.
    ended_at_ms: int = 0
    #: Whether the run lasted long enough to finish every accepted task.
    settled: bool = True
