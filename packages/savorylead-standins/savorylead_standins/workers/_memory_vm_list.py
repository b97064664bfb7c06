"""The platform's list of VMs in memory, with its lag."""

from __future__ import annotations

from datetime import timedelta

from savorylead.clock import Clock
from savorylead.workers import VmEntry, VmList, VmListError, Worker


class MemoryVmList(VmList):
    """Shows each change only after the lag."""

    def __init__(self, clock: Clock, lag: timedelta) -> None:
        self.lag = lag
        #: Refuses every read while True.
        self.down = False
        self._clock = clock
        self._shown: dict[str, VmEntry] = {}

    async def read(self) -> list[VmEntry]:
        """Return the VMs as they were a lag ago; raises VmListError."""
        if self.down:
            raise VmListError("down")
        return list(self._shown.values())

    def begin_with(self, worker: Worker) -> None:
        """Show a VM at once, as one that has been there for long."""
        self._shown[worker.name] = VmEntry(worker, leaving=False)

    def add(self, worker: Worker) -> None:
        """Show a new VM after the lag."""
        self._clock.call_later(self.lag, self.begin_with, worker)

    def mark_leaving(self, name: str, leaving: bool = True) -> None:
        """Show the VM as leaving, or no more so, after the lag."""
        self._clock.call_later(self.lag, self._show_leaving, name, leaving)

    def remove(self, name: str) -> None:
        """Show the VM no more after the lag."""
        self._clock.call_later(self.lag, self._shown.pop, name, None)

    def _show_leaving(self, name: str, leaving: bool) -> None:
        entry = self._shown.get(name)
        if entry is not None:
            self._shown[name] = entry._replace(leaving=leaving)
