"""Delays between attempts of a call to the store."""

from __future__ import annotations

import random
from datetime import timedelta

from savorylead.clock import Clock
from savorylead.links import Backoff, DecorrelatedJitterBackoff

#: Shortest delay after a failed call.
RETRY_BASE = timedelta(milliseconds=100)
#: Longest delay, which bounds the time from the end of an outage to the next attempt.
RETRY_CAP = timedelta(seconds=2)


class RetryPauses:
    """The increasing delays of one operation that is retried until it succeeds."""

    def __init__(self, clock: Clock, backoff: Backoff) -> None:
        #: Number of failed attempts so far.
        self.failures = 0
        self._clock = clock
        self._backoff = backoff

    async def wait(self) -> None:
        """Count a failed attempt and return after the next delay."""
        self.failures += 1
        await self._clock.sleep(self._backoff.next_delay())


class RetryPolicy:
    """Creates the retry delays of each operation.

    They are jittered, so that the clients of a recovering store spread their calls.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        base: timedelta = RETRY_BASE,
        cap: timedelta = RETRY_CAP,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._base = base
        self._cap = cap

    def begin(self) -> RetryPauses:
        """Return the delays of one operation, starting at the shortest."""
        backoff = DecorrelatedJitterBackoff(self._rng, self._base, self._cap)
        return RetryPauses(self._clock, backoff)
