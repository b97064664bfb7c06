"""Opens resilient HTTP links that share a clock, randomness and headers."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType

from twisted.internet.interfaces import IReactorTCP

from savorylead.clock import Clock
from savorylead.links import LinkCount, LinkSettings, ResilientLink, RetryBudget

from ._http_transport import HttpTransport
from ._traffic import Traffic

#: Retries allowed per successful call, and how many may accumulate for a burst.
DEFAULT_RETRY_SHARE = 0.1
DEFAULT_RETRY_BURST = 10
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class HttpLinks:
    """Opens links of one kind, such as those to workers.

    They share one retry budget, which bounds the retries that an unreachable
    server causes, and one set of counts, so that a fleet of links has one row of
    metrics.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        clock: Clock,
        rng: random.Random,
        headers: Mapping[str, str],
        settings: LinkSettings = LinkSettings(),  # noqa: B008 - immutable.
    ) -> None:
        self.counts: Counter[LinkCount] = Counter()
        self.traffic = Traffic()
        self.budget = RetryBudget(DEFAULT_RETRY_SHARE, DEFAULT_RETRY_BURST)
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._headers = headers
        self._settings = settings

    def open(
        self, endpoint: str, headers: Mapping[str, str] = _NO_HEADERS
    ) -> ResilientLink:
        """Return a new link to "IP:port" or "IP:port/prefix".

        Its calls carry ``headers`` in addition to those that all links share.
        """
        headers = {**self._headers, **headers}
        return ResilientLink(
            self._clock,
            self._rng,
            HttpTransport(self._reactor, endpoint, headers, traffic=self.traffic),
            self.budget,
            self._settings,
            self.counts,
        )
