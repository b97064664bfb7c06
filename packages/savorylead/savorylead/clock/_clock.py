"""The interface for reading the time and for scheduling calls."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

from twisted.internet.defer import Deferred


class Timer(ABC):
    """A scheduled call that has not happened yet."""

    @abstractmethod
    def cancel(self) -> None:
        """Cancel the call; does nothing if it already ran or was cancelled."""


class Clock(ABC):
    """Reads the time and schedules calls.

    ``now`` never goes back within one process, so differences of two readings
    are elapsed times. Readings of different processes may differ by clock drift.
    """

    @abstractmethod
    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""

    @abstractmethod
    def call_later(
        self, delay: timedelta, func: Callable[..., Any], *args: Any
    ) -> Timer:
        """Call ``func(*args)`` once after ``delay``."""

    def sleep(self, delay: timedelta) -> Deferred[None]:
        """Return a Deferred that fires with None after ``delay``.

        Cancelling the Deferred cancels the timer.
        """
        result: Deferred[None] = Deferred(lambda _: timer.cancel())
        timer = self.call_later(delay, result.callback, None)
        return result


def to_millis(moment: datetime) -> int:
    """Return whole milliseconds since the Unix epoch, the format of wire messages."""
    return int(moment.timestamp() * 1000)
