"""Periodic and coalesced calls."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from savorylead.clock import Clock, Timer


class Periodic:
    """Calls a function at a fixed interval until closed."""

    def __init__(
        self, clock: Clock, every: timedelta, func: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._every = every
        self._func = func
        self._timer: Timer | None = clock.call_later(every, self._run)

    def close(self) -> None:
        """Cancel all further calls."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        # Scheduled first, so that an error in one call doesn't stop later calls.
        self._timer = self._clock.call_later(self._every, self._run)
        self._func()


class CoalescedCall:
    """Coalesces triggers: calls a function once, ``delay`` after the first."""

    def __init__(
        self, clock: Clock, delay: timedelta, func: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._delay = delay
        self._func = func
        self._timer: Timer | None = None
        self._closed = False

    def trigger(self) -> None:
        """Schedule the call, unless it is scheduled already."""
        if self._timer is None and not self._closed:
            self._timer = self._clock.call_later(self._delay, self._run)

    def close(self) -> None:
        """Cancel a scheduled call and ignore later triggers."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _run(self) -> None:
        self._timer = None
        self._func()
