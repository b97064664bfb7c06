"""Pauses between tries of a call to the store."""

from __future__ import annotations

import random
from datetime import timedelta

from savorylead.clock import Clock
from savorylead.links import Backoff, DecorrelatedJitterBackoff

#: Shortest pause after a failed call.
RETRY_BASE = timedelta(milliseconds=100)
#: Longest pause, which bounds how late the end of an outage is noticed.
RETRY_CAP = timedelta(seconds=2)


class RetryPauses:
    """The growing pauses of one operation that is tried until it succeeds."""

    def __init__(self, clock: Clock, backoff: Backoff) -> None:
        #: Failures so far.
        self.failures = 0
        self._clock = clock
        self._backoff = backoff

    async def wait(self) -> None:
        """Count a failure and return after a pause."""
        self.failures += 1
        await self._clock.sleep(self._backoff.next_delay())


class RetryPolicy:
    """Makes the pauses of each operation.

    They are jittered, so that the clients of a store that comes back spread out.
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
        """Return the pauses of one operation, from the shortest."""
        backoff = DecorrelatedJitterBackoff(self._rng, self._base, self._cap)
        return RetryPauses(self._clock, backoff)
