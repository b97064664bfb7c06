"""Routes move and services end while faults befall the cell and requests repeat."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from savorylead.jobs import JobState
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell, in_turn, job_spec

from .route_cases import FORMER, LATTER, move_route, two_pools
from .test_cell_faults import FAULTS, Fault

Kind = CallerAnswer.Kind
JOBS = 12
#: Faults in one series, and repeats of each job's request.
SERIES, REPEATS = 3, 2


def former_stays(cell: PoolCell) -> None:
    move_route(cell)


def former_leaves(cell: PoolCell) -> None:
    move_route(cell, pools=(LATTER,))


def there_and_back(cell: PoolCell) -> None:
    move_route(cell, pools=(LATTER,))
    cell.run(1.5)
    move_route(cell, FORMER)


CHANGES = (former_stays, former_leaves, there_and_back)


def submit_somewhere(cell: PoolCell, job: str, rng: random.Random) -> None:
    """Submit a job, or submit it again, at any living node."""
    if cell.nodes:
        cell.submit(job, in_turn(2, count=2), rng.choice(sorted(cell.nodes)))


def assert_each_job_ran_once(cell: PoolCell, accepted: set[str]) -> None:
    assert cell.workers.breaches == []
    via = next(iter(cell.nodes))
    shown = {job: cell.state(job, via) for job in sorted(accepted)}
    assert shown == dict.fromkeys(shown, JobState.COMPLETED)


def accepted(cell: PoolCell, jobs: list[str]) -> set[str]:
    answers = {job: cell.answer(job) for job in jobs}
    return {j for j, a in answers.items() if a is not None and a.kind is Kind.DONE}


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
def test_repeated_jobs_run_once_although_their_route_moves(
    change: Callable[[PoolCell], None], fault: Fault
) -> None:
    # Guards against a job that is run twice, or lost, since its route names another
    # pool when its request is repeated, its lead changes, or its state is asked for.
    cell = two_pools()
    cell.workers.waits_for = lambda task: (
        f"{task.job}.0.{task.step - 1}.{index}" for index in range(2) if task.step
    )
    rng = random.Random(1)
    jobs = [f"job{number}" for number in range(JOBS)]
    for job in jobs:
        submit_somewhere(cell, job, rng)
        cell.run(0.05)
    known = accepted(cell, jobs)
    change(cell)
    fault(cell)
    for job in jobs:
        submit_somewhere(cell, job, rng)
        cell.run(0.05)
    cell.run(25.0)
    assert_each_job_ran_once(cell, known | accepted(cell, jobs))


@pytest.mark.parametrize("seed", range(24))
def test_series_of_faults_and_changes(seed: int) -> None:
    # The same with faults in series, while changes and repeats go on.
    cell = two_pools(seed=seed, nodes=4)
    cell.workers.waits_for = lambda task: (
        f"{task.job}.0.{task.step - 1}.{index}" for index in range(2) if task.step
    )
    rng = random.Random(seed)
    jobs: list[str] = []
    known: set[str] = set()
    for fault in rng.sample(FAULTS, SERIES):
        for _ in range(JOBS // SERIES):
            jobs.append(f"job{len(jobs)}")
            for _ in range(1 + REPEATS):
                submit_somewhere(cell, rng.choice(jobs), rng)
                submit_somewhere(cell, jobs[-1], rng)
                cell.run(rng.uniform(0.01, 0.4))
            known |= accepted(cell, jobs)
        rng.choice(CHANGES)(cell)
        cell.run(rng.uniform(0.0, 2.5))
        fault(cell)
        for name in ("node-0", "node-1", "node-2", "node-3"):
            if name not in cell.nodes:
                cell.start_node(name)
    cell.run(25.0)
    cell.submit("last", job_spec())
    cell.run(5.0)
    assert_each_job_ran_once(cell, known | accepted(cell, [*jobs, "last"]))
