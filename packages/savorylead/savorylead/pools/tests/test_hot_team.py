"""Tests of a team that submits many times its share while advice is scarce."""

from __future__ import annotations

import pytest

from savorylead.pools import AdviceSlots

from .pool_cases import QUEUES, plan, queue, run_on, starts, step_of, worker

ADVISED = {
    "urgent": queue("urgent", 0, advised=True, stretch=1.5, objective_ms=250),
    "batch": queue("batch", 2, advised=True, stretch=4.0),
}


def surplus_step(name: str, queue_name: str, **changes: object) -> object:
    step = step_of(name, queue_name, team="hot", **changes)
    step.job.surplus = True
    return step


@pytest.mark.parametrize(
    "slots, requested",
    [
        (AdviceSlots(0, 5), []),
        (AdviceSlots(1, 0), ["own"]),
        (AdviceSlots(2, 0), ["own", "batch"]),
        (AdviceSlots(3, 0), ["own", "batch", "surplus"]),
    ],
)
def test_calls_for_advice_go_to_the_most_urgent_steps(
    slots: AdviceSlots, requested: list[str]
) -> None:
    # Work beyond the team's weight was submitted first and took every advice request.
    steps = [
        surplus_step("surplus", "urgent"),
        step_of("batch", "batch"),
        step_of("own", "urgent"),
    ]
    workers = [worker(f"w{n}") for n in range(8)]
    result = plan(steps, workers, queues=ADVISED, advice_slots=slots)
    assert [request.step.job.id for request in result.requests] == requested


@pytest.mark.parametrize("is_surplus, stopped", [(False, 1), (True, 0)])
def test_work_beyond_a_teams_share_displaces_nobody(
    is_surplus: bool, stopped: int
) -> None:
    one = worker("w", cores=12)
    batch = step_of("b", "batch", cores=3, count=4, checkpoints=True)
    for index in range(4):
        run_on(one, batch, index)
    step = step_of("u", "urgent", cores=3, team="hot")
    step.job.surplus = is_surplus
    result = plan([step], [one])
    assert starts(result) == []
    assert len(result.preempted) == stopped


def test_work_beyond_a_teams_share_keeps_no_worker() -> None:
    one = worker("w", cores=8)
    run_on(one, step_of("running", "normal", cores=5))
    waits = surplus_step("waits", "normal", cores=8)
    small = step_of("small", "batch", cores=1, estimate_ms=60_000)
    result = plan([waits, small], [one], queues=QUEUES)
    assert starts(result) == [("small", "w")]
