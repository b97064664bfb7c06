"""The contract with the platform's workers."""

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
    """What a worker knows of one attempt."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    #: Ended on request, or because its lease lapsed.
    STOPPED = "stopped"
    #: Ended with its progress saved; may be started again anywhere.
    CHECKPOINTED = "checkpointed"
    #: The worker had no such attempt when asked to stop it, and refuses it from now
    #: on, so a start that is still under way cannot take effect.
    NEVER_STARTED = "never_started"


class StartOrder(NamedTuple):
    """Asks a worker to start one attempt of a task."""

    #: The task to run.
    task: TaskId
    #: 1 for the first attempt; a task never runs two attempts at once.
    attempt: int
    #: What the attempt may use.
    resources: Resources
    #: Opaque to the scheduler.
    payload: str


#: Longest answer that the cell keeps. Written as JSON it fits into a journal entry
#: even if every character needs an escape.
MAX_RESULT_CHARS = 65_536


class RunReport(NamedTuple):
    """What a worker says about one attempt that it knows."""

    task: TaskId
    attempt: int
    state: RunState
    #: The answer or the error text, of MAX_RESULT_CHARS at most; empty while running.
    result: str = ""
    #: Hex digest of the result as the worker computed it; empty while running.
    digest: str = ""
    #: Observed use, which lags; zero when not known yet.
    used: Resources = Resources()
    #: How long the attempt has run, in milliseconds.
    ran_ms: int = 0


class Inventory(NamedTuple):
    """All attempts that a worker knows, running or ended but not yet released."""

    #: Random, and chosen anew when the VM starts and when its lease lapses; nothing
    #: of an earlier incarnation runs any more.
    incarnation: str
    #: False while the worker is leaving.
    accepting: bool
    #: Every attempt since the VM started. One that is not listed does not run; it
    #: may still start if its order names this incarnation, unless ``stop`` has
    #: answered NEVER_STARTED for it.
    runs: tuple[RunReport, ...]


@dataclass(frozen=True)
class StartAccepted:
    """The attempt runs, or had already been started by an equal order."""

    task: TaskId


@dataclass(frozen=True)
class StartRefused:
    """The attempt did not start and never will by this order."""

    task: TaskId
    reason: str


@dataclass(frozen=True)
class StaleEpoch:
    """The worker has seen a higher epoch of the shard and did nothing."""

    seen_epoch: int


@dataclass(frozen=True)
class WrongIncarnation:
    """The VM restarted or its lease lapsed since the caller heard; nothing was done."""

    incarnation: str


class WorkerError(Exception):
    """Base of a worker's failures; the call may have taken effect."""


class WorkerTimeoutError(WorkerError):
    """No reply came within the deadline."""


class WorkerUnavailableError(WorkerError):
    """The connection was refused or broke."""


#: Why a worker did nothing at all.
Declined = StaleEpoch | WrongIncarnation


class WorkerContract(ABC):
    """What a lead may ask of the workers in its shard.

    A worker remembers the highest epoch of its shard and refuses lower ones, and
    refuses commands meant for an earlier incarnation. Each worker has one lease,
    which ``renew`` extends. When it lapses the worker stops every attempt and takes
    a new incarnation, so that an order which was under way can't start anything
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

        A lease of zero only reports and leaves the worker's lease as it is. A
        caretaker may renew at the shard's last known epoch.
        """

    @abstractmethod
    async def start(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        orders: Sequence[StartOrder],
    ) -> list[StartAccepted | StartRefused] | Declined:
        """Start attempts; equal orders are idempotent. One result per order."""

    @abstractmethod
    async def stop(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Stop attempts for good; one report per attempt.

        An attempt that is not known is reported as NEVER_STARTED.
        """

    @abstractmethod
    async def checkpoint(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Save the progress of attempts and stop them, as ``stop`` does."""

    @abstractmethod
    async def throttle(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        caps: Sequence[tuple[TaskId, int, Resources]],
    ) -> list[RunReport] | Declined:
        """Cap what running attempts may use; unknown ones are left out."""

    @abstractmethod
    async def release(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> None | Declined:
        """Forget the reports of ended attempts, but never start these again."""

    def keep_only(self, endpoints: frozenset[str]) -> None:  # noqa: B027
        """Free what is kept for workers at other endpoints; nothing by default."""
