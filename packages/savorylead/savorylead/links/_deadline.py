"""Deadlines and timeouts of calls."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple, TypeVar

from twisted.internet.defer import Deferred

from savorylead.clock import Clock

T = TypeVar("T")

_ZERO = timedelta(0)


class DeadlineExceededError(Exception):
    """The awaited result timed out, and its Deferred was cancelled."""


class Deadline(NamedTuple):
    """The time at which a caller stops waiting."""

    #: Timezone-aware UTC time of the clock that created the deadline.
    at: datetime

    @classmethod
    def after(cls, clock: Clock, timeout: timedelta) -> Deadline:
        """Return the deadline that is ``timeout`` from now."""
        return cls(clock.now() + timeout)

    def remaining(self, clock: Clock) -> timedelta:
        """Return the remaining time; never negative."""
        return max(_ZERO, self.at - clock.now())

    def has_passed(self, clock: Clock) -> bool:
        """Return whether the deadline has passed."""
        return clock.now() >= self.at


class _Timeout:
    """Cancels a Deferred on timeout, and records that it did."""

    def __init__(
        self,
        clock: Clock,
        pending: Deferred[T],
        limit: timedelta,
        max_duration: timedelta,
        progress: Callable[[], int],
    ) -> None:
        self.expired = False
        self._clock = clock
        self._pending = pending
        self._limit = limit
        self._deadline = Deadline.after(clock, max_duration)
        self._progress = progress
        self._last_progress = progress()
        self._timer = clock.call_later(limit, self._check)

    def cancel(self) -> None:
        """Stop the timer without cancelling the Deferred."""
        self._timer.cancel()

    def _check(self) -> None:
        now = self._progress()
        time_left = self._deadline.remaining(self._clock)
        if now == self._last_progress or time_left == _ZERO:
            self.expired = True
            self._pending.cancel()
            return
        self._last_progress = now
        self._timer = self._clock.call_later(min(self._limit, time_left), self._check)


def _no_progress() -> int:
    return 0


async def within(clock: Clock, limit: timedelta, pending: Deferred[T]) -> T:
    """Await ``pending``, cancelling it after ``limit``.

    Raises DeadlineExceededError after the limit, or any exception of ``pending``.
    """
    return await while_progressing(clock, limit, limit, _no_progress, pending)


async def while_progressing(
    clock: Clock,
    limit: timedelta,
    max_duration: timedelta,
    progress: Callable[[], int],
    pending: Deferred[T],
) -> T:
    """Await ``pending``, cancelling it when ``progress()`` stops changing.

    Progress is checked at intervals of ``limit``. After ``max_duration``, ``pending``
    is cancelled in any case. Raises DeadlineExceededError on cancellation by either
    rule, or any exception of ``pending``.
    """
    guard = _Timeout(clock, pending, limit, max_duration, progress)
    try:
        return await pending
    except Exception:
        if guard.expired:
            raise DeadlineExceededError from None
        raise
    finally:
        guard.cancel()
