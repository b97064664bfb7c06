"""Tests that late gangs start although other work precedes them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import pytest

from savorylead.jobs import StepRun
from savorylead.pools import Advice, AdviceCost, AdviceSlots, PoolPlanner, PoolWorker

from .pool_cases import NOW_MS, plan, queue, starts, step_of, worker

#: Cost of an advice request for wide gangs, as on a site of 176 workers.
COST = AdviceCost(350.0, 5.0, 2_000)
QUEUES = {
    "q": queue("q", 1)._replace(advice=COST),
    "slow": queue("slow", 2, stretch=40.0)._replace(advice=COST),
}
#: Time between two planner passes, in milliseconds.
PASS_INTERVAL_MS = 50
#: Longest permitted time without progress of a job that could run, in milliseconds.
MAX_IDLE_MS = 3_000
#: Longest permitted wait of a late gang while work that is in time takes every request,
#: in milliseconds: the wait until it may get a turn, and the two turns before its own.
MAX_LATE_WAIT_MS = 12_000


class _Adviser:
    """Answers each request after its expected duration, allowing the given workers."""

    def __init__(
        self,
        planner: PoolPlanner,
        pool: list[PoolWorker],
        allows: Callable[[StepRun, PoolWorker], bool],
        at_once: int = 1 << 30,
    ) -> None:
        self._planner = planner
        self._pool = pool
        self._allows = allows
        self._at_once = at_once
        self._calls: deque[tuple[float, object]] = deque()

    def slots(self) -> AdviceSlots:
        return AdviceSlots(1 << 30, self._at_once - len(self._calls))

    def call(self, request: object, now_ms: int) -> None:
        self._planner.book.note_requested(request.step)
        self._calls.append((now_ms + request.expected_ms, request))

    def answer(self, now_ms: int) -> None:
        for call in [c for c in self._calls if c[0] <= now_ms]:
            self._calls.remove(call)
            step = call[1].step
            named_workers = [w for w in self._pool if w.id in call[1].workers]
            tickets = {w.id: "t" for w in named_workers if self._allows(step, w)}
            advice = Advice(tickets, COST.valid_ms)
            self._planner.book.record_answer(step, "q", named_workers, advice, now_ms)


@pytest.mark.parametrize("count, cores", [(2, 4), (2, 16), (15, 4.5), (17, 6.3)])
def test_a_gang_is_not_asked_about_for_workers_that_others_keep(
    count: int, cores: float
) -> None:
    # Tickets were repeatedly requested for workers reserved by a gang that precedes
    # this one, although other allowed workers were empty.
    pool = [worker(f"w{n:03}") for n in range(60)]
    planner = PoolPlanner()
    planner.set_queues(QUEUES.values())
    ahead = step_of("ahead", "q", cores=16, count=20, gang=True)
    planner.book.note_requested(ahead)
    long_ago_ms = NOW_MS - 60_000
    gang = step_of(
        "gang", "q", cores=cores, count=count, gang=True, accepted_at_ms=long_ago_ms
    )
    known = Advice({w.id: "t" for w in pool[:40]}, COST.valid_ms)
    planner.book.record_answer(gang, "q", pool[:40], known, NOW_MS - 5_000)
    adviser = _Adviser(planner, pool, lambda step, each: step is gang)
    for now_ms in range(NOW_MS, NOW_MS + MAX_IDLE_MS, PASS_INTERVAL_MS):
        adviser.answer(now_ms)
        result = plan([ahead, gang], pool, planner, now_ms=now_ms, queues=QUEUES)
        if starts(result):
            return
        for request in result.requests:
            adviser.call(request, now_ms)
    pytest.fail("the gang was not started")


def late_start_ms(
    queue_name: str, accepted_at_ms: int, at_once: int, count: int, gang: bool
) -> int | None:
    """Return when a late step starts, None if not within MAX_LATE_WAIT_MS.

    Work that is in time takes every advice request; capacity is always free.
    """
    pool = [worker(f"w{n:03}") for n in range(60)]
    planner = PoolPlanner()
    planner.set_queues(QUEUES.values())
    late = step_of(
        "late", queue_name, count=count, gang=gang, accepted_at_ms=accepted_at_ms
    )
    adviser = _Adviser(
        planner, pool, lambda step, each: int(each.id[1:]) % 3 == 0, at_once
    )
    in_time: list[StepRun] = []
    for now_ms in range(NOW_MS, NOW_MS + MAX_LATE_WAIT_MS, PASS_INTERVAL_MS):
        adviser.answer(now_ms)
        in_time = [step for step in in_time if step.waiting()]
        while len(in_time) < 8:
            in_time.append(
                step_of(f"s{now_ms}-{len(in_time)}", "q", accepted_at_ms=now_ms)
            )
        result = plan(
            [*in_time, late],
            pool,
            planner,
            now_ms=now_ms,
            queues=QUEUES,
            advice_slots=adviser.slots(),
        )
        if "late" in {job for job, _ in starts(result)}:
            return now_ms - NOW_MS
        for placement in result.placements:
            # Tasks end at once, so that capacity is always free.
            placement.task.step.mark_done(placement.task.index)
        for request in result.requests:
            adviser.call(request, now_ms)
    return None


#: Steps ordered after work that is in time: late ones, and ones with a long objective.
LATE_STEPS = [
    (queue_name, accepted_at_ms, at_once, count, gang)
    for queue_name, accepted_at_ms in [("q", NOW_MS - 600_000), ("slow", NOW_MS)]
    for at_once in (1, 4)
    for count in (1, 2, 3, 15, 17, 40)
    for gang in (True, False)
]


@pytest.mark.parametrize("queue_name, accepted_at_ms, at_once, count, gang", LATE_STEPS)
def test_a_late_step_gets_calls_beside_work_in_time(
    queue_name: str, accepted_at_ms: int, at_once: int, count: int, gang: bool
) -> None:
    # Work that was in time took every advice request, so none was made for a step that
    # was late or had a longer objective, although capacity was free.
    found = late_start_ms(queue_name, accepted_at_ms, at_once, count, gang)
    assert found is not None


@pytest.mark.parametrize("queue_name, accepted_at_ms, at_once, count, gang", LATE_STEPS)
def test_a_late_step_beside_free_room_goes_on_soon(
    queue_name: str, accepted_at_ms: int, at_once: int, count: int, gang: bool
) -> None:
    found = late_start_ms(queue_name, accepted_at_ms, at_once, count, gang)
    assert found is not None
    assert found <= MAX_IDLE_MS
