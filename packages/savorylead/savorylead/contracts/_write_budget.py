"""Rate limit for the store writes of one lead."""

from __future__ import annotations


class WriteBudget:
    """A token bucket that refills at a constant rate and allows bursts."""

    def __init__(self, rate_per_s: float, burst: int, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_at_ms = now_ms

    def try_take(self, now_ms: int) -> bool:
        """Consume one token; return False if none is available."""
        earned = (now_ms - self._refilled_at_ms) / 1000 * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
