"""The platform's list of VMs with a cache of the last reading."""

from __future__ import annotations

from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.workers import VmEntry, VmList, VmListError, Worker


class CachedVmList(VmList):
    """Reads the platform's list and caches the last reading."""

    def __init__(self, inner: VmList, clock: Clock) -> None:
        self._inner = inner
        self._clock = clock
        self._workers: tuple[Worker, ...] = ()
        self._endpoints: frozenset[str] = frozenset()
        self._read_at: datetime | None = None
        self._refreshing = False

    def workers(self) -> tuple[Worker, ...]:
        """Return the workers of the last reading, without those that are leaving.

        It is the same object until a reading differs.
        """
        return self._workers

    def endpoints(self) -> frozenset[str]:
        """Return the endpoints of all VMs of the last reading, also leaving ones."""
        return self._endpoints

    async def read(self) -> list[VmEntry]:
        """Return the VMs that are live or leaving; raises VmListError."""
        entries = await self._inner.read()
        self._read_at = self._clock.now()
        workers = tuple(entry.worker for entry in entries if not entry.leaving)
        if workers != self._workers:
            self._workers = workers
        self._endpoints = frozenset(entry.worker.endpoint for entry in entries)
        return entries

    def refresh(self, max_age: timedelta) -> None:
        """Read again unless the last reading is younger or a reading is running."""
        is_fresh = self._read_at and self._clock.now() - self._read_at < max_age
        if not is_fresh and not self._refreshing:
            self._refreshing = True
            Deferred.fromCoroutine(self._refresh())

    async def _refresh(self) -> None:
        try:
            await self.read()
        except VmListError:
            # The last reading remains the best known state.
            return
        finally:
            self._refreshing = False
