"""What a daemon needs of the adapter to a platform."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

from savorylead.jobs import JobSpec, JobState
from savorylead.pools import (
    CellStore,
    ConfigSource,
    PolicyAdviser,
    WorkerCalls,
    WorkerListing,
)
from savorylead_daemon.http import HttpLinks, JsonRequest, JsonResponse

#: Returns the links of one kind, by its name in metrics.
OpenLinks = Callable[[str], HttpLinks]


class PlatformAddresses(NamedTuple):
    """Where the platform answers, as "IP:port"."""

    store: str
    #: None where no queue needs advice.
    adviser: str | None
    #: The service that moves machines; None where there is none.
    machines: str | None


class CallKind(enum.StrEnum):
    """What a caller wants."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"


class CallerCall(NamedTuple):
    """One request of a caller, before its queue is known."""

    kind: CallKind
    #: Without a port.
    host: str
    path: str
    #: Empty if the caller showed none.
    key: str
    #: How long the caller waits for the answer.
    deadline_ms: int
    body: bytes


class CallerAnswer(NamedTuple):
    """What a caller is told."""

    class Kind(enum.StrEnum):
        """The sort of answer, which decides the status."""

        DONE = "done"
        MALFORMED = "malformed"
        UNKNOWN_KEY = "unknown_key"
        NO_QUEUE = "no_queue"
        NO_JOB = "no_job"
        TOO_LARGE = "too_large"
        #: Turned away: nothing ran and nothing of this call will.
        REFUSED = "refused"
        #: This daemon can't serve the call now; nothing of it was done.
        NOT_NOW = "not_now"
        #: Whether the call took effect is not known.
        UNCLEAR = "unclear"

    kind: Kind
    state: JobState | None = None
    #: Accepted jobs of a queue of which no task has started.
    pending: int | None = None
    #: A stable code for programs; empty for none.
    error: str = ""
    #: When to come back, in seconds.
    retry_after_s: int | None = None


class CallerCodec(ABC):
    """Reads callers' requests and writes their answers."""

    #: Path of the balancer's probe.
    ready_path: str

    @abstractmethod
    def read(self, request: JsonRequest) -> CallerCall | None:
        """Return the call, or None for a method that is not used."""

    @abstractmethod
    def is_job_id(self, text: str) -> bool:
        """Return whether the rest of a path is the id of a job."""

    @abstractmethod
    def decode_job(self, body: bytes) -> JobSpec:
        """Return the job of a submit; raises SpecError."""

    @abstractmethod
    def write(self, answer: CallerAnswer) -> JsonResponse:
        """Return the answer to a call."""


class AdapterParts(NamedTuple):
    """Everything that speaks to the platform."""

    store: CellStore
    workers: WorkerCalls
    adviser: PolicyAdviser | None
    config: ConfigSource
    listing: WorkerListing
    callers: CallerCodec
