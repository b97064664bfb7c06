"""A sleep that another part can end early."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet.defer import Deferred

from ._clock import Clock


class Wakeup:
    """Lets one coroutine sleep until a timeout expires or ``wake`` is called."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: Deferred[None] | None = None

    def wake(self) -> None:
        """Wake the sleeping coroutine, if there is one."""
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)

    async def wait(self, timeout: timedelta | None = None) -> None:
        """Return when ``wake`` is called or ``timeout`` expires."""
        self._waiting = Deferred()
        timer = None
        if timeout is not None:
            timer = self._clock.call_later(timeout, self.wake)
        try:
            await self._waiting
        finally:
            self._waiting = None
            if timer is not None:
                timer.cancel()
