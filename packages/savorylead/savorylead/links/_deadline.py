"""How long a call may take."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple, TypeVar

from twisted.internet.defer import Deferred

from savorylead.clock import Clock

T = TypeVar("T")

_NONE_LEFT = timedelta(0)


class DeadlineExceededError(Exception):
    """The awaited result did not come in time, and its Deferred was cancelled."""


class Deadline(NamedTuple):
    """The moment at which a caller stops waiting."""

    #: Aware and in UTC, by the clock that made the deadline.
    at: datetime

    @classmethod
    def after(cls, clock: Clock, timeout: timedelta) -> Deadline:
        """Return the deadline that is ``timeout`` from now."""
        return cls(clock.now() + timeout)

    def remaining(self, clock: Clock) -> timedelta:
        """Return what is left, which is never negative."""
        return max(_NONE_LEFT, self.at - clock.now())

    def has_passed(self, clock: Clock) -> bool:
        """Return whether nothing is left."""
        return clock.now() >= self.at


class _Expiry:
    """Cancels a Deferred when its time is up, and remembers that it did."""

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
        """Let the Deferred be."""
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

    Raises DeadlineExceededError after the limit, otherwise what ``pending`` does.
    """
    return await while_progressing(clock, limit, limit, _no_progress, pending)


async def while_progressing(
    clock: Clock,
    limit: timedelta,
    longest: timedelta,
    progress: Callable[[], int],
    pending: Deferred[T],
) -> T:
    """Await ``pending``, cancelling it once ``progress()`` stands still.

    That is looked at each ``limit``. It is cancelled after ``longest`` in any case, and
    DeadlineExceededError raised; otherwise what ``pending`` raises.
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
