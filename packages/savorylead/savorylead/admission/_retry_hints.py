"""Tells refused callers when to come back, so that they don't come together."""

from __future__ import annotations

import random

#: Shortest and longest hint, in milliseconds.
MIN_HINT_MS = 500
MAX_HINT_MS = 120_000
#: Hint while nothing is known about how fast work drains, in milliseconds.
UNKNOWN_HINT_MS = 5_000


class RetryHints:
    """Spreads the returns of refused callers over the time that serving them takes.

    Hints given out are remembered as a time until which returns are booked: the
    next refused caller is sent behind them. However many callers are refused at
    once, as when a shard's lead changes, they come back at about ``rate``.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._booked_until_ms = 0.0

    def hint_ms(self, now_ms: int, earliest_ms: int, rate_per_s: float | None) -> int:
        """Return after how many milliseconds one refused caller should come back.

        ``earliest_ms`` is how long coming back is useless from now on, such as
        until a new lead has taken the shard. ``rate_per_s`` is how many callers
        can be served a second, or None if that is not known.
        """
        if not rate_per_s or rate_per_s <= 0:
            return self._jittered(max(earliest_ms, UNKNOWN_HINT_MS))
        first_ms = float(now_ms + max(earliest_ms, MIN_HINT_MS))
        start_ms = max(first_ms, self._booked_until_ms)
        longest_ms = now_ms + MAX_HINT_MS
        if start_ms >= longest_ms:
            # Beyond the longest hint the returns can only be spread evenly.
            return round(self._rng.uniform(first_ms - now_ms, MAX_HINT_MS))
        self._booked_until_ms = start_ms + 1000 / rate_per_s
        delay_ms = start_ms - now_ms + self._rng.uniform(0, 1000 / rate_per_s)
        return round(min(delay_ms, MAX_HINT_MS))

    def _jittered(self, delay_ms: int) -> int:
        return min(round(delay_ms * self._rng.uniform(1.0, 2.0)), MAX_HINT_MS)
