"""Messages between daemons, encoded as JSON arrays."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.jobs import JobRecord, StepSpec


class JobAccepted(NamedTuple):
    """Notifies the lead of a durable job."""

    record: JobRecord
    #: Store revision of the record.
    revision: int


class AdmissionQuery(NamedTuple):
    """Asks whether to admit a job of a team that exceeds its share."""

    pool: str
    job: str
    queue: str
    team: str
    steps: tuple[StepSpec, ...]


class JobCancelled(NamedTuple):
    """Notifies the lead of the durable cancellation of a job."""

    pool: str
    job: str


class StateQuery(NamedTuple):
    """Asks for the state of a job."""

    pool: str
    job: str


class PendingQuery(NamedTuple):
    """Asks how many jobs of a queue have not started."""

    pool: str
    queue: str


class GrantsWritten(NamedTuple):
    """Notifies a lead that another pool has written the record of grants."""

    #: The pool whose lead should read the record.
    pool: str


class JobStoreRequest(NamedTuple):
    """Asks a peer to store a job, as the sender can't reach the store."""

    record: JobRecord


class LeaseEndRequest(NamedTuple):
    """Asks a peer to end the sender's lease, as the sender can't reach the store."""

    lease_id: str


class ReachabilityQuery(NamedTuple):
    """Asks whether the receiver can connect to a lead."""

    pool: str
    address: str


class Done(NamedTuple):
    """Whether a request was executed or its condition holds; else it had no effect."""

    done: bool


class PeerAdviceRequest(NamedTuple):
    """Asks a daemon to call the policy adviser."""

    step: str
    workers: tuple[str, ...]
    #: The waiting call with the lowest rank is made first.
    rank_ms: float


class LeadReply(NamedTuple):
    """The answer of a daemon to a message for the lead."""

    #: Whether the daemon leads the pool and has loaded its jobs.
    leads: bool
    #: Whether the job is known.
    known: bool = False
    #: State of a job; empty if it was not requested.
    state: str = ""
    pending: int = 0
    #: Whether the team's next job needs an admission check before it is stored.
    check_next: bool = False
    #: Time after which the caller of a rejected job should retry; 0 if it is admitted.
    retry_after_ms: int = 0
    #: The lead known to a daemon that does not lead; empty if it knows none.
    lead_name: str = ""
    lead_address: str = ""
    lead_term: int = 0


class AdviceReply(NamedTuple):
    """The adviser's answer, or why there is none."""

    tickets: dict[str, str]
    valid_ms: int
    #: Empty if there is advice.
    error: str = ""
    #: Whether the call was refused rather than failed.
    refused: bool = False
