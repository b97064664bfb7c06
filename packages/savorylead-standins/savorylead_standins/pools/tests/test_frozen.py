"""A lead whose process was frozen for seconds acts only under a valid lease."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead_standins.pools import job_spec

from .cell_cases import READY_S, states
from .frozen_cell import FrozenCell

#: Shorter than a store lease, between it and a worker lease, and longer than both.
FROZEN_S = [0.5, 1.5, 1.9, 2.1, 2.6, 3.5, 5.0, 9.0]


def working_cell(seed: int, **changes: object) -> tuple[FrozenCell, list[str]]:
    """Return a cell that has been running a steady stream of jobs."""
    cell = FrozenCell(seed=seed, workers=6, **changes)
    cell.workers.duration_of = lambda task: timedelta(
        milliseconds=300 + task.index * 90
    )
    cell.workers.gang_size_of = lambda task: 3 if task.job.startswith("gang") else 0
    cell.run(READY_S)
    jobs: list[str] = []
    submit_jobs(cell, jobs, 1.0 + 0.037 * seed)
    return cell, jobs


def submit_jobs(cell: FrozenCell, jobs: list[str], seconds: float) -> None:
    """Submit jobs for a time, every other one a gang."""
    lead = next((n for n, node in cell.nodes.items() if node.leads), "")
    via = next(n for n in cell.nodes if n != lead)
    for _ in range(int(seconds / 0.1)):
        is_gang = len(jobs) % 2 == 1
        job = f"{'gang' if is_gang else 'job'}-{len(jobs)}"
        cell.submit(job, job_spec(count=3, cores=2.0, gang=is_gang), via)
        jobs.append(job)
        cell.run(0.1)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("seconds", FROZEN_S)
@pytest.mark.parametrize("advised", [False, True])
def test_a_lead_that_was_frozen_acts_only_under_its_lease(
    advised: bool, seconds: float, seed: int
) -> None:
    cell, jobs = working_cell(seed, advised=advised)
    cell.freeze(cell.lead_of(), seconds)
    submit_jobs(cell, jobs, seconds + 2.0)
    cell.run(20.0)
    assert cell.unpermitted() == []
    assert cell.workers.breaches == []
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}
