"""Tests of the workers that an advice request for a gang of large tasks names."""

from __future__ import annotations

import pytest

from savorylead.pools import Advice, PoolPlanner, PoolWorker
from savorylead.pools._gang_advice import GangAdvice, GangCapacity

from .pool_cases import NOW_MS, plan, queue, run_on, starts, step_of, worker

VALID_MS = 2_000
CALL_MS = 560.0
QUEUES = {
    "q": queue("q", 1, advised=True),
    "batch": queue("batch", 2, advised=True, stretch=4.0),
}


def capacity(name: str, free_in_ms: float = 0.0, copies: int = 1) -> GangCapacity:
    return GangCapacity(worker(name), copies, copies, NOW_MS + free_in_ms)


def named(
    capacities: list[GangCapacity],
    allowed: str = "",
    ticketed: str = "",
    count: int = 2,
    share: float = 0.5,
) -> str:
    advice = GangAdvice(
        count=count,
        allowed=frozenset(allowed),
        has_ticket=lambda each: each.id in ticketed,
        allowed_share=share,
        min_named=2,
        request_ms=lambda _: CALL_MS,
    )
    return "".join(sorted(advice.workers_to_name(capacities, NOW_MS)))


FREE = [capacity(name) for name in "abcdefghijklmnop"]


@pytest.mark.parametrize(
    "capacities, allowed, ticketed, expected",
    [
        # Nothing is known: six allowed workers are needed, and half of all are allowed.
        (FREE, "", "", "abcdefghijkl"),
        # One valid ticket does not suffice; more workers are named besides it.
        (FREE[:4], "a", "a", "abcd"),
        # Enough allowed workers are free, and not all of their tickets are valid.
        (FREE[:6], "abcdef", "a", "abc"),
        # The tickets of a whole gang are valid: the planner places it.
        (FREE[:6], "abcdef", "ab", ""),
        # Too few of the allowed workers are free by the answer: no request yet.
        ([capacity("a"), *(capacity(n, 5_000) for n in "bcdefg")], "abcdefg", "", ""),
        # Capacity that is freed before the answer arrives counts.
        ([capacity("a"), capacity("b", 300), capacity("c", 5_000)], "abc", "", "ab"),
        # Workers without capacity are named too, the earliest free ones first.
        ([capacity("a"), capacity("b", 8_000), capacity("c", 2_000)], "a", "", "abc"),
        # Every worker is known and too few are allowed: a request is useless.
        ([capacity("a"), capacity("b", 9_000)], "ab", "", ""),
    ],
)
def test_workers_that_a_call_names(
    capacities: list[GangCapacity], allowed: str, ticketed: str, expected: str
) -> None:
    assert named(capacities, allowed, ticketed) == expected


def answer(
    planner: PoolPlanner,
    step: object,
    named_workers: list[PoolWorker],
    allowed: str,
    at_ms: int,
) -> None:
    tickets = {w.id: "t" for w in named_workers if w.id in allowed.split()}
    planner.book.record_answer(
        step, "q", named_workers, Advice(tickets, VALID_MS), at_ms
    )


def test_a_gang_with_one_valid_ticket_learns_of_more_workers() -> None:
    # Each request for a gang of two or three whole workers found one allowed worker.
    # While its ticket was valid, no request was made; afterwards only that one ticket
    # was renewed.
    pool = [worker(f"w{n}") for n in range(8)]
    step = step_of("gang", "q", cores=16, count=2, gang=True)
    planner = PoolPlanner()
    answer(planner, step, pool[:4], "w0", NOW_MS)
    (request,) = plan([step], pool, planner, queues=QUEUES).requests
    assert set(request.workers) > {"w4", "w5"}


def test_a_gang_learns_of_workers_that_others_hold() -> None:
    # Requests named only workers with free capacity, and other tasks took it in the
    # second before the answer arrived.
    pool = [worker(f"w{n}") for n in range(8)]
    for each in pool[2:]:
        run_on(each, step_of(each.id, "batch", cores=4))
    step = step_of("gang", "q", cores=16, count=2, gang=True)
    (request,) = plan([step], pool, queues=QUEUES).requests
    assert set(request.workers) == {w.id for w in pool}


@pytest.mark.parametrize(
    "length_ms, is_started",
    # The gang's second worker is free in about 4 s.
    [(1_000, True), (20_000, False)],
)
def test_room_kept_for_a_gang_is_used_until_its_last_worker_is_free(
    length_ms: int, is_started: bool
) -> None:
    pool = [worker("w0"), worker("w1"), worker("w2", cores=4), worker("w3", cores=4)]
    holder = step_of("holder", "normal", cores=8, estimate_ms=6_000)
    run = run_on(pool[1], holder, confirmed_at_ms=NOW_MS - 2_000)
    run.percent_at_ms = NOW_MS
    run.percent = 33
    gang = step_of("gang", "normal", cores=16, count=2, gang=True)
    small = step_of("small", "batch", cores=16, estimate_ms=length_ms)
    result = plan([gang, small], pool)
    assert starts(result) == ([("small", "w0")] if is_started else [])


@pytest.mark.parametrize(
    "others_free_in_ms, expected",
    [
        # Enough workers are known to be allowed, but others are free seconds earlier.
        (0, "ghij"),
        # Others are free later than the allowed ones.
        (6_000, ""),
    ],
)
def test_more_is_learned_where_others_have_room_much_sooner(
    others_free_in_ms: int, expected: str
) -> None:
    allowed = [capacity(name, 5_000) for name in "abcdef"]
    others = [capacity(name, others_free_in_ms) for name in "ghij"]
    assert named([*allowed, *others], "abcdef") == expected


def test_workers_whose_tickets_are_fetched_are_kept_first() -> None:
    # The workers reserved for a gang differed from those named in its pending request.
    pool = [worker(f"w{n}") for n in range(4)]
    gang = step_of("gang", "q", cores=16, count=2, gang=True)
    planner = PoolPlanner()
    answer(planner, gang, pool, "w0 w1 w2 w3", NOW_MS - 5_000)
    (request,) = plan([gang], pool, planner, queues=QUEUES).requests
    assert request.workers == ("w0", "w1", "w2")
    planner.book.note_requested(gang)
    for each in pool[:2]:
        other = step_of(f"other-{each.id}", "batch", cores=1)
        run_on(each, other, confirmed_at_ms=NOW_MS - 900)
    small = step_of("small", "normal", cores=1, count=60, estimate_ms=60_000)
    queues = QUEUES | {"normal": queue("normal", 2)}
    result = plan([gang, small], pool, planner, queues=queues)
    assert {name for _, name in starts(result)} == {"w1", "w3"}
