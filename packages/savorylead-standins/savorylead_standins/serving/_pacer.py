"""Keeps a stand-in from being faster than the platform."""

from __future__ import annotations

from datetime import timedelta

from savorylead.clock import Clock
from savorylead.store import StoreUnavailableError

#: A call that would wait longer than this is refused.
_MAX_BACKLOG = timedelta(seconds=1)


class Pacer:
    """Lets calls through at a steady rate; the others wait in line."""

    def __init__(self, clock: Clock, calls_per_s: float) -> None:
        self._clock = clock
        self._spacing = timedelta(seconds=1 / calls_per_s)
        self._next_at = clock.now()

    async def wait(self) -> None:
        """Return when it is the caller's turn, or raise StoreUnavailableError."""
        now = self._clock.now()
        delay = self._next_at - now
        if delay > _MAX_BACKLOG:
            raise StoreUnavailableError("too many calls")
        self._next_at = max(self._next_at, now) + self._spacing
        if delay > timedelta(0):
            await self._clock.sleep(delay)
