"""Connections of one process to the store, the workers, its peers and the VM list."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

from savorylead.contracts import TaskId
from savorylead.domains import Member
from savorylead.resources import Resources
from savorylead.store import KeyValue, Snapshot, Store, SwapConflict, Swapped, Watch
from savorylead.workers import (
    Declined,
    Inventory,
    RunReport,
    StaleEpoch,
    StartAccepted,
    StartOrder,
    StartRefused,
    VmEntry,
    VmList,
    VmListError,
    Worker,
    WorkerContract,
    WorkerTimeoutError,
)
from savorylead_daemon.peers import PeerError, PeerServer, PeerTransport
from savorylead_standins.workers import MemoryWorker

from ._network import CallLostError, Network, NetworkCall
from ._process import Process


class ProcessStore(Store):
    """Store client of a process; replies are held back while the process is paused."""

    def __init__(self, inner: Store, process: Process) -> None:
        self._inner = inner
        self._process = process

    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it does not exist."""
        return await self._process.receive(self._inner.get(key))

    async def list(self, prefix: str) -> Snapshot:
        """Return all keys that start with ``prefix``."""
        return await self._process.receive(self._inner.list(prefix))

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Swapped | SwapConflict:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        call = self._inner.swap(key, value, expected_revision, lease_id)
        return await self._process.receive(call)

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        return await self._process.receive(self._inner.grant_lease(ttl))

    async def renew_lease(self, lease_id: str) -> None:
        """Extend the lease by its ttl."""
        await self._process.receive(self._inner.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """End the lease and delete the keys bound to it."""
        await self._process.receive(self._inner.revoke_lease(lease_id))

    def watch(self, prefix: str, on_change: Callable[[str], None]) -> Watch:
        """Call ``on_change(key)`` after changes; held back while paused."""

        def deliver(key: str) -> None:
            self._process.gate().addCallback(lambda _: on_change(key))

        return self._inner.watch(prefix, deliver)


class NetworkWorkerContract(WorkerContract):
    """Calls workers over the simulated network."""

    def __init__(
        self, process: Process, network: Network, workers: Mapping[str, MemoryWorker]
    ) -> None:
        self._process = process
        self._network = network
        self._workers = workers

    async def renew(
        self, worker: Worker, epoch: int, lease: timedelta
    ) -> Inventory | StaleEpoch:
        """Renew the worker's lease and return the inventory."""
        return await self._call(worker, "renew", epoch, lease)

    async def start(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        orders: Sequence[StartOrder],
    ) -> list[StartAccepted | StartRefused] | Declined:
        """Start attempts."""
        return await self._call(worker, "start", epoch, incarnation, orders)

    async def stop(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Stop attempts permanently."""
        return await self._call(worker, "stop", epoch, incarnation, attempts)

    async def checkpoint(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> list[RunReport] | Declined:
        """Save the progress of attempts and stop them."""
        return await self._call(worker, "checkpoint", epoch, incarnation, attempts)

    async def throttle(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        caps: Sequence[tuple[TaskId, int, Resources]],
    ) -> list[RunReport] | Declined:
        """Cap what attempts may use."""
        return await self._call(worker, "throttle", epoch, incarnation, caps)

    async def release(
        self,
        worker: Worker,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
    ) -> None | Declined:
        """Discard the reports of ended attempts."""
        return await self._call(worker, "release", epoch, incarnation, attempts)

    async def _call(self, worker: Worker, method: str, *args: Any) -> Any:
        target = self._workers.get(worker.name)

        async def apply() -> Any:
            if target is None:
                raise CallLostError("no such VM")
            return getattr(target, method)(*args)

        call = NetworkCall(self._process.name, worker.name, method)
        try:
            return await self._process.receive(self._network.call(call, apply))
        except CallLostError as exc:
            raise WorkerTimeoutError(str(exc)) from exc


class NetworkPeerTransport(PeerTransport):
    """Calls the other daemons of the cell over the simulated network."""

    def __init__(
        self,
        process: Process,
        network: Network,
        servers: Mapping[str, tuple[Process, PeerServer]],
    ) -> None:
        self._process = process
        self._network = network
        self._servers = servers

    async def exchange(
        self, member: Member, tag: str, body: bytes, wait: timedelta
    ) -> bytes:
        """Return the reply to ``body``; raises PeerError."""
        found = self._servers.get(member.endpoint)

        async def apply() -> bytes:
            if found is None or found[0].dead:
                raise CallLostError("no such daemon")
            target, server = found
            await target.gate()
            return await target.receive(server.answer(body))

        call = NetworkCall(self._process.name, member.name, tag)
        try:
            return await self._process.receive(self._network.call(call, apply, wait))
        except CallLostError as exc:
            raise PeerError(str(exc)) from exc


class LaggingVmList(VmList):
    """The platform's list of VMs, delayed by a lag."""

    def __init__(self, process: Process, read: Callable[[], list[VmEntry]]) -> None:
        self._process = process
        self._read_entries = read
        #: While True, every read fails.
        self.down = False

    async def read(self) -> list[VmEntry]:
        """Return the VMs that are live or leaving."""
        await self._process.gate()
        if self.down:
            raise VmListError("VM list is unavailable")
        return self._read_entries()
