"""Services whose tasks fail now and then, and workers that fail every task of theirs.

A long-running task is never done, so a worker that runs only such tasks has to be
judged by how long they stay in service.
"""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

import pytest

from savorylead.jobs import TaskName
from savorylead.pools import RunEnd
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell

FULL, FIRST, SECOND = "full", "first", "second"
TASKS = 30
#: Longest time that a task of a service may be without a run beside free capacity.
LONGEST_WAIT_S = 9.0


class Failures(NamedTuple):
    """Which runs fail, and when the next service is submitted."""

    name: str
    #: Number of tasks of the first service whose first runs fail ...
    count: int
    #: ... and the age at which they do, in seconds.
    age_s: float
    #: Time from the failures to the second service, in seconds.
    second_after_s: float
    #: Workers; all but the last one are full of a service.
    workers: int = 2
    #: Number of times that these runs fail.
    repeats: int = 1
    #: Whether the failing job is not a service, but one with few attempts.
    is_timed: bool = False


CASES = [
    Failures("as in the review", 3, 3.0, 9.0),
    Failures("at once", 3, 0.2, 1.0),
    Failures("young", 3, 1.0, 3.0),
    Failures("old", 3, 6.0, 1.0),
    Failures("a tenth", 3, 3.0, 0.5),
    Failures("a third", 10, 3.0, 6.0),
    Failures("twice each", 3, 1.5, 9.0, repeats=2),
    Failures("several times each", 2, 1.0, 6.0, repeats=4),
    Failures("only worker", 3, 3.0, 9.0, workers=1),
    Failures("one of four", 3, 3.0, 9.0, workers=4),
    Failures("a hopeless job", 4, 0.5, 6.0, is_timed=True),
]


def fill_workers(cell: PoolCell, count: int) -> None:
    """Fill all workers but one with a service."""
    cell.submit(FULL, job_spec(count, cores=16.0, long_running=True))
    cell.run(1.0)
    assert len(cell.workers.records) == count


def set_failures(cell: PoolCell, case: Failures) -> None:
    ages: dict[str, int] = {}

    def duration_of(task: TaskName) -> timedelta:
        fails = task.job == FIRST and task.index < case.count
        if fails and ages.get(str(task), 0) < case.repeats:
            return timedelta(seconds=case.age_s)
        return timedelta(hours=1)

    def how_ends(task: TaskName, number: int) -> RunEnd:
        ages[str(task)] = ages.get(str(task), 0) + 1
        return RunEnd.FAILED

    cell.workers.duration_of = duration_of
    cell.workers.how_ends = how_ends
    cell.workers.is_long_running = lambda task: (
        not (case.is_timed and task.job == FIRST)
    )


def longest_wait_s(cell: PoolCell, job: str, submitted_s: float) -> float:
    """Return the longest time from a job's submission to the first run of a task."""
    first = {}
    for record in cell.workers.records:
        if record.task.job == job:
            first.setdefault(record.task.index, record.began_at)
    now = cell.clock.now()
    began = [first.get(index, now) for index in range(TASKS)]
    return max(at.timestamp() for at in began) - submitted_s


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_failures_of_some_tasks_keep_no_service_waiting(case: Failures) -> None:
    # Guards against the incident of review/13 (LOST): after three failed runs, the only
    # worker with room got one start a second, since nothing is ever done there.
    cell = ready_cell(workers=case.workers, cores=16)
    set_failures(cell, case)
    if case.workers > 1:
        fill_workers(cell, case.workers - 1)
    count = case.count if case.is_timed else TASKS
    cell.submit(FIRST, job_spec(count, cores=0.25, long_running=not case.is_timed))
    cell.run(case.age_s * case.repeats + case.second_after_s)
    submitted_s = cell.clock.now().timestamp()
    cell.submit(SECOND, job_spec(TASKS, cores=0.25, long_running=True))
    cell.run(40.0)
    assert longest_wait_s(cell, SECOND, submitted_s) <= LONGEST_WAIT_S


@pytest.mark.parametrize("age_s", [0.2, 1.0, 3.0])
@pytest.mark.parametrize("workers", [2, 4])
def test_a_worker_that_fails_every_task_of_services_is_left_alone(
    workers: int, age_s: float
) -> None:
    # What quarantines are for, where no run is ever done.
    cell = ready_cell(workers=workers, cores=64)
    bad = "w0"

    def duration_of(task: TaskName) -> timedelta:
        return timedelta(seconds=age_s)

    # Runs on the other workers stay in service: what they end with is never reached.
    cell.workers.duration_of = lambda _: timedelta(hours=1)
    cell.workers.is_long_running = lambda _: True
    cell.workers.how_ends = lambda *_: RunEnd.FAILED
    machine = cell.workers.machines[bad]
    begin_work = machine.begin_work

    def begin_and_fail(key: tuple[str, int]) -> None:
        cell.workers.duration_of = duration_of
        begin_work(key)
        cell.workers.duration_of = lambda _: timedelta(hours=1)

    machine.begin_work = begin_and_fail  # type: ignore[method-assign]
    jobs = 8
    for number in range(jobs):
        cell.submit(f"service{number}", job_spec(6, cores=0.5, long_running=True))
        cell.run(1.0)
    cell.run(30.0)
    starts = [record.worker for record in cell.workers.records]
    active = sum(len(m.active) for m in cell.workers.machines.values())
    assert active == 6 * jobs
    # What is sent there until the first failures are known, and a probe after each
    # quarantine of 2, 4, 8, 16 and 30 s.
    assert starts.count(bad) <= 6 * (1 + age_s) + 3 + 6
