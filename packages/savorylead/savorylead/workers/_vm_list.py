"""The platform's list of VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ._worker import Worker


class VmEntry(NamedTuple):
    """One VM in the platform's list, which lags behind the actual state."""

    worker: Worker
    #: True once the platform is about to remove the VM.
    leaving: bool


class VmListError(Exception):
    """The list could not be read."""


class VmList(ABC):
    """Reads the platform's lagging list of VMs."""

    @abstractmethod
    async def read(self) -> list[VmEntry]:
        """Return the VMs that are live or leaving; raises VmListError."""
