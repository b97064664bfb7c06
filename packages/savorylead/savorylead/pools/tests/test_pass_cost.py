"""Tests that the cost of a planner pass does not grow with steps times runs."""

from __future__ import annotations

import pytest

from savorylead.pools import PoolPlanner

from .fixed_durations import LEARNS, FixedDurations
from .pool_cases import plan, run_on, step_of, worker

WORKERS = 24
RUNS_PER_WORKER = 10


class CountingPlanner(PoolPlanner):
    """Counts the estimates of task lengths."""

    def __init__(self) -> None:
        super().__init__()
        self.estimates = 0
        estimate_ms = self.durations.estimate_ms

        def count(queue: str, spec: object) -> float:
            self.estimates += 1
            return estimate_ms(queue, spec)

        self.durations.estimate_ms = count


@pytest.mark.parametrize("waiting", [10, 100, 300])
def test_runs_are_looked_at_once_however_many_steps_wait(waiting: int) -> None:
    # A team submits urgent jobs at several times its rate while batch work fills every
    # worker. With 250 waiting steps a pass took 50 to 100 ms, and each step waits for
    # two passes.
    workers = [worker(f"w{n}", cores=RUNS_PER_WORKER) for n in range(WORKERS)]
    for n, each in enumerate(workers):
        batch = step_of(f"b{n}", "batch", count=RUNS_PER_WORKER, checkpoints=True)
        for index in range(RUNS_PER_WORKER):
            run_on(each, batch, index)
    steps = [step_of(f"u{n}", "urgent", cores=2) for n in range(waiting)]
    planner = CountingPlanner()
    result = plan(steps, workers, planner)
    assert result.preempted
    # Up to three estimates for each waiting or running step: the whole chain, the
    # remaining chain, and the length for the choice of workers. Here all running tasks
    # of a worker belong to one step.
    assert planner.estimates <= 3 * (waiting + WORKERS * RUNS_PER_WORKER)


def test_a_run_is_stopped_for_one_step_only() -> None:
    one = worker("w", cores=12)
    batch = step_of("b", "batch", cores=3, count=4, checkpoints=True)
    for index in range(4):
        run_on(one, batch, index)
    steps = [step_of(f"u{n}", "urgent", cores=3) for n in range(2)]
    result = plan(steps, [one])
    assert len({run.task.index for run in result.preempted}) == 2


class CountingDurations(FixedDurations):
    """Counts the factors that are asked for."""

    def __init__(self, factors: dict[str, float]) -> None:
        super().__init__(factors)
        self.asked = 0

    def factor(self, worker: str) -> float:
        self.asked += 1
        return super().factor(worker)


@pytest.mark.parametrize("waiting", [10, 100])
def test_speeds_are_asked_for_once_a_pass_however_many_steps_wait(waiting: int) -> None:
    # A pass ranks all workers for each waiting step, and a factor takes an exponential.
    workers = [worker(f"w{n}", cores=4) for n in range(WORKERS)]
    durations = CountingDurations({w.id: 0.5 for w in workers[::4]})
    names = ("urgent", "normal", "batch")
    steps = [step_of(f"j{n}", names[n % 3]) for n in range(waiting)]
    result = plan(steps, workers, PoolPlanner(LEARNS, durations))
    assert result.placements
    assert durations.asked == WORKERS
