"""The platform as a pool's lead uses it: interfaces and value types."""

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
    """Duration of calls to the policy adviser for steps of one queue."""

    #: Fixed time of each call, in milliseconds.
    decide_ms: float
    #: Additional time for each worker named in the call, in milliseconds.
    per_worker_ms: float
    #: Lifetime of a ticket, in milliseconds.
    valid_ms: int

    def expected_ms(self, workers: int) -> float:
        """Return the expected duration of a call that names ``workers`` workers."""
        return self.decide_ms + self.per_worker_ms * workers


class Queue(NamedTuple):
    """A queue to which callers submit jobs of one kind."""

    name: str
    #: Host and path prefix that select the queue.
    host: str
    prefix: str
    #: The pool whose workers run its jobs.
    pool: str
    #: 0 is the most urgent.
    priority: int
    #: Number of failed runs after which a task, and thereby its job, has failed.
    max_attempts: int
    #: The objective of a job is ``stretch`` times its critical path ...
    stretch: float
    #: ... plus this constant, in milliseconds.
    objective_ms: int
    #: Whether callers may submit without a key.
    anonymous: bool
    #: None if any worker of the pool may run its steps without advice.
    advice: AdviceCost | None


class Team(NamedTuple):
    """A team, which owns jobs."""

    name: str
    keys: frozenset[str]
    #: Weight in fair sharing under contention; also its guaranteed jobs per second.
    weight: float
    #: Upper limit on what it runs in all pools together; 0 for an unlimited dimension.
    limit: Resources


class Pool(NamedTuple):
    """A pool of workers that run the jobs of some queues."""

    name: str
    #: Whether its workers reject tasks that exceed their free capacity.
    guards_capacity: bool
    #: Whether its machines are powered off.
    spare: bool


