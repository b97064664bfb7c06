"""Metrics of how terms end, and of leases that a daemon ends for others."""

from __future__ import annotations

from savorylead_daemon.pool._copy_counts import CopyCounts
from savorylead_daemon.pool._crash_tracker import CrashCounts
from savorylead_daemon.pool._metrics import PoolMetrics


def test_ended_terms_and_leases_are_counted_by_their_causes() -> None:
    metrics = PoolMetrics(lambda: 0.0)
    copies = CopyCounts()
    copies.copies["pool", "won"] = 3
    for lost in (1, 2):
        body, _ = metrics.render(
            calls={},
            links={},
            terms={},
            hand_overs={},
            ended_terms={("pool", "lease_lost"): lost, ("pool", "resigned"): 1},
            ended_leases={"vote": lost, "request": 0},
            crashes=CrashCounts(),
            copies=copies,
            unanswered_starts={("pool", "refused"): 2},
            evacuated_since={},
            ready=True,
        )
    lines = body.decode().splitlines()
    for expected in (
        'savorylead_pool_terms_ended_total{pool="pool",reason="lease_lost"} 2',
        'savorylead_pool_terms_ended_total{pool="pool",reason="resigned"} 1',
        'savorylead_leases_ended_for_others_total{cause="vote"} 2',
        'savorylead_pool_copies_total{outcome="won",pool="pool"} 3',
        'savorylead_leases_ended_for_others_total{cause="request"} 0',
        'savorylead_pool_unanswered_starts_total{event="refused",pool="pool"} 2',
    ):
        assert expected in lines
