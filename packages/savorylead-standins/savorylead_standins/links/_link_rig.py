"""One link over a network in memory, on a fake clock."""

from __future__ import annotations

import random
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeTime

from savorylead.clock import TwistedClock
from savorylead.links import (
    LinkReply,
    LinkRequest,
    LinkSettings,
    ResilientLink,
    RetryBudget,
)

from ._memory_transport import MemoryTransport

_SETTINGS = LinkSettings()
#: Requests of the tests: one that may be repeated and one that may not.
READ = LinkRequest("GET", "/read", idempotent=True)
WRITE = LinkRequest("POST", "/write")


class LinkRig:
    """One link, its network and its clock."""

    def __init__(self, burst: float = 10, **settings: Any) -> None:
        self.time = FakeTime()
        clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.net = MemoryTransport(clock, lambda req: LinkReply(200, req.body))
        self.budget = RetryBudget(0.1, burst)
        self.link = ResilientLink(
            clock,
            random.Random(7),
            self.net,
            self.budget,
            _SETTINGS._replace(**settings),
        )
        self.counts = self.link.counts

    def call(self, request: LinkRequest, timeout_s: float = 5) -> Deferred[LinkReply]:
        """Begin a call."""
        timeout = timedelta(seconds=timeout_s)
        return Deferred.fromCoroutine(self.link.call(request, timeout))

    def advance(self, seconds: float, step_s: float = 0.01) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / step_s)):
            self.time.advance(step_s)

    def error_of(self, call: Deferred[LinkReply]) -> Exception:
        """Return the exception of a call that has failed."""
        caught = []
        call.addErrback(lambda failure: caught.append(failure.value))
        if not caught:
            raise AssertionError("the call has not failed")
        return caught[0]

    def error_of_soon(self, call: Deferred[LinkReply]) -> Exception:
        """Return the exception of a call that fails within a moment."""
        self.advance(0.3)
        return self.error_of(call)

    def warm_up(self, connections: int = 1) -> None:
        """Open so many connections, and forget what they served."""
        calls = [self.call(READ) for _ in range(connections)]
        self.advance(0.05)
        if any(call.result.status != 200 for call in calls):
            raise AssertionError("a call of the warm-up failed")
        self.net.served.clear()

    def served(self, request: LinkRequest) -> int:
        """Return how often the request took effect since the warm-up."""
        return self.net.served.count(request)
