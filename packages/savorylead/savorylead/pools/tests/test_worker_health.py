"""Detection of failing, stalled and slow workers, and their quarantine."""

from __future__ import annotations

import pytest

from savorylead.pools import DurationEstimator, stalled_runs

from .pool_cases import NOW_MS, run_on, step_of, worker


def test_a_worker_that_fails_everything_is_rested_and_tried_again() -> None:
    bad = worker("w")
    assert [bad.note_failure(NOW_MS) for _ in range(3)] == [False, False, True]
    assert not bad.may_start(NOW_MS + 1_000)
    assert bad.may_start(NOW_MS + 2_000)
    # One more failure quarantines it for twice as long.
    assert bad.note_failure(NOW_MS + 2_000)
    assert not bad.may_start(NOW_MS + 5_000)
    bad.note_success()
    assert not bad.note_failure(NOW_MS + 9_000)


@pytest.mark.parametrize(
    "ratios, is_slow",
    [
        ([6.0] * 6, True),
        ([1.0, 4.0, 0.5, 2.0, 1.0, 3.0], False),
        ([1.3] * 20, False),
    ],
)
def test_a_slow_worker_is_told_from_uneven_tasks(
    ratios: list[float], is_slow: bool
) -> None:
    one = worker("w")
    quarantined = [one.note_duration(ratio, NOW_MS) for ratio in ratios]
    assert any(quarantined) is is_slow


@pytest.mark.parametrize(
    "estimate_ms, still_ms, changes, is_stalled",
    [
        (900, 3_000, {}, True),
        (900, 2_000, {}, False),
        (60_000, 5_000, {}, False),
        (60_000, 13_000, {}, True),
        (900, 9_000, {"long_running": True}, False),
        (900, 9_000, {"fills": True}, False),
    ],
)
def test_a_run_without_progress_is_stalled(
    estimate_ms: int, still_ms: int, changes: dict[str, bool], is_stalled: bool
) -> None:
    one = worker("w")
    step = step_of("j", "normal", estimate_ms=estimate_ms, **changes)
    run = run_on(one, step, confirmed_at_ms=NOW_MS - still_ms)
    run.percent_at_ms = NOW_MS - still_ms
    assert bool(stalled_runs(one, DurationEstimator(), NOW_MS)) is is_stalled
