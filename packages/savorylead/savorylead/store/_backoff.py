"""Waiting times between tries."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import NamedTuple


class Backoff(NamedTuple):
    """Jittered exponential back-off; the tries of many clients spread out."""

    #: Upper bound of the wait before the second try.
    first: timedelta = timedelta(milliseconds=100)
    #: Upper bound of every wait.
    ceiling: timedelta = timedelta(seconds=2)
    #: Growth of the upper bound from one try to the next.
    factor: float = 2.0

    def delay(self, failures: int, rng: random.Random) -> timedelta:
        """Return the wait after ``failures`` tries in a row, at least 1.

        The wait is drawn evenly between half of the upper bound and all of it.
        """
        bound = self.first
        for _ in range(failures - 1):
            bound = min(bound * self.factor, self.ceiling)
            if bound == self.ceiling:
                break
        return bound * (0.5 + 0.5 * rng.random())
