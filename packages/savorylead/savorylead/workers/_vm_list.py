"""The platform's list of VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ._worker import Worker


class VmEntry(NamedTuple):
    """One VM as the platform lists it; the list lags behind what is true."""

    worker: Worker
    #: True once the VM is about to be taken away.
    leaving: bool


class VmListError(Exception):
    """The list could not be read."""


class VmList(ABC):
    """Reads the platform's lagging list of VMs."""

    @abstractmethod
    async def read(self) -> list[VmEntry]:
        """Return the VMs that are live or leaving; raises VmListError."""
