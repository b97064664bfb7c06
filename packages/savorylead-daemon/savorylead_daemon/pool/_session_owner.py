"""The interface between a worker session and its lead."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta
from typing import TYPE_CHECKING

from savorylead.jobs import Run
from savorylead.pools import Finding, PoolWorker, WorkerReport

if TYPE_CHECKING:
    from ._worker_session import WorkerSession

#: Delay before a failed call to a worker is retried. The first failed poll after an
#: answer is retried at once, since a single message may have been lost by the network.
RETRY_AFTER = timedelta(milliseconds=200)
#: Interval between checks whether the lead may act again.
MAY_ACT_CHECK_INTERVAL = timedelta(milliseconds=50)


class SessionOwner(ABC):
    """Callbacks and state that a worker session needs from its lead."""

    #: The fencing token.
    fence: int

    @abstractmethod
    def may_act(self) -> bool:
        """Return whether this daemon is guaranteed to still be the lead."""

    @abstractmethod
    def worker_lease_ms(self) -> int:
        """Return for how long a worker may be leased now, in milliseconds."""

    @abstractmethod
    def can_apply_reports(self) -> bool:
        """Return whether reports can be applied; before, workers are only renewed."""

    @abstractmethod
    def superseded(self) -> None:
        """Handle that a later lead has used a worker."""

    @abstractmethod
    def apply(
        self, session: WorkerSession, findings: Sequence[Finding], report: WorkerReport
    ) -> None:
        """Apply the findings of a report."""

    @abstractmethod
    def lost(self, session: WorkerSession, runs: Sequence[Run], reason: str) -> None:
        """Record that runs are definitely over without a report of their end."""

    @abstractmethod
    def worker_ended(
        self, session: WorkerSession, runs: Sequence[Run], is_certain: bool
    ) -> None:
        """Record that the worker's incarnation ended while ``runs`` were on it.

        ``is_certain`` is False if that is only presumed.
        """

    @abstractmethod
    def worker_silent(self, worker: PoolWorker) -> None:
        """Handle that a worker has not answered two polls in a row."""

    @abstractmethod
    def worker_answered(self, worker: PoolWorker) -> None:
        """Handle that a worker has answered a poll."""

    @abstractmethod
    def worker_listed(self, worker: PoolWorker) -> None:
        """Handle that a worker has appeared in the platform's list."""

    @abstractmethod
    def count_unanswered_start(self, event: str) -> None:
        """Count what became of a start order without an answer, for the metrics."""

    @abstractmethod
    async def wait_until_durable(self) -> None:
        """Return once all applied changes are durable."""
