"""Backoff strategies for retries."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from datetime import timedelta


class Backoff(ABC):
    """Increases the delay after each failure, with jitter to spread out callers."""

    def __init__(self, rng: random.Random, base: timedelta, cap: timedelta) -> None:
        if not timedelta(0) < base <= cap:
            raise ValueError("the base must be positive and at most the cap")
        self._rng = rng
        self._base = base
        self._cap = cap

    @abstractmethod
    def next_delay(self) -> timedelta:
        """Return the delay after another failure; at most the cap."""

    @abstractmethod
    def reset(self) -> None:
        """Reset the delay after a success."""


class FullJitterBackoff(Backoff):
    """Draws uniformly from zero to a bound that doubles with each failure."""

    def __init__(self, rng: random.Random, base: timedelta, cap: timedelta) -> None:
        super().__init__(rng, base, cap)
        self._bound = base

    def next_delay(self) -> timedelta:
        """Return a delay between zero and the bound."""
        delay = self._bound * self._rng.random()
        self._bound = min(self._cap, self._bound * 2)
        return delay

    def reset(self) -> None:
        """Reset the bound to the base."""
        self._bound = self._base


class DecorrelatedJitterBackoff(Backoff):
    """Draws from the base to three times the previous delay.

    It never returns less than the base, so unlike full jitter it limits the rate of
    attempts.
    """

    def __init__(self, rng: random.Random, base: timedelta, cap: timedelta) -> None:
        super().__init__(rng, base, cap)
        self._previous = base

    def next_delay(self) -> timedelta:
        """Return a delay between the base and the cap."""
        span = self._previous * 3 - self._base
        delay = min(self._cap, self._base + span * self._rng.random())
        self._previous = delay
        return delay

    def reset(self) -> None:
        """Reset the previous delay to the base."""
        self._previous = self._base
