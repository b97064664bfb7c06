"""Keeps retries a small share of the successes."""

from __future__ import annotations

#: Tokens are counted in whole millionths: sums of fractions would fall short.
_TOKEN = 1_000_000


class RetryBudget:
    """A token bucket that successes fill and retries empty.

    While everything succeeds, ``share`` of the calls may be retried. In an outage
    nothing succeeds, so retries stop after ``burst`` of them, however many
    callers there are. One budget may serve several links.
    """

    def __init__(self, share: float, burst: float) -> None:
        if share < 0 or burst < 0:
            raise ValueError("share and burst must not be negative")
        self._share = round(share * _TOKEN)
        self._burst = round(burst * _TOKEN)
        self._tokens = self._burst
        #: Retries that were allowed.
        self.spent = 0
        #: Retries that were refused.
        self.refused = 0

    @property
    def tokens(self) -> float:
        """How many retries are allowed now."""
        return self._tokens / _TOKEN

    def earn(self) -> None:
        """Note one success."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Return whether one retry is allowed, and take its token if so."""
        if self._tokens < _TOKEN:
            self.refused += 1
            return False
        self._tokens -= _TOKEN
        self.spent += 1
        return True
