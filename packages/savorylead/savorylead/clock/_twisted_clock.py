"""A clock over a Twisted time provider: the reactor, or ``task.Clock`` in tests."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IReactorTime

from ._clock import Clock, Timer


class _DelayedCallTimer(Timer):
    """Wraps a Twisted delayed call, whose own ``cancel`` raises if it is inactive."""

    def __init__(self, call: DelayedCall) -> None:
        self._call = call

    def cancel(self) -> None:
        if self._call.active():
            self._call.cancel()


class TwistedClock(Clock):
    """Adds the provider's elapsed seconds to a fixed start time.

    Steps of the machine's wall clock therefore don't affect the scheduler.
    """

    def __init__(self, provider: IReactorTime, started_at: datetime) -> None:
        self._provider = provider
        self._started_at = started_at
        self._origin_s = provider.seconds()

    @classmethod
    def starting_now(cls, provider: IReactorTime) -> TwistedClock:
        """Return a clock whose start time is the machine's time in UTC."""
        return cls(provider, datetime.now(UTC))

    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""
        elapsed_s = self._provider.seconds() - self._origin_s
        return self._started_at + timedelta(seconds=elapsed_s)

    def call_later(
        self, delay: timedelta, func: Callable[..., Any], *args: Any
    ) -> Timer:
        """Call ``func(*args)`` once after ``delay``."""
        delay_s = max(0.0, delay.total_seconds())
        return _DelayedCallTimer(self._provider.callLater(delay_s, func, *args))
