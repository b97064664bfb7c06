"""When refused clients should come back."""

from __future__ import annotations

import random

from savorylead.outcomes import Refusal

#: A lead is replaced, or a stopping daemon has left the balancer, after this.
SHORT_S = 1
#: A full queue or a store outage lasts longer than a change of leads.
LONG_S = 5
_LONG = frozenset({Refusal.QUEUE_FULL, Refusal.STORE_UNAVAILABLE})


class RetryAfter:
    """Spreads the return of clients that are refused at the same moment."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def seconds(self, reason: Refusal | None = None) -> int:
        """Return whole seconds between one and three times the usual duration."""
        least = SHORT_S
        if reason in _LONG:
            least = LONG_S
        return self._rng.randint(least, 3 * least)
