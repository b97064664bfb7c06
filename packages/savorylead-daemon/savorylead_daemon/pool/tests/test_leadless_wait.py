"""The limits of a pool without a lead are reused once all its runs are over."""

from __future__ import annotations

from datetime import UTC, datetime

import pytest
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead_daemon.pool._leadless_pools import LeadlessPools
from savorylead_standins.pools import MemoryCellStore, StoreView
from savorylead_standins.time import SteppedTime

#: A lead acts for this long after the end of its key, and workers' clocks are slow.
STILL_ACTS_S = 1.8
SLOW_CLOCK = 0.98


@pytest.mark.parametrize("max_lease_ms", [6_000, 10_000])
def test_a_pool_is_idle_only_after_the_longest_lease_of_a_worker(
    max_lease_ms: int,
) -> None:
    # Guards against reusing limits beside runs on a worker that had restarted.
    time = SteppedTime()
    clock = TwistedClock(time, datetime(2026, 1, 1, tzinfo=UTC))
    store = StoreView(MemoryCellStore(clock))
    pools = LeadlessPools(store, clock, lambda _: False, max_lease_ms)
    over_s = STILL_ACTS_S + max_lease_ms / 1_000 / SLOW_CLOCK
    found: list[tuple[float, bool]] = []
    while time.seconds() < over_s + 1.0:
        asked = Deferred.fromCoroutine(pools.idle(["pool"]))
        asked.addCallback(lambda idle: found.append((time.seconds(), bool(idle))))
        time.advance(0.1)
    assert not any(is_idle for at_s, is_idle in found if at_s < over_s)
    assert found[-1][1]
