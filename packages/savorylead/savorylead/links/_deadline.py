"""Deadlines and timeouts of calls."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple, TypeVar

from twisted.internet.defer import Deferred

from savorylead.clock import Clock

T = TypeVar("T")

_NONE_LEFT = timedelta(0)


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
        return max(_NONE_LEFT, self.at - clock.now())

    def has_passed(self, clock: Clock) -> bool:
        """Return whether the deadline has passed."""
        return clock.now() >= self.at


class _Expiry:
    """Cancels a Deferred on timeout, and records that it did."""

    def __init__(
        self,
        clock: Clock,
        pending: Deferred[T],
        limit: timedelta,
        longest: timedelta,
        progress: Callable[[], int],
    ) -> None:
        self.happened = False
        self._clock = clock
        self._pending = pending
        self._limit = limit
        self._deadline = Deadline.after(clock, longest)
        self._progress = progress
        self._before = progress()
        self._timer = clock.call_later(limit, self._look)

    def cancel(self) -> None:
        """Stop the timer without cancelling the Deferred."""
        self._timer.cancel()

    def _look(self) -> None:
        now = self._progress()
        left = self._deadline.remaining(self._clock)
        if now == self._before or left == _NONE_LEFT:
            self.happened = True
            self._pending.cancel()
            return
        self._before = now
        self._timer = self._clock.call_later(min(self._limit, left), self._look)


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
    longest: timedelta,
    progress: Callable[[], int],
    pending: Deferred[T],
) -> T:
    """Await ``pending``, cancelling it when ``progress()`` stops changing.

    Progress is checked at intervals of ``limit``. After ``longest``, ``pending`` is
    cancelled in any case. Raises DeadlineExceededError on cancellation by either rule,
    or any exception of ``pending``.
    """
    expiry = _Expiry(clock, pending, limit, longest, progress)
    try:
        return await pending
    except Exception:
        if expiry.happened:
            raise DeadlineExceededError from None
        raise
    finally:
        expiry.cancel()
