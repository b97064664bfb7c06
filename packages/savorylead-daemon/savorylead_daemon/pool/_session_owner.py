"""What the session with a worker needs of the lead that has it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from savorylead.jobs import Run
from savorylead.pools import Finding, WorkerReport

if TYPE_CHECKING:
    from ._worker_session import WorkerSession


class SessionOwner(ABC):
    """What a session needs of its lead."""

    #: The fencing token.
    fence: int

    @abstractmethod
    def may_act(self) -> bool:
        """Return whether this daemon surely still leads."""

    @abstractmethod
    def takes_reports(self) -> bool:
        """Return whether reports can be judged; before, workers are only renewed."""

    @abstractmethod
    def superseded(self) -> None:
        """Take note that a later lead has used a worker."""

    @abstractmethod
    def apply(
        self, session: WorkerSession, findings: Sequence[Finding], report: WorkerReport
    ) -> None:
        """Take over what a report says."""

    @abstractmethod
    def lost(self, session: WorkerSession, runs: Sequence[Run], reason: str) -> None:
        """Take over that runs are surely over without a report of their end."""

    @abstractmethod
    async def durable(self) -> None:
        """Return once what was applied is durable."""
