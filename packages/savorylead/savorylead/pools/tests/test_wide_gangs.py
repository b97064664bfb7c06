"""Tests that a gang that needs many workers has all its tickets at the same time."""

from __future__ import annotations

from random import Random

import pytest

from savorylead.pools import Advice, AdviceCost, PoolPlanner

from .pool_cases import NOW_MS, plan, queue, starts, step_of, worker

QUEUES = {"q": queue("q", 1, advised=True)}
VALID_MS = 2_000


@pytest.mark.parametrize(
    "workers, count, cores, allowed_share, rounds",
    [
        # Two tasks a worker: needs at least eight of some fifty allowed workers.
        (176, 16, 6.35, 0.3, 4),
        (176, 35, 3.75, 0.3, 4),
        (24, 12, 4.5, 0.3, 6),
        (24, 2, 4.5, 0.3, 3),
    ],
)
@pytest.mark.parametrize("seed", range(5))
def test_a_wide_gang_starts_where_most_of_the_room_is_free(
    workers: int, count: int, cores: float, allowed_share: float, rounds: int, seed: int
) -> None:
    # Gangs of 16 and 35 tasks never started on an empty pool: the first request named
    # 24 workers, and later ones renewed the tickets of four.
    pool = [worker(f"w{n}") for n in range(workers)]
    allowed = {w.id for w in Random(seed).sample(pool, round(allowed_share * workers))}
    planner = PoolPlanner()
    step = step_of("gang", "q", cores=cores, count=count, gang=True)
    now_ms = NOW_MS
    for _ in range(rounds):
        result = plan([step], pool, planner, queues=QUEUES, now_ms=now_ms)
        if starts(result):
            break
        for request in result.requests:
            named_workers = [w for w in pool if w.id in request.workers]
            tickets = {w.id: "t" for w in named_workers if w.id in allowed}
            planner.book.note_requested(step)
            now_ms += int(request.expected_ms)
            advice = Advice(tickets, VALID_MS)
            planner.book.record_answer(step, "q", named_workers, advice, now_ms)
    else:
        result = plan([step], pool, planner, queues=QUEUES, now_ms=now_ms)
    assert len(starts(result)) == count


def test_all_tickets_that_a_gang_needs_are_renewed_together() -> None:
    planner = PoolPlanner()
    pool = [worker(f"w{n}") for n in range(8)]
    step = step_of("gang", "q", cores=8, count=12, gang=True)
    advice = Advice({w.id: "t" for w in pool}, VALID_MS)
    planner.book.record_answer(step, "q", pool, advice, NOW_MS - 5_000)
    (request,) = plan([step], pool, planner, queues=QUEUES).requests
    assert len(request.workers) >= 6


def test_a_small_gang_is_asked_for_as_many_workers_as_other_steps() -> None:
    # Each further worker named makes a short request only slightly longer. If only two
    # were named, the next request would be due as soon as one of them is occupied.
    pool = [worker(f"w{n}") for n in range(24)]
    named = []
    for gang in (False, True):
        step = step_of(f"j{gang}", "q", cores=1, count=2, gang=gang)
        (request,) = plan([step], pool, PoolPlanner(), queues=QUEUES).requests
        named.append(len(request.workers))
    assert named[1] >= named[0]


#: Cost on the large site: milliseconds a request, and milliseconds a worker named.
SLOW = {"q": queue("q", 1, advised=True)._replace(advice=AdviceCost(560.0, 5.0, 2_000))}
#: Rest of a worker, and longest permitted wait of a gang while capacity is free, in
#: milliseconds.
REST_MS = 30_000
MAX_IDLE_MS = 3_000


@pytest.mark.parametrize("cause", ["rests", "unknown_run", "unlisted"])
@pytest.mark.parametrize(
    "count, cores", [(2, 9), (3, 9), (8, 6.3), (15, 4.5), (17, 6.3), (40, 4.5)]
)
def test_a_gang_that_is_known_goes_where_work_may_be_started(
    count: int, cores: float, cause: str
) -> None:
    # Only the tickets of the first workers by name were renewed, including workers that
    # may not start tasks, and the gang waited for them although others were free.
    pool = [worker(f"w{n:03}") for n in range(80)]
    planner = PoolPlanner()
    step = step_of("gang", "q", cores=cores, count=count, gang=True)
    known = Advice({w.id: "t" for w in pool}, VALID_MS)
    planner.book.record_answer(step, "q", pool, known, NOW_MS - 5_000)
    for each in pool[:40]:
        if cause == "rests":
            each.quarantine(NOW_MS, REST_MS)
        elif cause == "unknown_run":
            each.unknown_runs = 1
        else:
            each.listed = False
    now_ms = NOW_MS
    while now_ms < NOW_MS + MAX_IDLE_MS:
        result = plan([step], pool, planner, queues=SLOW, now_ms=now_ms)
        if starts(result):
            break
        for request in result.requests:
            named_workers = [w for w in pool if w.id in request.workers]
            now_ms += int(request.expected_ms)
            tickets = Advice({w.id: "t" for w in named_workers}, VALID_MS)
            planner.book.record_answer(step, "q", named_workers, tickets, now_ms)
        now_ms += 50
    assert len(starts(result)) == count
