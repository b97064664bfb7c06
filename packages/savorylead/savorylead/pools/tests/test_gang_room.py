"""Tests that a gang does not wait for workers that stay unavailable."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from savorylead.jobs import RunState
from savorylead.pools import Advice, PoolPlanner, PoolWorker

from .pool_cases import NOW_MS, QUEUES, plan, queue, run_on, starts, step_of, worker

ADVISED = {**QUEUES, "advised": queue("advised", 1, advised=True)}
VALID_MS = 2_000
#: Longest time between two planner passes of a lead, in milliseconds.
PASS_INTERVAL_MS = 25


def start_rest(target: PoolWorker) -> None:
    target.quarantine(NOW_MS, 30_000)


def fill_with_long_running(target: PoolWorker) -> None:
    run_on(target, step_of("lasting", "batch", cores=4, long_running=True))


def remove_from_list(target: PoolWorker) -> None:
    target.listed = False


def add_unknown_run(target: PoolWorker) -> None:
    target.unknown_runs = 1


def nothing(target: PoolWorker) -> None:
    pass


def placed_after_ms(
    pool: list[PoolWorker], known: list[PoolWorker], allowed: set[str], max_ms: int
) -> int | None:
    """Return when a gang of two whole workers is placed, None if it is not."""
    planner = PoolPlanner()
    planner.set_queues(ADVISED.values())
    step = step_of("gang", "advised", cores=16, count=2, gang=True)

    def answer(named_workers: list[PoolWorker], now_ms: int) -> None:
        tickets = {w.id: "t" for w in named_workers if w.id in allowed}
        advice = Advice(tickets, VALID_MS)
        planner.book.record_answer(step, "advised", named_workers, advice, now_ms)

    answer(known, NOW_MS)
    for now_ms in range(NOW_MS, NOW_MS + max_ms, PASS_INTERVAL_MS):
        result = plan([step], pool, planner, now_ms=now_ms, queues=ADVISED)
        if starts(result):
            return now_ms - NOW_MS
        for request in result.requests:
            answer([w for w in pool if w.id in request.workers], now_ms)
    return None


@pytest.mark.parametrize("workers", [4, 8, 24])
@pytest.mark.parametrize(
    "make_unavailable",
    [
        nothing,
        start_rest,
        fill_with_long_running,
        remove_from_list,
        add_unknown_run,
    ],
)
def test_a_gang_learns_of_others_if_an_allowed_worker_cannot_take_it(
    make_unavailable: Callable[[PoolWorker], None], workers: int
) -> None:
    # The gang has tickets for two workers; of the others, six in ten are allowed and
    # empty.
    pool = [worker(f"w{n}") for n in range(workers)]
    allowed = {w.id for w in pool if int(w.id[1:]) % 10 not in (2, 5, 8, 9)}
    make_unavailable(pool[0])
    after_ms = placed_after_ms(pool, pool[:2], allowed, 40_000)
    assert after_ms is not None
    assert after_ms <= 500


def test_a_worker_on_which_a_lasting_task_is_stopped_is_soon_free() -> None:
    pool = [worker(f"w{n}") for n in range(2)]
    step = step_of("lasting", "batch", cores=4, long_running=True)
    run = run_on(pool[0], step, state=RunState.STOPPING)
    planner = PoolPlanner()
    gang = step_of("gang", "advised", cores=16, count=2, gang=True)
    (request,) = plan([gang], pool, planner, queues=ADVISED).requests
    assert set(request.workers) == {"w0", "w1"}
    run.state = RunState.RUNNING
    (request,) = plan([gang], pool, PoolPlanner(), queues=ADVISED).requests
    assert set(request.workers) == {"w1"}
