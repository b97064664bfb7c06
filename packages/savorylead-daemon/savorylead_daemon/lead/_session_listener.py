"""What a lead hears from its sessions with workers."""

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
    """Hears what a session learns; the lead implements it."""

    @abstractmethod
    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """The worker answered a renewal."""

    @abstractmethod
    def on_reports(self, session: WorkerSession, reports: Sequence[RunReport]) -> None:
        """The worker answered a stop or a checkpoint."""

    @abstractmethod
    def on_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """The worker confirmed a start."""

    @abstractmethod
    def on_start_refused(
        self, session: WorkerSession, attempt: Attempt, reason: str
    ) -> None:
        """The worker refused a start for good."""

    @abstractmethod
    def on_suspected(self, session: WorkerSession) -> None:
        """The worker does not answer and must get no new work."""

    @abstractmethod
    def on_lost(self, session: WorkerSession) -> None:
        """The worker's lease has surely lapsed and nothing runs there any more."""

    @abstractmethod
    def on_stale_epoch(self, epoch: int) -> None:
        """A worker has seen a later lead of this shard."""

    @abstractmethod
    def on_command_failed(self, session: WorkerSession, exc: WorkerError) -> None:
        """A command failed and will be sent again."""
