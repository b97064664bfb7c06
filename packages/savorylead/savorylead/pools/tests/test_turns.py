"""Tests of which starved steps get a turn."""

from __future__ import annotations

import pytest

from savorylead.jobs import StepRun
from savorylead.pools import Advice, PoolPlanner
from savorylead.pools._turns import (
    MAX_CHECKS_PER_PASS,
    MAX_TURNS,
    MIN_TURN_MS,
    MIN_WAIT_MS,
    RECHECK_MS,
    TURN_MS,
    Turns,
)

from .pool_cases import (
    NOW_MS,
    QUEUES,
    plan,
    queue,
    run_on,
    starts,
    step_of,
    worker,
)


class _WaitingSteps:
    """Steps by name, since when each has waited, and which of them can't start."""

    def __init__(self, since_ms: dict[str, int], blocked: str = "") -> None:
        self.steps = {name: step_of(name, "normal") for name in since_ms}
        self.since_ms = since_ms
        self.blocked = blocked
        self.checks = 0
        self.turns = Turns()
        self.begun: list[tuple[StepRun, int]] = []

    def with_turn(self, now_ms: int) -> str:
        chosen, self.begun = self.turns.choose(
            [step for name, step in self.steps.items() if name in self.since_ms],
            lambda step: self.since_ms[step.job.id],
            self._may_start,
            now_ms,
        )
        return "".join(sorted(step.job.id for step in chosen))

    def _may_start(self, step: StepRun) -> bool:
        self.checks += 1
        return step.job.id not in self.blocked


@pytest.mark.parametrize(
    "since_ms, surplus, blocked, expected",
    [
        ({"a": 0}, "", "", "a"),
        ({"a": 1}, "", "", ""),
        # The two steps that have waited longest.
        ({"a": 0, "b": -2, "c": -1}, "", "", "bc"),
        # Work beyond a team's weight goes after other work.
        ({"a": 0, "b": -2, "c": -1}, "b", "", "ac"),
        # A step that can't start gets no turn.
        ({"a": 0, "b": -2, "c": -1}, "", "b", "ac"),
    ],
)
def test_steps_that_have_a_turn(
    since_ms: dict[str, int], surplus: str, blocked: str, expected: str
) -> None:
    waiting = _WaitingSteps({n: NOW_MS + ms for n, ms in since_ms.items()}, blocked)
    for name in surplus:
        waiting.steps[name].job.surplus = True
    assert waiting.with_turn(NOW_MS + MIN_WAIT_MS) == expected


def test_a_turn_that_brought_no_start_passes_on() -> None:
    waiting = _WaitingSteps({"a": NOW_MS, "b": NOW_MS + 1, "c": NOW_MS + 2})
    now_ms = NOW_MS + MIN_WAIT_MS + 2
    assert waiting.with_turn(now_ms) == "ab"
    assert [waited_ms for _, waited_ms in waiting.begun] == [
        MIN_WAIT_MS + 2,
        MIN_WAIT_MS + 1,
    ]
    assert waiting.with_turn(now_ms + TURN_MS - 1) == "ab"
    assert waiting.begun == []
    assert waiting.with_turn(now_ms + TURN_MS) == "c"
    del waiting.since_ms["c"]
    assert waiting.with_turn(now_ms + TURN_MS + 1) == ""
    assert waiting.with_turn(now_ms + TURN_MS + MIN_WAIT_MS) == "ab"


def test_a_step_that_cannot_start_is_judged_again_after_a_while() -> None:
    waiting = _WaitingSteps({"a": NOW_MS}, blocked="a")
    for elapsed_ms in range(0, 2 * MIN_WAIT_MS + 1, 50):
        assert waiting.with_turn(NOW_MS + elapsed_ms) == ""
    assert waiting.checks == 1 + MIN_WAIT_MS // RECHECK_MS


def test_a_pass_judges_few_steps() -> None:
    # A check iterates over all workers; thousands in one pass stalled the lead.
    names = {f"s{n}": NOW_MS for n in range(200)}
    waiting = _WaitingSteps(names, blocked="".join(names))
    assert waiting.with_turn(NOW_MS + MIN_WAIT_MS) == ""
    assert waiting.checks == MAX_CHECKS_PER_PASS


