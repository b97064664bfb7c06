"""Unit tests of deadlines, backoff and retry budgets."""

from __future__ import annotations

import random
from datetime import UTC, datetime, timedelta

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock as FakeTime

from savorylead.clock import TwistedClock
from savorylead.links import (
    Deadline,
    DeadlineExceededError,
    DecorrelatedJitterBackoff,
    FullJitterBackoff,
    RetryBudget,
    within,
)

_BASE = timedelta(milliseconds=50)
_CAP = timedelta(seconds=2)


def _clock():
    time = FakeTime()
    return time, TwistedClock(time, datetime(2026, 1, 1, tzinfo=UTC))


def test_a_deadline_runs_out_and_stays_out():
    time, clock = _clock()
    deadline = Deadline.after(clock, timedelta(seconds=2))
    time.advance(1.5)
    assert deadline.remaining(clock) == timedelta(seconds=0.5)
    assert not deadline.has_passed(clock)
    time.advance(5)
    assert deadline.remaining(clock) == timedelta(0)
    assert deadline.has_passed(clock)


@pytest.mark.parametrize(
    ("answer_after_s", "cancel_after_s", "outcome"),
    [
        (0.5, None, "answer"),
        (1.5, None, DeadlineExceededError),
        (None, 0.5, CancelledError),
    ],
)
def test_within_tells_expiry_from_cancellation(answer_after_s, cancel_after_s, outcome):
    time, clock = _clock()
    pending = Deferred()
    result = Deferred.fromCoroutine(within(clock, timedelta(seconds=1), pending))
    results = []
    result.addBoth(lambda r: results.append(r if isinstance(r, str) else type(r.value)))
    if answer_after_s:
        time.callLater(answer_after_s, pending.callback, "answer")
    if cancel_after_s:
        time.callLater(cancel_after_s, result.cancel)
    for _ in range(20):
        time.advance(0.1)
    assert results == [outcome]
    assert time.getDelayedCalls() == []


@pytest.mark.parametrize(
    ("kind", "least"),
    [(FullJitterBackoff, timedelta(0)), (DecorrelatedJitterBackoff, _BASE)],
)
def test_backoff_grows_to_its_cap_and_starts_over(kind, least):
    backoff = kind(random.Random(3), _BASE, _CAP)
    delays = [backoff.next_delay() for _ in range(200)]
    assert all(least <= delay <= _CAP for delay in delays)
    assert max(delays[:3]) < _CAP / 2
    assert max(delays) > _CAP * 0.9
    backoff.reset()
    assert backoff.next_delay() <= _BASE * 3


@pytest.mark.parametrize("kind", [FullJitterBackoff, DecorrelatedJitterBackoff])
def test_backoffs_of_different_seeds_disperse(kind):
    def second_delay(seed):
        backoff = kind(random.Random(seed), _BASE, _CAP)
        backoff.next_delay()
        return backoff.next_delay()

    assert len({second_delay(seed) for seed in range(100)}) == 100


@pytest.mark.parametrize(("base", "cap"), [(0, 1), (-1, 1), (2, 1)])
def test_backoff_refuses_senseless_bounds(base, cap):
    with pytest.raises(ValueError, match="base"):
        FullJitterBackoff(random.Random(0), timedelta(base), timedelta(cap))


@pytest.mark.parametrize(
    ("successes", "allowed"), [(0, 0), (7, 0), (8, 1), (23, 2), (1000, 3)]
)
def test_an_empty_budget_earns_a_share_of_the_successes(successes, allowed):
    budget = RetryBudget(share=0.125, burst=3)
    while budget.try_spend():
        pass
    assert (budget.spent, budget.refused) == (3, 1)
    for _ in range(successes):
        budget.earn()
    tries = [budget.try_spend() for _ in range(10)]
    assert tries.count(True) == allowed
    assert budget.refused == 1 + 10 - allowed
