"""Which tasks are given up after a crash, by what ran on the worker and when."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import pytest

from savorylead.jobs import Job, JobRecord, JobSpec, Run, StepSpec, Task, TaskCrash
from savorylead.pools import (
    PoolWorker,
    WorkerCrash,
    WorkerEntry,
    has_common_cause,
    isolate,
    record_crash,
)
from savorylead.pools._crash_blame import (
    CRASH_MEMORY_MS,
    MAX_CRASHES,
    MAX_SUSPECT_MS,
)
from savorylead.resources import Resources

#: When each tested crash happens, in Unix milliseconds.
CRASH_AT_MS = 10_000_000


def task_of(job: str, earlier_crashes: int = 0, age_ms: int = 10) -> Task:
    """Return the only task of a job, with crashes some seconds ago."""
    spec = JobSpec("", (StepSpec(1, Resources(1_000)),))
    record = JobRecord(job, "pool", "queue", "team", 0, spec)
    owner = Job(record, 1)
    owner.open_due(0)
    task = owner.occurrences[0][0].tasks[0]
    task.crashes = tuple(
        TaskCrash(f"earlier{number}", CRASH_AT_MS - 5_000, age_ms, True, True)
        for number in range(earlier_crashes)
    )
    return task


def worker(name: str, rack: str = "r", zone: str = "z") -> PoolWorker:
    entry = WorkerEntry(
        name, "pool", name, zone, Resources(8_000, 8_000), (), rack, True, 1
    )
    return PoolWorker(entry)


def run_of(task: Task, age_ms: int) -> Run:
    """Return a run that is this old when its worker crashes."""
    sent_at_ms = CRASH_AT_MS - age_ms
    run = task.run = Run(task, 1, "w", sent_at_ms)
    run.confirmed_at_ms = sent_at_ms + 1
    if task.is_suspect:
        isolate(run, worker("w"), sent_at_ms)
    return run


def crash(*runs: Run, answered_ms: int = 0, **changes: bool) -> list[str]:
    """Let the worker of the runs crash; return the jobs that are to be given up."""
    crashed = WorkerCrash(
        "w", CRASH_AT_MS - answered_ms, CRASH_AT_MS, runs, True, False
    )._replace(**changes)
    return [task.step.job.id for task in record_crash(crashed)]


class Row(NamedTuple):
    """A crash: each run's job, earlier crashes under it, their age and its own."""

    runs: tuple[tuple[str, int, int, int], ...]
    given_up: list[str]
    has_common_cause: bool = False
    #: How long before the crash the worker last answered, in milliseconds.
    answered_ms: int = 5


@pytest.mark.parametrize(
    "row",
    [
        pytest.param(Row((("a", 0, 0, 10),), []), id="first crash"),
        pytest.param(Row((("a", 1, 10, 12),), ["a"]), id="alone, second crash"),
        pytest.param(
            Row((("a", 1, 10, 12), ("b", 0, 0, 900)), ["a"]), id="beside an older run"
        ),
        pytest.param(
            Row((("a", 1, 10, 400), ("b", 0, 0, 12)), []), id="beside a younger run"
        ),
        pytest.param(
            Row((("a", 1, 10, 12), ("b", 1, 900, 900)), []), id="two prime suspects"
        ),
        pytest.param(
            Row((("a", 1, 10, 12), ("b", 1, 10, 5_000)), ["a"]),
            id="beside a suspect that was cleared",
        ),
        pytest.param(
            Row((("a", 1, 10, 5_000),), []), id="long after the age at the first crash"
        ),
        pytest.param(
            Row((("a", 1, 3_000, 3_100),), ["a"]), id="at the same age, seconds old"
        ),
        pytest.param(
            Row((("a", 1, 10, 12),), [], has_common_cause=True), id="for a common cause"
        ),
        pytest.param(
            Row((("a", 1, 10, 110), ("b", 0, 0, 400)), [], answered_ms=390),
            id="ordered after the worker's last answer",
        ),
        pytest.param(
            Row((("a", MAX_CRASHES - 1, 10, 9_000), ("b", 0, 0, 5)), ["a"]),
            id="too many crashes",
        ),
    ],
)
def test_a_task_is_given_up_if_it_alone_can_have_crashed_the_worker(row: Row) -> None:
    runs = [
        run_of(task_of(job, crashes, earlier_age_ms), age_ms)
        for job, crashes, earlier_age_ms, age_ms in row.runs
    ]
    given_up = crash(
        *runs, has_common_cause=row.has_common_cause, answered_ms=row.answered_ms
    )
    assert given_up == row.given_up
    for run, (_, earlier, _, age_ms) in zip(runs, row.runs, strict=True):
        assert len(run.task.crashes) == earlier + 1
        assert run.task.crashes[-1].age_ms == age_ms


