"""Ends of tasks are detected soon while answers of workers are lost."""

from __future__ import annotations

import random
from datetime import datetime, timedelta

import pytest

from savorylead.pools import RunEnd
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell

JOBS = 120
#: Every twentieth call gets no answer, as when a worker executes orders late.
LOSS_RATE = 0.05


def lags_of_ends(cell: PoolCell) -> list[float]:
    """Return the sorted delays, in seconds, until the lead knows of each task's end."""
    ended_at: dict[str, datetime] = {}
    known_at: dict[str, datetime] = {}

    def note_end(task, number):
        ended_at[task.job] = cell.clock.now()
        return RunEnd.DONE

    cell.workers.how_ends = note_end
    cell.workers.duration_of = lambda _: timedelta(seconds=0.9)
    jobs = cell.nodes[cell.lead_of()].leads["pool"]._state.jobs.jobs
    for number in range(JOBS * 20 + 800):
        if number % 20 == 0 and number < JOBS * 20:
            cell.submit(f"j{number}", job_spec())
        cell.run(0.005)
        for name in ended_at.keys() - known_at.keys():
            if jobs[name].final is not None:
                known_at[name] = cell.clock.now()
    assert len(known_at) == JOBS
    return sorted((known_at[n] - ended_at[n]).total_seconds() for n in known_at)


@pytest.mark.parametrize(
    ("lost", "mean_s", "worst_s"),
    [
        # Regression: when answers of 24 workers were lost, the lead missed a worker's
        # ends for up to 1.9 s each time and did not use the worker meanwhile. Urgent
        # work has 250 ms of slack. The worst case is a poll that began before any loss
        # was known and whose retry is lost too: a wait of 1 s, then 150 ms and 300 ms
        # until the two are overdue.
        (LOSS_RATE, 0.1, 1.46),
        (0.0, 0.02, 0.05),
    ],
)
def test_ends_are_seen_soon_though_answers_are_lost(
    lost: float, mean_s: float, worst_s: float
) -> None:
    cell = ready_cell(workers=24)
    rng = random.Random(7)
    cell.workers.loses_hold = lambda: rng.random() < lost
    lags = lags_of_ends(cell)
    assert sum(lags) / len(lags) <= mean_s
    assert lags[-1] <= worst_s
    assert cell.workers.breaches == []


def test_shorter_waits_do_not_cost_a_large_pool_more() -> None:
    # A lead of many workers has no CPU time to poll each of them four times a second.
    cell = ready_cell(workers=200)
    rng = random.Random(7)
    calls = [0]

    def lose() -> bool:
        calls[0] += 1
        return rng.random() < LOSS_RATE

    cell.workers.loses_hold = lose
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    for number in range(50):
        cell.submit(f"j{number}", job_spec(count=4, cores=5.0))
    cell.run(2.0)
    calls[0] = 0
    cell.run(5.0)
    busy = len({r.worker for r in cell.workers.records})
    assert busy > 100
    assert calls[0] <= busy * 5 * 1.5