class CellDocument(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    teams: tuple[Team, ...]
    #: Largest accepted body of a caller's request.
    max_body_bytes: int


class WorkerEntry(NamedTuple):
    """A worker's entry in the platform's list."""

    id: str
    pool: str
    #: "IP:port" of its HTTP interface.
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    #: Empty if the entry names no rack.
    rack: str
    #: False while the worker is leaving.
    accepting: bool
    #: Start of this incarnation in Unix milliseconds; 0 if unknown.
    incarnation_start_ms: int
    #: Least time for which a leaving worker remains; None if unknown.
    remaining_ms: int | None = None
    #: How much longer its tasks are slow after a start or an evacuation.
    cold_remaining_ms: int = 0


class ActiveRun(NamedTuple):
    """A run that a worker reports as active."""

    task: TaskName
    number: int
    checkpoint: str
    #: Progress from 0 to 100; a long-running task is in service at 100.
    percent: int
    #: Tail response time in ms of a serving task; cores_milli in use by others.
    load: int


class RunEnd(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    #: Another task of its gang ended.
    BROKEN = "broken"
    #: The other tasks of its gang did not start in time.
    ALONE = "alone"


class EndedRun(NamedTuple):
    """A finished run, reported by its worker until the lead acknowledges it."""

    #: Sequence number among the ended runs of one incarnation, from 1.
    sequence: int
    task: TaskName
    number: int
    outcome: RunEnd
    checkpoint: str


class WorkerReport(NamedTuple):
    """A worker's state, returned when its lease is renewed."""

    #: The worker's monotonic clock.
    clock_ms: int
    #: Start of the incarnation in Unix milliseconds; 0 if unknown.
    incarnation_start_ms: int
    active: tuple[ActiveRun, ...]
    #: Ended runs that are not acknowledged yet, oldest first.
    ended: tuple[EndedRun, ...]
    #: Whether ``ended`` may be truncated at the worker's page size.
    truncated: bool

    def names(self, key: tuple[str, int]) -> bool:
        """Return whether it lists a run, by its task name and run number."""
        return any(
            (str(run.task), run.number) == key for run in (*self.active, *self.ended)
        )


class RunOrder(NamedTuple):
    """An order to a worker to start a task."""

    task: TaskName
    number: int
    payload: str
    #: Expiry of the order on the worker's clock.
    deadline_ms: int
    checkpoint: str
    #: The adviser's ticket; empty if the queue needs none.
    ticket: str


class StartRejection(enum.StrEnum):
    """Why a worker did not start a task."""

    #: The worker has accepted a call of a later lead.
    STALE_FENCE = "stale_fence"
    #: The run's number is not above that of a run of the task that ended there.
    STALE_NUMBER = "stale_number"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    #: The order addressed another incarnation of the worker.
    WRONG_INCARNATION = "wrong_incarnation"
    #: The worker is unhealthy and ignored the order.
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class RunStarted:
    """The task runs, started by this order or by an equal earlier one."""

    clock_ms: int


@dataclass(frozen=True)
class RunRejected:
    """The task was not started, and this order will never start it."""

    reason: StartRejection
    clock_ms: int | None


class WorkerNotReachedError(WorkerUnavailableError):
    """The call was not sent, so it cannot take effect."""


class StaleFenceError(Exception):
    """The worker has accepted a higher fencing token, so another lead took over."""


class WrongIncarnationError(Exception):
    """Another incarnation answered at the worker's address and ignored the call."""


class WorkerUnhealthyError(Exception):
    """The worker answered that it is unhealthy and ignored the call."""


class WorkerCalls(ABC):
    """Calls of a lead to a worker.

    A call that raises WorkerError may still take effect.
    """

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, fence: int, order: RunOrder
    ) -> RunStarted | RunRejected:
        """Start a task; an equal order is idempotent."""

    @abstractmethod
    async def stop(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int
    ) -> None:
        """Stop a run; if it has not started yet, its start is rejected later on.

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

        ``released`` acknowledges the ended runs up to that sequence number, which the
        worker then discards. ``deadline_ms`` is the lease's new end on the worker's
        clock; None does not extend it. The worker delays its answer up to ``wait``
        until a run ends. Raises StaleFenceError and WrongIncarnationError.
        """

    @abstractmethod
    async def pace(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int, percent: int
    ) -> None:
        """Throttle a run to ``percent`` of its normal speed."""

    def keep_only(self, worker_ids: frozenset[str]) -> None:  # noqa: B027
        """Close the connections to all other workers; does nothing by default."""


class Advice(NamedTuple):
    """The adviser's answer for one step."""

    #: Tickets for the workers that may run the step, by worker id.
    tickets: Mapping[str, str]
    #: Lifetime of the tickets, in milliseconds.
    valid_ms: int


class AdviserError(Exception):
    """A call to the adviser got no answer, or an answer without advice."""


class AdviserRefusedError(AdviserError):
    """A refused call, which says nothing about the calling machine's health."""


class AdviserBusyError(AdviserRefusedError):
    """A refused call, since too many calls of this machine are waiting already."""


class PolicyAdviser(ABC):
    """Decides which workers a queue's policy allows to run a step."""

    @abstractmethod
    async def advise(self, step: str, workers: Sequence[str]) -> Advice:
        """Return which of ``workers`` may run ``step``; raises AdviserError."""


class ConfigSource(ABC):
    """Location and format of the operators' keys in the store.

    They are the configuration and the orders to evacuate failure domains.
    """

    #: Prefix of all keys that operators write.
    prefix: str
    #: Key of the configuration.
    key: str
    #: Prefix of the orders to evacuate a failure domain, whose name follows it. An
    #: order is in force while its key exists, whatever its value.
    evacuation_prefix: str

    @abstractmethod
    def decode(self, value: bytes) -> CellDocument:
        """Return the configuration; raises ConfigDecodeError."""

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a key evacuates; None for other keys."""
        if not key.startswith(self.evacuation_prefix):
            return None
        return key.removeprefix(self.evacuation_prefix) or None


class ConfigDecodeError(Exception):
    """A stored configuration is malformed."""


class WorkerListing(ABC):
    """Location and format of the platform's list of workers in the store."""

    #: Prefix of the entries in the store.
    prefix: str

    @abstractmethod
    def decode(self, item: KeyValue) -> WorkerEntry | None:
        """Return the worker of an entry, or None if the entry describes none."""
