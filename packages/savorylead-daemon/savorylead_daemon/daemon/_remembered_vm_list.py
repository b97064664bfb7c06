"""The platform's list of VMs with its last reading."""

from __future__ import annotations

from savorylead.workers import VmEntry, VmList, Worker


class RememberedVmList(VmList):
    """Passes the platform's list on and remembers the last reading."""

    def __init__(self, inner: VmList) -> None:
        self._inner = inner
        self._workers: tuple[Worker, ...] = ()

    def workers(self) -> tuple[Worker, ...]:
        """Return the workers of the last reading, leaving ones left out.

        It is the same object until a reading differs.
        """
        return self._workers

    async def read(self) -> list[VmEntry]:
        """Return the VMs that are live or leaving; raises VmListError."""
        entries = await self._inner.read()
        workers = tuple(entry.worker for entry in entries if not entry.leaving)
        if workers != self._workers:
            self._workers = workers
        return entries
