"""How long a call may take."""

from __future__ import annotations

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

    def __init__(self, pending: Deferred[T]) -> None:
        self._pending = pending
        self.happened = False

    def happen(self) -> None:
        """Cancel the Deferred."""
        self.happened = True
        self._pending.cancel()


async def within(clock: Clock, limit: timedelta, pending: Deferred[T]) -> T:
    """Await ``pending``, cancelling it after ``limit``.

    Raises DeadlineExceededError after the limit, otherwise what ``pending`` does.
    """
    expiry = _Expiry(pending)
    timer = clock.call_later(limit, expiry.happen)
    try:
        return await pending
    except Exception:
        if expiry.happened:
            raise DeadlineExceededError from None
        raise
    finally:
        timer.cancel()