@pytest.mark.parametrize("surplus", [False, True])
def test_a_gang_with_a_turn_keeps_workers(surplus: bool) -> None:
    # Without a turn, work beyond a team's weight reserves no workers, and too few are
    # free at the same time.
    pool = [worker("w0"), worker("w1")]
    run_on(pool[1], step_of("holder", "normal", cores=16, estimate_ms=6_000))
    long_ago_ms = NOW_MS - 600_000
    gang = step_of(
        "gang", "normal", cores=16, count=2, gang=True, accepted_at_ms=long_ago_ms
    )
    gang.job.surplus = surplus
    planner = PoolPlanner()
    plan([gang], pool, planner)
    later_ms = NOW_MS + MIN_WAIT_MS
    small = step_of("small", "batch", cores=16, estimate_ms=60_000)
    result = plan([gang, small], pool, planner, now_ms=later_ms)
    assert result.turns == [(gang, MIN_WAIT_MS)]
    assert starts(result) == []


@pytest.mark.parametrize("blocked", [2, 6, 8])
def test_steps_that_never_start_leave_turns_to_a_newer_one(blocked: int) -> None:
    # Two of six steps that can't start had a turn at any time; a newer step got none.
    waiting = _WaitingSteps(
        {f"s{n}": NOW_MS for n in range(blocked)} | {"x": NOW_MS + 1}
    )
    turns = [
        elapsed_ms
        for elapsed_ms in range(0, 40_000, 50)
        if "x" in waiting.with_turn(NOW_MS + elapsed_ms)
    ]
    rounds = -(-blocked // MAX_TURNS)
    assert turns[0] <= MIN_WAIT_MS + rounds * TURN_MS + 100


def test_turns_under_overload_are_few() -> None:
    # Each late step started in the first pass of its turn, so late work took two starts
    # of every pass from work that was in time.
    names = {f"s{n}": NOW_MS for n in range(200)}
    waiting = _WaitingSteps(dict(names))
    begun = 0
    for elapsed_ms in range(MIN_WAIT_MS, MIN_WAIT_MS + 10_000, 5):
        waiting.with_turn(NOW_MS + elapsed_ms)
        for step, _ in waiting.begun:
            begun += 1
            del waiting.since_ms[step.job.id]
    assert begun == MAX_TURNS * 10_000 // MIN_TURN_MS


@pytest.mark.parametrize("allowed, has_turn", [(4, True), (3, False)])
def test_a_gang_that_too_few_workers_may_run_gets_no_turn(
    allowed: int, has_turn: bool
) -> None:
    # Turns of gangs that could never start kept half of a pool reserved and empty.
    pool = [worker(f"w{n}") for n in range(8)]
    queues = QUEUES | {"q": queue("q", 1, advised=True)}
    gang = step_of("gang", "q", cores=16, count=4, gang=True)
    planner = PoolPlanner()
    tickets = Advice({w.id: "t" for w in pool[:allowed]}, 2_000)
    planner.book.record_answer(gang, "q", pool, tickets, NOW_MS - 10_000)
    plan([gang], pool, planner, queues=queues)
    result = plan([gang], pool, planner, now_ms=NOW_MS + MIN_WAIT_MS, queues=queues)
    assert bool(result.turns) == has_turn


def test_a_late_step_takes_room_before_work_in_time_once_it_waited_long() -> None:
    # Small tasks that were in time took each core as it was freed.
    pool = [worker("w0", cores=2)]
    late = step_of("late", "normal", cores=2, accepted_at_ms=NOW_MS - 600_000)
    small = step_of("small", "normal", cores=1)
    planner = PoolPlanner()
    assert starts(plan([small, late], pool, planner)) == [("small", "w0")]
    later_ms = NOW_MS + MIN_WAIT_MS
    fresh = step_of("fresh", "normal", cores=1, accepted_at_ms=later_ms)
    result = plan([fresh, late], pool, planner, now_ms=later_ms)
    assert starts(result) == [("late", "w0")]
    assert result.turns == [(late, MIN_WAIT_MS)]
