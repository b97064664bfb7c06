"""Cells in which runs fail through their own fault, or that of their workers."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead.jobs import JobState, TaskName
from savorylead.pools import RunEnd
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell, states

#: Time in which sound jobs of a few tasks are done beside empty workers, in seconds.
DONE_WITHIN_S = 6.0


def set_ends(cell: PoolCell, fails: Callable[[str, TaskName], bool]) -> None:
    """Make runs fail 0.3 s after their start where ``fails(worker, task)``."""

    def how_ends(task: TaskName, number: int) -> RunEnd:
        key = (str(task), number)
        machines = cell.workers.machines.values()
        where = next(each.entry.id for each in machines if key in each.active)
        return RunEnd.FAILED if fails(where, task) else RunEnd.DONE

    cell.workers.how_ends = how_ends
    cell.workers.duration_of = lambda _: timedelta(milliseconds=300)


@pytest.mark.parametrize("workers", [1, 2, 4])
@pytest.mark.parametrize(
    "hopeless, count",
    [
        # One wide job, many narrow ones, and some of either.
        (1, 36),
        (24, 1),
        (6, 6),
    ],
)
def test_hopeless_jobs_do_not_keep_sound_ones_from_empty_workers(
    workers: int, hopeless: int, count: int
) -> None:
    # Guards against the incident of review/8 (LOST): one hopeless job of 36 tasks
    # quarantined all workers of its service for 30 s.
    cell = ready_cell(workers=workers, cores=16)
    set_ends(cell, lambda _, task: task.job.startswith("hopeless"))
    for number in range(hopeless):
        cell.submit(f"hopeless{number}", job_spec(count, cores=1.5))
    cell.run(0.5)
    sound = [f"sound{number}" for number in range(9)]
    for job in sound:
        cell.submit(job, job_spec(cores=1.5))
        cell.run(0.1)
    cell.run(DONE_WITHIN_S)
    assert set(states(cell, sound).values()) == {JobState.COMPLETED}


@pytest.mark.parametrize("workers, bad", [(2, 1), (3, 1), (4, 1), (6, 2), (9, 3)])
@pytest.mark.parametrize("count", [1, 4, 12])
def test_jobs_with_few_attempts_survive_workers_that_fail_every_run(
    workers: int, bad: int, count: int
) -> None:
    # What quarantines are for: each task has two attempts.
    cell = ready_cell(workers=workers, cores=16)
    failing = {f"w{number}" for number in range(bad)}
    set_ends(cell, lambda worker, _: worker in failing)
    jobs = [f"job{number}" for number in range(60 // count)]
    for job in jobs:
        cell.submit(job, job_spec(count))
        cell.run(0.4)
    cell.run(DONE_WITHIN_S)
    lost = [job for job, state in states(cell, jobs).items() if state != "completed"]
    # Three failures quarantine a worker; a lost job adds one to two bad workers.
    assert len(lost) <= (3 * bad // 2 if bad > 1 else 0)
    starts = [record.worker for record in cell.workers.records]
    on_failing = sum(worker in failing for worker in starts)
    # A wide step may find the worker once, and a probe follows each quarantine.
    assert on_failing <= bad * (max(count, 3) + 6)
