"""Limits retries to a share of the successful calls."""

from __future__ import annotations

#: Tokens are counted in integer millionths: sums of floats would fall short.
_UNITS_PER_TOKEN = 1_000_000


class RetryBudget:
    """A token bucket that successes fill and retries drain.

    Each successful call earns ``share`` of a retry. In an outage no call succeeds, so
    retries stop after ``burst`` of them, however many callers there are. Several links
    may share a budget.
    """

    def __init__(self, share: float, burst: float) -> None:
        if share < 0 or burst < 0:
            raise ValueError("share and burst must not be negative")
        self._share = round(share * _UNITS_PER_TOKEN)
        self._burst = round(burst * _UNITS_PER_TOKEN)
        self._tokens = self._burst
        #: Retries that were allowed.
        self.spent = 0
        #: Retries that were refused.
        self.refused = 0

    @property
    def tokens(self) -> float:
        """The number of retries currently allowed."""
        return self._tokens / _UNITS_PER_TOKEN

    def earn(self) -> None:
        """Record one successful call."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Consume a token and return True if a retry is allowed."""
        if self._tokens < _UNITS_PER_TOKEN:
            self.refused += 1
            return False
        self._tokens -= _UNITS_PER_TOKEN
        self.spent += 1
        return True