def leave_unconfirmed(run: Run) -> None:
    run.confirmed_at_ms = 0


def let_lapse(run: Run) -> None:
    run.task.run = None


def forget_confirmation(run: Run) -> None:
    [earlier] = run.task.crashes
    run.task.crashes = (earlier._replace(is_confirmed=False),)


@pytest.mark.parametrize(
    ("change", "is_certain"),
    [
        (leave_unconfirmed, True),
        (let_lapse, True),
        (forget_confirmation, True),
        (lambda run: None, False),
    ],
)
def test_a_job_does_not_fail_for_a_start_that_may_not_have_been(
    change: Callable[[Run], None], is_certain: bool
) -> None:
    # Regression: an order reached a worker that had just crashed. With one more crash
    # the task was given up, although only one worker had crashed under it.
    run = run_of(task_of("a", 1), 12)
    change(run)
    assert crash(run, is_certain=is_certain, answered_ms=5) == []
    assert len(run.task.crashes) == 2


def test_a_run_of_months_is_no_suspect_of_a_second_crash() -> None:
    month_ms = 30 * 24 * 3_600_000
    task = task_of("service", 1, age_ms=month_ms)
    run = run_of(task, MAX_SUSPECT_MS + 1)
    assert crash(run) == []


def test_crashes_of_long_ago_are_forgotten() -> None:
    task = task_of("service")
    long_ago_ms = CRASH_AT_MS - CRASH_MEMORY_MS - 1
    long_ago = TaskCrash("w", long_ago_ms, 10, True, True)
    task.crashes = (long_ago,) * (MAX_CRASHES - 1)
    assert crash(run_of(task, 60_000)) == []
    assert len(task.crashes) == 1


@pytest.mark.parametrize(
    ("silent", "listed", "is_common"),
    [
        # Names start with the rack; the first worker is the one in question.
        (("a1", "a2", "a3"), ("a1", "a2", "a3", "a4", "b1", "b2", "b3"), True),
        (("a1", "a2"), ("a1", "a2", "a3", "a4", "b1", "b2", "b3"), False),
        (("a1",), ("a1", "b1", "b2"), False),
        (("a1", "b1", "b2"), ("a1", "a2", "b1", "b2", "b3"), True),
        # Workers whose names end with "!" run a suspect that may have crashed them.
        (("a1", "a2!", "a3!"), ("a1", "a2!", "a3!", "a4", "b1", "b2", "b3"), False),
        (("a1", "a2!", "a3!"), ("a1", "a2!", "a3!", "b1", "b2", "b3", "b4"), True),
    ],
)
def test_a_rack_or_domain_that_falls_silent_has_a_common_cause(
    silent: tuple[str, ...], listed: tuple[str, ...], is_common: bool
) -> None:
    workers = {name: worker(name, rack=name[0]) for name in listed}
    for name in silent:
        workers[name].note_silent(CRASH_AT_MS)
        if name.endswith("!"):
            suspect = task_of("suspect", earlier_crashes=1)
            isolate(Run(suspect, 2, name, 0), workers[name], CRASH_AT_MS - 10)
    first = workers[silent[0]]
    assert has_common_cause(first, CRASH_AT_MS, workers.values()) is is_common
