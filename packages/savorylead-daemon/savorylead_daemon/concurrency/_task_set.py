"""Coroutines that run by themselves and end with their owner."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from ._spawn import spawn


class TaskSet:
    """Spawns coroutines, and ends all of them at once.

    A cancellation reaches a coroutine through what it waits for, so one that runs
    goes on: the set must not be closed by one of its own coroutines.
    """

    def __init__(self) -> None:
        self.is_closed = False
        self._running: set[Deferred[None]] = set()

    def spawn(self, what: str, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine, unless the set is closed; what it raises is logged."""
        if self.is_closed:
            coroutine.close()
            return
        running = spawn(what, coroutine)
        self._running.add(running)
        running.addBoth(lambda _: self._running.discard(running))

    def close(self) -> None:
        """Cancel all that runs, and begin nothing more."""
        self.is_closed = True
        for running in list(self._running):
            running.cancel()
