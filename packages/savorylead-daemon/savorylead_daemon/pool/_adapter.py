"""The interface between a daemon and the adapter of its platform."""

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

#: Opens the links of one kind, given the kind's name in metrics.
OpenLinks = Callable[[str], HttpLinks]


class PlatformAddresses(NamedTuple):
    """Addresses of the platform's services, as "IP:port"."""

    store: str
    #: None if no queue needs advice.
    adviser: str | None
    #: The service that moves machines; None if there is none.
    machines: str | None


class CallKind(enum.StrEnum):
    """The operation that a caller requests."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"


class CallerCall(NamedTuple):
    """A caller's request before its queue has been determined."""

    kind: CallKind
    #: Host name without the port.
    host: str
    path: str
    #: Empty if the caller sent none.
    key: str
    #: Time for which the caller waits for the answer.
    deadline_ms: int
    body: bytes


class CallerAnswer(NamedTuple):
    """The answer to a caller's request."""

    class Kind(enum.StrEnum):
        """Category of an answer; it determines the status code."""

        DONE = "done"
        MALFORMED = "malformed"
        UNKNOWN_KEY = "unknown_key"
        NO_QUEUE = "no_queue"
        NO_JOB = "no_job"
        TOO_LARGE = "too_large"
        #: Rejected: no part of this call was or will be executed.
        REFUSED = "refused"
        #: This daemon can't serve the call now; no part of it was executed.
        NOT_NOW = "not_now"
        #: It is unknown whether the call took effect.
        UNCLEAR = "unclear"

    kind: Kind
    state: JobState | None = None
    #: Accepted jobs of a queue that have not started any task.
    pending: int | None = None
    #: Stable, machine-readable error code; empty if there is none.
    error: str = ""
    #: Time after which the caller should retry, in seconds.
    retry_after_s: int | None = None


class CallerCodec(ABC):
    """Decodes callers' requests and encodes the answers."""

    #: Path of the load balancer's readiness probe.
    ready_path: str

    @abstractmethod
    def read(self, request: JsonRequest) -> CallerCall | None:
        """Return the call, or None if the HTTP method is not supported."""

    @abstractmethod
    def is_job_id(self, text: str) -> bool:
        """Return whether the last part of a path is a job id."""

    @abstractmethod
    def decode_job(self, body: bytes) -> JobSpec:
        """Return the job from the body of a submit call; raises SpecError."""

    @abstractmethod
    def write(self, answer: CallerAnswer) -> JsonResponse:
        """Return the encoded answer to a call."""


class AdapterParts(NamedTuple):
    """The clients and codecs of a platform, as made by its adapter."""

    store: CellStore
    workers: WorkerCalls
    adviser: PolicyAdviser | None
    config: ConfigSource
    listing: WorkerListing
    callers: CallerCodec
