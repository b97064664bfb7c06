"""Interface to the platform's workers."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from savorylead.contracts import TaskId
from savorylead.resources import Resources

from ._worker import Worker


class RunState(enum.StrEnum):
    """State of one attempt, as reported by its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    #: Ended on request, or because its lease lapsed.
    STOPPED = "stopped"
    #: Ended with its progress saved; may be started again on any worker.
    CHECKPOINTED = "checkpointed"
    #: The attempt was unknown to the worker when it was to be stopped. The worker
    #: refuses it from then on, so a start in flight cannot take effect.
    NEVER_STARTED = "never_started"


class StartOrder(NamedTuple):
    """Order to start one attempt of a task."""

    #: The task to run.
    task: TaskId
    #: 1 for the first attempt; a task never runs two attempts at once.
    attempt: int
    #: Resources that the attempt may use.
    resources: Resources
    #: Opaque to the scheduler.
    payload: str


#: Longest stored result of a task. Encoded as JSON it fits into a journal entry even
#: if every character needs an escape.
MAX_RESULT_CHARS = 65_536


class RunReport(NamedTuple):
    """A worker's report on one attempt."""

    task: TaskId
    attempt: int
    state: RunState
    #: The result or error text, at most MAX_RESULT_CHARS; empty while running.
    result: str = ""
    #: Hex digest of the result as computed by the worker; empty while running.
    digest: str = ""
    #: Observed usage, which lags; zero while unknown.
    used: Resources = Resources()
    #: Run time of the attempt so far, in milliseconds.
    ran_ms: int = 0


class Inventory(NamedTuple):
    """All attempts on a worker that run, or have ended and are not yet released."""

    #: Random; replaced when the VM starts and when its lease lapses. No attempt of an
    #: earlier incarnation is still running.
    incarnation: str
    #: False while the worker is leaving.
    accepting: bool
    #: Every attempt since the VM started. An attempt that is not listed does not run;
    #: it may still start if its order names this incarnation, unless ``stop`` has
    #: reported NEVER_STARTED for it.
    runs: tuple[RunReport, ...]


@dataclass(frozen=True)
class StartAccepted:
    """The attempt was started, now or earlier by an equal order."""

    task: TaskId


@dataclass(frozen=True)
class StartRefused:
    """The attempt was not started, and this order will never start it."""

    task: TaskId
    reason: str


@dataclass(frozen=True)
class StaleEpoch:
    """The worker knows a higher epoch of the shard and ignored the command."""

    seen_epoch: int


@dataclass(frozen=True)
class WrongIncarnation:
    """The VM has restarted, or its lease has lapsed; the command was ignored.

    ``incarnation`` is the worker's current one.
    """

    incarnation: str


class WorkerError(Exception):
    """Base class of failed calls to a worker; the call may have taken effect."""


class WorkerTimeoutError(WorkerError):
    """No reply arrived before the deadline."""


class WorkerUnavailableError(WorkerError):
    """The connection was refused or lost."""


#: Replies of a worker that ignored the whole command.
Declined = StaleEpoch | WrongIncarnation


class WorkerContract(ABC):
    """Commands from a lead to the workers of its shard.

    A worker stores the highest epoch of its shard and refuses lower ones; it also
    refuses commands for an earlier incarnation. Each worker has one lease, which
    ``renew`` extends. When the lease lapses, the worker stops every attempt and
    chooses a new incarnation, so that an order in flight can't start anything
    afterwards; a renewal that arrives after the lapse doesn't undo it. The worker
    keeps the report of an ended attempt until that attempt is released. Every method
    may raise WorkerError, after which the command may have taken effect or may do so
    later.
    """

    @abstractmethod
    async def renew(
        self, worker: Worker, epoch: int, lease: timedelta
    ) -> Inventory | StaleEpoch:
        """Renew the worker's lease for ``lease`` from now, and return the inventory.

        A lease of zero returns the inventory without changing the worker's lease.
        During a store outage another daemon than the lead may renew at the shard's
        last known epoch.
        """

    @abstractmethod
    async def start(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        orders: Sequence[StartOrder],
    ) -> list[StartAccepted | StartRefused] | Declined:
        """Start attempts; return one result per order. Equal orders are idempotent."""

    @abstractmethod
    async def stop(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Stop attempts permanently; return one report per attempt.

        An unknown attempt is reported as NEVER_STARTED.
        """

    @abstractmethod
    async def checkpoint(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Save the progress of attempts, then stop them like ``stop``."""

    @abstractmethod
    async def throttle(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        caps: Sequence[tuple[TaskId, int, Resources]],
    ) -> list[RunReport] | Declined:
        """Cap the usage of running attempts; unknown attempts are not reported."""

    @abstractmethod
    async def release(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> None | Declined:
        """Delete the reports of ended attempts, which can't be started again."""

    def keep_only(self, endpoints: frozenset[str]) -> None:  # noqa: B027
        """Close resources of workers at other endpoints; does nothing by default."""
