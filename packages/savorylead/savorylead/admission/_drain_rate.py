"""Measures how fast waiting work starts."""

from __future__ import annotations

import math

#: Time after which an observation counts for 1/e of a fresh one, in milliseconds.
MEMORY_MS = 30_000
#: Time that must have been observed before the rate is told, in milliseconds.
MIN_OBSERVED_MS = 5_000
#: Starts added for an upper bound: with none seen, up to three are likely enough.
UNSEEN_STARTS = 3.0


class DrainRate:
    """An exponentially fading average of starts while something was waiting.

    Time during which nothing waits is not counted: an empty queue drains
    nothing, which says nothing about how fast a full one would.
    """

    def __init__(self) -> None:
        self._starts = 0.0
        self._busy_ms = 0.0
        self._at_ms = 0
        self._is_busy = False

    def add_start(self, now_ms: int) -> None:
        """Count a start out of the queue."""
        self._advance(now_ms)
        self._starts += 1.0

    def set_busy(self, is_busy: bool, now_ms: int) -> None:
        """Tell whether something waits from now on."""
        self._advance(now_ms)
        self._is_busy = is_busy

    def per_second(self, now_ms: int) -> float | None:
        """Return starts a second, or None while too little was observed."""
        self._advance(now_ms)
        if self._busy_ms < MIN_OBSERVED_MS:
            return None
        return self._starts / self._busy_ms * 1000

    def at_most_per_second(self, now_ms: int) -> float | None:
        """Return an upper bound that a short stall does not push to zero."""
        self._advance(now_ms)
        if self._busy_ms < MIN_OBSERVED_MS:
            return None
        return (self._starts + UNSEEN_STARTS) / self._busy_ms * 1000

    def _advance(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._at_ms
        if elapsed_ms <= 0:
            return
        self._at_ms = now_ms
        if not self._is_busy:
            return
        fade = math.exp(-elapsed_ms / MEMORY_MS)
        self._starts *= fade
        self._busy_ms = self._busy_ms * fade + (1 - fade) * MEMORY_MS
