"""Background coroutines whose lifetime is bounded by an owner."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from ._spawn import spawn


class TaskSet:
    """Spawns coroutines, and cancels all of them when it is closed.

    Cancellation is delivered through the Deferred that a coroutine awaits, so the one
    that is executing is not cancelled: no coroutine may close its own set.
    """

    def __init__(self) -> None:
        self.is_closed = False
        self._running: set[Deferred[None]] = set()

    def spawn(self, what: str, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine unless the set is closed; exceptions are logged."""
        if self.is_closed:
            coroutine.close()
            return
        running = spawn(what, coroutine)
        self._running.add(running)
        running.addBoth(lambda _: self._running.discard(running))

    def close(self) -> None:
        """Cancel all running coroutines; later ones are not started."""
        self.is_closed = True
        for running in list(self._running):
            running.cancel()
