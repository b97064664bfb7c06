"""Runs that end by themselves before a stop would take effect are not stopped."""

from __future__ import annotations

import pytest

from savorylead.jobs import Run
from savorylead.pools import PoolPlanner, PoolWorker

from .pool_cases import NOW_MS, plan, run_on, step_of, worker

#: How long a stop takes on the workers of these tests, in milliseconds.
STOP_MS = 900
#: Length of a batch task, in milliseconds.
BATCH_MS = 6_000


def planner_after_stops() -> PoolPlanner:
    planner = PoolPlanner()
    for _ in range(60):
        planner.run_ends.observe_stop(STOP_MS)
    return planner


def batch_run(where: PoolWorker, index: int, percent: int) -> Run:
    """Start a batch task of half a worker that is done to ``percent``."""
    step = step_of(
        f"batch{where.id}{index}",
        "batch",
        cores=8,
        checkpoints=True,
        estimate_ms=BATCH_MS,
    )
    began_ms = NOW_MS - BATCH_MS * percent // 100
    run = run_on(where, step, confirmed_at_ms=began_ms)
    run.percent = percent
    run.percent_at_ms = NOW_MS
    return run


def full_worker(name: str, *percents: int) -> tuple[PoolWorker, list[Run]]:
    where = worker(name)
    return where, [batch_run(where, i, p) for i, p in enumerate(percents)]


@pytest.mark.parametrize(
    "percents, count, stopped",
    [
        # Both ends are 0.3 s away.
        ((95, 95), 2, 0),
        # One end comes in time, and the other task needs a stop.
        ((95, 40), 1, 0),
        ((95, 40), 2, 1),
        # The ends are later than that of a stop.
        ((40, 40), 2, 2),
        ((80, 80), 2, 2),
    ],
)
def test_no_more_is_stopped_than_ends_soon(
    percents: tuple[int, int], count: int, stopped: int
) -> None:
    where, runs = full_worker("w", *percents)
    urgent = step_of("urgent", "urgent", cores=8, count=count)
    result = plan([urgent], [where], planner_after_stops())
    assert len(result.preempted) == stopped
    assert runs[0] not in result.preempted or percents[0] < 95


def test_room_of_a_run_that_ends_soon_is_promised_once() -> None:
    where, runs = full_worker("w", 95, 40)
    # Tasks of less than 0.4 of a worker, which reserve none.
    steps = [step_of(name, "urgent", cores=6) for name in ("one", "two")]
    result = plan(steps, [where], planner_after_stops())
    assert result.preempted == [runs[1]]


def test_short_stops_make_room_sooner_than_the_end_of_a_run() -> None:
    planner = PoolPlanner()
    for _ in range(60):
        planner.run_ends.observe_stop(100)
    where, runs = full_worker("w", 80, 80)
    urgent = step_of("urgent", "urgent", cores=8)
    result = plan([urgent], [where], planner)
    assert len(result.preempted) == 1


@pytest.mark.parametrize("percent, is_resumed", [(0, False), (5, False), (95, True)])
def test_an_end_that_is_not_known_is_not_relied_on(
    percent: int, is_resumed: bool
) -> None:
    where, runs = full_worker("w", percent, percent)
    for run in runs:
        run.resumed = is_resumed
        run.confirmed_at_ms = NOW_MS - BATCH_MS
        run.percent = min(run.percent, 80)
    urgent = step_of("urgent", "urgent", cores=8)
    assert len(plan([urgent], [where], planner_after_stops()).preempted) == 1


def test_a_gang_gets_its_room_at_one_time() -> None:
    # Room that is freed bit by bit is taken by others before there is enough of it.
    first, _ = full_worker("w1", 80, 80)
    second, _ = full_worker("w2", 80, 80)
    gang = step_of("gang", "urgent", cores=8, count=4, gang=True)
    result = plan([gang], [first, second], planner_after_stops())
    assert len(result.preempted) == 4
