"""What a pool's lead needs of the platform, as interfaces and plain values."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from savorylead.jobs import TaskName
from savorylead.resources import Resources
from savorylead.store import KeyValue
from savorylead.workers import WorkerUnavailableError


class AdviceCost(NamedTuple):
    """What a call to the policy adviser takes for steps of one queue."""

    #: Milliseconds of each call, whatever it names.
    decide_ms: float
    #: Milliseconds for each worker named.
    per_worker_ms: float
    #: How long a ticket may be used, in milliseconds.
    valid_ms: int

    def expected_ms(self, workers: int) -> float:
        """Return what a call takes that names so many workers, in milliseconds."""
        return self.decide_ms + self.per_worker_ms * workers


class Queue(NamedTuple):
    """Where callers hand in jobs of one kind."""

    name: str
    #: Host and path prefix that select the queue.
    host: str
    prefix: str
    #: The pool whose workers run its jobs.
    pool: str
    #: 0 is the most urgent.
    priority: int
    #: Failed runs after which a task, and with it the job, has failed.
    max_attempts: int
    #: A job should end within this many times its longest chain of work ...
    stretch: float
    #: ... and this much more, in milliseconds.
    objective_ms: int
    #: Whether callers need no key.
    anonymous: bool
    #: None if any worker may run its steps.
    advice: AdviceCost | None


class Team(NamedTuple):
    """Who owns jobs."""

    name: str
    keys: frozenset[str]
    #: Share when all is full; also jobs a second that are owed to it.
    weight: float
    #: Most that it may have running in all pools; 0 in a dimension for no limit.
    limit: Resources


class Pool(NamedTuple):
    """Workers that run the jobs of some queues."""

    name: str
    #: Whether its workers refuse what does not fit.
    guards_capacity: bool
    #: Whether its machines are switched off.
    spare: bool


class CellDocument(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    teams: tuple[Team, ...]
    #: Largest body of a caller's request.
    max_body_bytes: int


class WorkerEntry(NamedTuple):
    """A worker as the platform lists it."""

    id: str
    pool: str
    #: "IP:port" of its interface.
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    #: Empty if the worker names none.
    rack: str
    #: False while it is leaving.
    accepting: bool
    #: Start of this incarnation in Unix milliseconds; 0 if not told.
    born_ms: int
    #: How much longer a leaving worker stays at least; None if it does not say.
    remaining_ms: int | None = None


class ActiveRun(NamedTuple):
    """A run that is on a worker now."""

    task: TaskName
    number: int
    checkpoint: str
    #: Progress from 0 to 100; a long-running task is at work at 100.
    percent: int
    #: Tail response time in ms of a serving task, else cores_milli in use.
    load: int


class RunEnd(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    #: Another member of its gang ended.
    BROKEN = "broken"
    #: The other members of its gang did not come in time.
    ALONE = "alone"


class EndedRun(NamedTuple):
    """A run that ended, until its report is released."""

    #: Counts the ends of one incarnation from 1.
    sequence: int
    task: TaskName
    number: int
    how: RunEnd
    checkpoint: str


class WorkerReport(NamedTuple):
    """What a worker says of itself when its lease is renewed."""

    #: The worker's own steady clock.
    clock_ms: int
    #: Start of the incarnation in Unix milliseconds; 0 if not told.
    born_ms: int
    active: tuple[ActiveRun, ...]
    #: Ends that are not released yet, oldest first.
    ended: tuple[EndedRun, ...]
    #: Whether ``ended`` may be cut off at the worker's page size.
    truncated: bool


class RunOrder(NamedTuple):
    """Asks a worker to start a task."""

    task: TaskName
    number: int
    payload: str
    #: On the worker's clock; the order is void afterwards.
    deadline_ms: int
    checkpoint: str
    #: The adviser's ticket; empty if the queue needs none.
    ticket: str


class StartRejection(enum.StrEnum):
    """Why a worker did not start a task."""

    #: A later lead has used the worker.
    STALE_FENCE = "stale_fence"
    #: The number is not above that of a run that ended there.
    STALE_NUMBER = "stale_number"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    #: The worker is not the incarnation that was meant.
    WRONG_INCARNATION = "wrong_incarnation"
    #: The worker is unhealthy and did nothing.
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class RunStarted:
    """The task runs, or an equal order had started it before."""

    clock_ms: int


@dataclass(frozen=True)
class RunRejected:
    """The task was not started and this order never will start it."""

    reason: StartRejection
    clock_ms: int | None


class WorkerNotReachedError(WorkerUnavailableError):
    """The call was not sent, so it did not take effect and never will."""


class StaleFenceError(Exception):
    """A worker has seen a higher fencing token: another lead has taken over."""


class WrongIncarnationError(Exception):
    """Another incarnation answers at the worker's address; nothing was done."""


class WorkerUnhealthyError(Exception):
    """The worker answered that it is unhealthy and did nothing."""


class WorkerCalls(ABC):
    """What a lead asks of a worker; may raise WorkerError, after which it may run."""

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, fence: int, order: RunOrder
    ) -> RunStarted | RunRejected:
        """Start a task; an equal order is idempotent."""

    @abstractmethod
    async def stop(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int
    ) -> None:
        """Stop a run; one that is not there yet is refused from now on.

        Raises StaleFenceError and WrongIncarnationError.
        """

    @abstractmethod
    async def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        released: int,
        deadline_ms: int | None,
        wait: timedelta,
    ) -> WorkerReport:
        """Renew the worker's lease and return its report.

        Ends up to ``released`` are forgotten. The answer waits up to ``wait`` for
        an end. Raises StaleFenceError and WrongIncarnationError.
        """

    @abstractmethod
    async def pace(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int, percent: int
    ) -> None:
        """Let a run work at ``percent`` of its normal pace."""

    def keep_only(self, worker_ids: frozenset[str]) -> None:  # noqa: B027
        """Close what is kept open for other workers; nothing by default."""


class Advice(NamedTuple):
    """What the adviser said of one step."""

    #: Tickets by the id of the workers that may run the step.
    tickets: Mapping[str, str]
    #: How long the tickets may be used, in milliseconds.
    valid_ms: int


class AdviserError(Exception):
    """The adviser did not answer, or not with advice."""


class AdviserRefusedError(AdviserError):
    """A call was refused, which tells nothing against the machine that made it."""


class AdviserBusyError(AdviserRefusedError):
    """Too many calls of this machine wait at the adviser already."""


class PolicyAdviser(ABC):
    """Knows which workers a queue's policy allows to run a step."""

    @abstractmethod
    async def advise(self, step: str, workers: Sequence[str]) -> Advice:
        """Return which of ``workers`` may run ``step``; raises AdviserError."""


class ConfigSource(ABC):
    """Where the operators' configuration is read from."""

    #: Key of the configuration in the store.
    key: str

    @abstractmethod
    def decode(self, value: bytes) -> CellDocument:
        """Return the configuration; raises ConfigDecodeError."""


class ConfigDecodeError(Exception):
    """A stored configuration can't be understood."""


class WorkerListing(ABC):
    """How the platform's list of workers is read from the store."""

    #: Prefix of the entries in the store.
    prefix: str

    @abstractmethod
    def decode(self, item: KeyValue) -> WorkerEntry | None:
        """Return the worker that an entry names, or None if it names none."""
