"""The stand-ins and clients of them on loopback, for tests."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet import reactor

from savorylead.clock import TwistedClock
from savorylead.links import Link, LinkRequest, LinkSettings
from savorylead_daemon.http import (
    HttpLinks,
    HttpStore,
    HttpVmList,
    HttpWorkerContract,
    StoreTimeouts,
    WatchSettings,
    WorkerTimeouts,
)
from savorylead_daemon.http.store_wire import CLIENT_HEADER
from savorylead_standins.loopback import run_on_reactor

from ._platform_document import read_platform
from ._platform_server import PlatformServer

_EXAMPLE = Path(__file__).parents[4] / "examples" / "monteverde.json"
#: Long enough for a busy machine, where an answer is expected.
_PATIENT = timedelta(seconds=20)
#: For tests in which no answer can come.
_HASTY = timedelta(seconds=0.3)


class LoopbackPlatform:
    """The stand-ins of one example and clients of them, on the reactor's thread."""

    #: Name of the client that faults can befall.
    client = "daemon-1"

    def __init__(self) -> None:
        clock = TwistedClock.starting_now(reactor)
        document = read_platform(_EXAMPLE)
        document.vm_list.lag_s = 0.02
        self.clock = clock
        self.server = PlatformServer(reactor, clock, random.Random(1), document)
        self.ports = self.server.listen()
        settings = LinkSettings(attempt_timeout=_PATIENT, max_connections=16)
        self.links = HttpLinks(
            reactor, clock, random.Random(2), {CLIENT_HEADER: self.client}, settings
        )
        self._calls = self.links.open(self.ports.store)
        self._watches = self.links.open(self.ports.store)
        self._vm_list = self.links.open(self.ports.vm_list)
        self.store = self._store(_PATIENT)
        self.hasty_store = self._store(_HASTY)
        self.vms = HttpVmList(self._vm_list)
        self.workers = self._workers(_PATIENT)
        self.hasty_workers = self._workers(_HASTY)

    async def set_faults(self, **faults: Any) -> None:
        """Replace the faults of the store."""
        await self._post(self._calls, "/admin/faults", faults)

    async def change_worker(self, name: str, **faults: Any) -> None:
        """Change the faults of a worker."""
        link = self.links.open(self.ports.workers)
        await self._post(link, f"/admin/workers/{name}", faults)
        link.close()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds; the test's runner bounds the time."""
        while not condition():
            await self.sleep(0.01)

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await self.clock.sleep(timedelta(seconds=seconds))

    async def close(self) -> None:
        """Drop every connection and stop listening."""
        for link in (self._calls, self._watches, self._vm_list):
            link.close()
        self.workers.close()
        self.hasty_workers.close()
        await self.server.stop()

    def _store(self, timeout: timedelta) -> HttpStore:
        return HttpStore(
            self.clock,
            random.Random(3),
            self._calls,
            self._watches,
            StoreTimeouts(timeout, timeout, timeout),
            WatchSettings(wait=timedelta(seconds=0.2), grace=_HASTY),
        )

    def _workers(self, timeout: timedelta) -> HttpWorkerContract:
        return HttpWorkerContract(self.links.open, WorkerTimeouts(timeout, timeout))

    async def _post(self, link: Link, path: str, content: Any) -> None:
        request = LinkRequest("POST", path, msgspec.json.encode(content))
        reply = await link.call(request, _PATIENT)
        if reply.status != 200:
            raise ValueError(reply.body)


def run_with_platform(
    test: Callable[[LoopbackPlatform], Coroutine[Any, Any, None]],
) -> None:
    """Run ``test(platform)`` against a platform of its own."""

    async def work() -> None:
        platform = LoopbackPlatform()
        try:
            await test(platform)
        finally:
            await platform.close()

    run_on_reactor(work)


async def error_of(call: Awaitable[Any]) -> type[Exception] | None:
    """Return the type of the exception that the call raises, if any."""
    try:
        await call
    except Exception as exc:
        return type(exc)
    return None
