"""Routes calls of callers and operators to daemons, as a load balancer does."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from twisted.internet.defer import Deferred

from savorylead_daemon.daemon import Daemon
from savorylead_standins.cell import CallLostError, NetworkCall, RunningDaemon

from ._faulty_cell import CallerObservation, FaultyCell

T = TypeVar("T")

#: How long a daemon may delay a reply. The call times out after this and the
#: network's deadline, and the caller retries at another daemon.
MAX_REPLY_DELAY = timedelta(seconds=9)
#: Name of the network endpoint that all callers share.
CALLER = "caller"


class LoadBalancer:
    """Sends each call to a random daemon that the load balancer considers ready."""

    def __init__(self, cell: FaultyCell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        #: Name of the daemon that received the last call.
        self.last_daemon = ""

    async def call(
        self,
        method: str,
        call_daemon: Callable[[Daemon], Awaitable[T]],
        event: str = "",
    ) -> T | None:
        """Return a daemon's reply, or None if none arrived; propagates its exceptions.

        ``event`` is reported to the cell's watchers once the daemon has the call.
        """
        ready = self._cell.ready_daemons()
        if not ready:
            return None
        running = self._rng.choice(ready)
        name = running.process.name
        self.last_daemon = name

        async def apply() -> T:
            return await self._call_daemon(running, method, call_daemon, event)

        call = NetworkCall(CALLER, name, method)
        try:
            return await self._cell.network.call(call, apply, MAX_REPLY_DELAY)
        except CallLostError:
            return None

    async def _call_daemon(
        self,
        running: RunningDaemon,
        method: str,
        call_daemon: Callable[[Daemon], Awaitable[T]],
        event: str,
    ) -> T:
        process = running.process
        if process.dead:
            raise CallLostError("daemon process is dead")
        await process.gate()
        running.open_calls.append(method)
        try:
            reply = Deferred.fromCoroutine(call_daemon(running.daemon))
            if event:
                self._cell.notify_watchers(CallerObservation(event, process.name))
            return await process.receive(reply)
        finally:
            running.open_calls.remove(method)
