"""The whole platform of a cell in one process."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import NamedTuple

from twisted.internet.defer import gatherResults
from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.web.resource import Resource

from savorylead.clock import Clock
from savorylead_daemon.http import JsonSite
from savorylead_standins.store import FaultPlan, MemoryStore
from savorylead_standins.workers import MemoryVmList, MemoryWorker

from ._platform_document import PlatformDocument
from ._store_server import StoreServer
from ._vm_list_server import VmListServer
from ._worker_server import WorkerServer

_HOST = "127.0.0.1"


class PlatformPorts(NamedTuple):
    """Where the stand-ins listen, as "IP:port"."""

    store: str
    vm_list: str
    #: Each worker answers below "IP:port/workers/NAME".
    workers: str


class PlatformServer:
    """Serves the store, the VM list and every worker on loopback."""

    def __init__(
        self,
        reactor: IReactorTCP,
        clock: Clock,
        rng: random.Random,
        document: PlatformDocument,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._document = document
        self._ports: list[IListeningPort] = []
        latency = timedelta(milliseconds=document.store.latency_ms)
        self.store = MemoryStore(clock, rng, FaultPlan(latency=latency))
        self.vms = MemoryVmList(clock, timedelta(seconds=document.vm_list.lag_s))
        self.workers: list[MemoryWorker] = []

    def listen(self) -> PlatformPorts:
        """Begin to listen, on ports that the operating system chooses."""
        return PlatformPorts(
            self._listen(self._store_resource()),
            self._listen(VmListServer(self.vms).resource()),
            self._listen_for_workers(),
        )

    async def stop(self) -> None:
        """Stop listening; connections that are open stay so."""
        await gatherResults([port.stopListening() for port in self._ports])

    def _store_resource(self) -> Resource:
        speed = self._document.store
        return StoreServer(
            self.store, self._clock, self._rng, speed.writes_per_s, speed.reads_per_s
        ).resource()

    def _listen_for_workers(self) -> str:
        root = Resource()
        address = self._listen(root)
        for worker in self._document.fleet(f"{address}/workers"):
            self.workers.append(MemoryWorker(worker, self._clock, self._rng))
            self.vms.begin_with(worker)
        latency = timedelta(milliseconds=self._document.workers.latency_ms)
        server = WorkerServer(self.workers, self.vms, self._clock, self._rng, latency)
        for path in (b"workers", b"admin"):
            root.putChild(path, server.resource())
        return address

    def _listen(self, resource: Resource) -> str:
        port = self._reactor.listenTCP(0, JsonSite(resource), interface=_HOST)
        self._ports.append(port)
        return f"{_HOST}:{port.getHost().port}"
