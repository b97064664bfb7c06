"""Finds out whether the other end still answers while nothing else is sent."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer


class Heartbeat:
    """Probes after each interval in which nothing was heard.

    While calls are answered more often than the interval it sends nothing.
    """

    def __init__(
        self,
        clock: Clock,
        interval: timedelta,
        probe: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        self._clock = clock
        self._interval = interval
        self._probe = probe
        self._heard_at = clock.now()
        self._probing: Deferred[None] | None = None
        self._timer: Timer | None = None
        self._started = False

    def start(self) -> None:
        """Begin, if it has not begun."""
        if not self._started:
            self._started = True
            self._arm(self._interval)

    def stop(self) -> None:
        """Send no more probes and give up the one under way."""
        self._started = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._probing is not None:
            self._probing.cancel()

    def heard(self) -> None:
        """Note that the other end answered just now."""
        self._heard_at = self._clock.now()

    def silent_for(self) -> timedelta:
        """Return how long nothing was heard."""
        return self._clock.now() - self._heard_at

    def _arm(self, delay: timedelta) -> None:
        self._timer = self._clock.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._timer = None
        left = self._interval - self.silent_for()
        if left > timedelta(0):
            self._arm(left)
            return
        probing = self._probing = Deferred.fromCoroutine(self._probe())
        probing.addBoth(self._probed)

    def _probed(self, _: object) -> None:
        self._probing = None
        if self._started:
            self._arm(self._interval)
