"""The callbacks that worker sessions make to their lead."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from savorylead.contracts import TaskId
from savorylead.workers import Inventory, RunReport, WorkerError

if TYPE_CHECKING:
    from ._worker_session import WorkerSession

#: One attempt of one task.
Attempt = tuple[TaskId, int]


class SessionListener(ABC):
    """Receives the events of worker sessions; implemented by the lead."""

    @abstractmethod
    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """The worker replied to a renewal."""

    @abstractmethod
    def on_reports(self, session: WorkerSession, reports: Sequence[RunReport]) -> None:
        """The worker replied to a stop or a checkpoint."""

    @abstractmethod
    def on_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """The worker confirmed a start."""

    @abstractmethod
    def on_start_refused(
        self, session: WorkerSession, attempt: Attempt, reason: str
    ) -> None:
        """The worker refused a start; the attempt will never start."""

    @abstractmethod
    def on_suspected(self, session: WorkerSession) -> None:
        """The worker does not reply and must get no new work."""

    @abstractmethod
    def on_lost(self, session: WorkerSession) -> None:
        """The worker's lease has certainly expired and nothing runs on it."""

    @abstractmethod
    def on_stale_epoch(self, epoch: int) -> None:
        """A worker has seen a later lead of this shard."""

    @abstractmethod
    def on_command_failed(self, session: WorkerSession, exc: WorkerError) -> None:
        """A command failed and will be retried."""
