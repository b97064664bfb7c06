"""Messages between daemons, as arrays in JSON."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.jobs import JobRecord, StepSpec


class JobAccepted(NamedTuple):
    """A job is durable; the lead should take it in."""

    record: JobRecord
    #: Store revision of the record.
    revision: int


class AdmissionAsked(NamedTuple):
    """Asks whether a job of a team that sends more than its share is taken in."""

    pool: str
    job: str
    queue: str
    team: str
    steps: tuple[StepSpec, ...]


class JobCancelled(NamedTuple):
    """A job's cancellation is durable."""

    pool: str
    job: str


class StateAsked(NamedTuple):
    """Asks for the state of a job."""

    pool: str
    job: str


class PendingAsked(NamedTuple):
    """Asks how many jobs of a queue have not started."""

    pool: str
    queue: str


class GrantsWritten(NamedTuple):
    """Another pool's part of the teams' limits changed; look at the record."""

    #: The pool whose lead should look.
    pool: str


class JobStoreAsked(NamedTuple):
    """Asks to store a job for a daemon that can't reach the store."""

    record: JobRecord


class LeaseEndAsked(NamedTuple):
    """Asks to end the sender's lease, since the sender can't reach the store."""

    lease_id: str


class ReachAsked(NamedTuple):
    """Asks whether the asked daemon can connect to a lead."""

    pool: str
    address: str


class Done(NamedTuple):
    """Whether what was asked for is done, or holds; if not done, nothing of it was."""

    done: bool


class AdviceAsked(NamedTuple):
    """Asks to call the policy adviser."""

    step: str
    workers: tuple[str, ...]
    #: Of waiting calls the one with the lowest rank is made first.
    rank_ms: float


class Told(NamedTuple):
    """The answer of a lead."""

    #: Whether the daemon leads the pool and has loaded its jobs.
    leads: bool
    #: Whether the job is known.
    known: bool = False
    #: State of a job; empty if it was not asked for.
    state: str = ""
    pending: int = 0
    #: Whether the team's next job should be asked for before it is stored.
    asks_first: bool = False
    #: When a caller should come back whose job is not taken in; 0 if it is.
    retry_after_ms: int = 0
    #: Whom a daemon that does not lead takes for the lead; empty if it knows none.
    lead_name: str = ""
    lead_address: str = ""
    lead_term: int = 0


class AdviceTold(NamedTuple):
    """What the adviser said, or why it did not."""

    tickets: dict[str, str]
    valid_ms: int
    #: Empty if there is advice.
    error: str = ""
    #: Whether the call was refused, not failed.
    refused: bool = False
