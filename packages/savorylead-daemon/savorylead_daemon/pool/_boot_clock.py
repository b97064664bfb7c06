"""A clock that also advances while the machine is suspended."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet.interfaces import IReactorTime

from savorylead.clock import Clock, Timer, TwistedClock


class BootClock(Clock):
    """Reads CLOCK_BOOTTIME, so that a lease does not seem valid after a suspension.

    Timers are the reactor's; these pause during a suspension and so only fire later.
    """

    def __init__(self, provider: IReactorTime) -> None:
        self._started_at = datetime.now(UTC)
        self._origin_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._timers = TwistedClock(provider, self._started_at)

    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""
        elapsed_s = time.clock_gettime(time.CLOCK_BOOTTIME) - self._origin_s
        return self._started_at + timedelta(seconds=elapsed_s)

    def call_later(
        self, delay: timedelta, func: Callable[..., Any], *args: Any
    ) -> Timer:
        """Call ``func(*args)`` once after ``delay``."""
        return self._timers.call_later(delay, func, *args)
