"""Values of the Retry-After header of refused calls."""

from __future__ import annotations

import random

from savorylead.outcomes import Refusal

#: Shortest delay in seconds: by then a lost lead has been replaced, or a stopping
#: daemon has been removed from the balancer.
MIN_DELAY_S = 1
#: Shortest delay in seconds after a full queue or a store outage, which last longer
#: than a change of leads.
MIN_LONG_DELAY_S = 5
_LONG_DELAY_REASONS = frozenset({Refusal.QUEUE_FULL, Refusal.STORE_UNAVAILABLE})


class RetryAfter:
    """Adds jitter so that clients refused at the same time do not retry together."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def seconds(self, reason: Refusal | None = None) -> int:
        """Return a random integer between one and three times the shortest delay."""
        shortest_s = MIN_DELAY_S
        if reason in _LONG_DELAY_REASONS:
            shortest_s = MIN_LONG_DELAY_S
        return self._rng.randint(shortest_s, 3 * shortest_s)
