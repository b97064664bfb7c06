"""Heartbeats that check an idle connection's server."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer


class Heartbeat:
    """Sends a probe after each interval without a reply.

    While replies arrive more often than the interval, no probes are sent.
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
        self._last_reply_at = clock.now()
        self._probing: Deferred[None] | None = None
        self._timer: Timer | None = None
        self._started = False

    def start(self) -> None:
        """Start the timer, unless it is already started."""
        if not self._started:
            self._started = True
            self._arm(self._interval)

    def stop(self) -> None:
        """Stop sending probes and cancel the one in flight."""
        self._started = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._probing is not None:
            self._probing.cancel()

    def record_reply(self) -> None:
        """Record that a reply was received now."""
        self._last_reply_at = self._clock.now()

    def time_since_reply(self) -> timedelta:
        """Return the time since the last reply."""
        return self._clock.now() - self._last_reply_at

    def _arm(self, delay: timedelta) -> None:
        self._timer = self._clock.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        remaining = self._interval - self.time_since_reply()
        if remaining > timedelta(0):
            self._arm(remaining)
            return
        probing = self._probing = Deferred.fromCoroutine(self._probe())
        probing.addBoth(self._on_probe_done)

    def _on_probe_done(self, _: object) -> None:
        self._probing = None
        if self._started:
            self._arm(self._interval)
