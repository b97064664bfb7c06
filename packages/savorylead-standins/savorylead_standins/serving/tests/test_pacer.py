"""The stand-in store's limits on its rates."""

from __future__ import annotations

from datetime import UTC, datetime

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeTime

from savorylead.clock import TwistedClock
from savorylead.store import StoreUnavailableError
from savorylead_standins.serving._pacer import Pacer


def test_calls_pass_at_the_rate_and_a_long_line_is_refused():
    time = FakeTime()
    pacer = Pacer(TwistedClock(time, datetime(2026, 1, 1, tzinfo=UTC)), 100)
    passed, refused = [], []
    for _ in range(300):
        call = Deferred.fromCoroutine(pacer.wait())
        call.addCallbacks(
            lambda _: passed.append(time.seconds()),
            lambda failure: refused.append(failure.check(StoreUnavailableError)),
        )
    for _ in range(200):
        time.advance(0.01)
    assert len(passed) == 101
    assert refused == [StoreUnavailableError] * 199
    assert all(round(at * 100) in (n, n + 1) for n, at in enumerate(passed))
