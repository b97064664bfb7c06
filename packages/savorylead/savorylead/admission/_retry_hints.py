"""Retry delays for refused callers, spread so that the retries don't coincide."""

from __future__ import annotations

import random

#: Shortest and longest hint.
MIN_HINT_MS = 500
MAX_HINT_MS = 120_000
#: Shortest hint while the drain rate is unknown.
UNKNOWN_HINT_MS = 5_000


class RetryHints:
    """Spreads the retries of refused callers over the time that serving them takes.

    Each hint reserves a slot for one retry, and the next refused caller gets the slot
    after it. However many callers are refused at once, such as when a shard's lead
    changes, they retry at about ``rate_per_s``.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._reserved_until_ms = 0.0

    def hint_ms(self, now_ms: int, earliest_ms: int, rate_per_s: float | None) -> int:
        """Return the delay in milliseconds before one refused caller should retry.

        A retry within ``earliest_ms`` cannot succeed, such as before a new lead has
        taken over the shard. ``rate_per_s`` is the number of callers that can be
        served per second, or None if unknown.
        """
        if not rate_per_s or rate_per_s <= 0:
            return self._jittered(max(earliest_ms, UNKNOWN_HINT_MS))
        first_ms = float(now_ms + max(earliest_ms, MIN_HINT_MS))
        start_ms = max(first_ms, self._reserved_until_ms)
        longest_ms = now_ms + MAX_HINT_MS
        if start_ms >= longest_ms:
            # All slots up to the longest hint are reserved: spread the rest evenly.
            return round(self._rng.uniform(first_ms - now_ms, MAX_HINT_MS))
        self._reserved_until_ms = start_ms + 1000 / rate_per_s
        delay_ms = start_ms - now_ms + self._rng.uniform(0, 1000 / rate_per_s)
        return round(min(delay_ms, MAX_HINT_MS))

    def _jittered(self, delay_ms: int) -> int:
        return min(round(delay_ms * self._rng.uniform(1.0, 2.0)), MAX_HINT_MS)
