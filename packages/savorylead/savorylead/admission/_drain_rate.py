"""Estimates the rate at which queued work starts."""

from __future__ import annotations

import math

#: Time constant of the exponential decay: observations this old weigh 1/e.
DECAY_TIME_MS = 30_000
#: Minimum observation time before a rate is reported.
MIN_OBSERVED_MS = 5_000
#: Starts added for the upper bound: when none was observed, up to three were still
#: likely enough.
EXTRA_STARTS = 3.0


class DrainRate:
    """An exponentially weighted rate of starts over the time the queue was not empty.

    Time with an empty queue is not counted, since it gives no information about how
    fast a full queue would drain.
    """

    def __init__(self) -> None:
        self._starts = 0.0
        self._busy_ms = 0.0
        self._at_ms = 0
        self._is_busy = False

    def add_start(self, now_ms: int) -> None:
        """Count the start of a queued task."""
        self._advance(now_ms)
        self._starts += 1.0

    def set_busy(self, is_busy: bool, now_ms: int) -> None:
        """Set whether the queue holds any work from ``now_ms`` on."""
        self._advance(now_ms)
        self._is_busy = is_busy

    def per_second(self, now_ms: int) -> float | None:
        """Return starts per second, or None before MIN_OBSERVED_MS of observation."""
        self._advance(now_ms)
        if self._busy_ms < MIN_OBSERVED_MS:
            return None
        return self._starts / self._busy_ms * 1000

    def upper_bound_per_second(self, now_ms: int) -> float | None:
        """Return an upper bound on the rate, which stays above zero during a stall."""
        self._advance(now_ms)
        if self._busy_ms < MIN_OBSERVED_MS:
            return None
        return (self._starts + EXTRA_STARTS) / self._busy_ms * 1000

    def _advance(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._at_ms
        if elapsed_ms <= 0:
            return
        self._at_ms = now_ms
        if not self._is_busy:
            return
        decay = math.exp(-elapsed_ms / DECAY_TIME_MS)
        self._starts *= decay
        self._busy_ms = self._busy_ms * decay + (1 - decay) * DECAY_TIME_MS
