"""A task that crashes its workers is given up; the tasks beside it are not."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead.resources import Resources
from savorylead_standins.pools import PoolCell, job_spec
from savorylead_standins.pools._pool_cell import WORKERS_PREFIX

from .cell_cases import LoggedEvent
from .crash_cases import (
    CRASHES,
    CRASHING_JOB,
    CRASHING_TASK,
    GIVEN_UP_WITHIN_S,
    JOB_KINDS,
    MAX_STARTS_AFTER,
    JobKind,
    cell_with_crashes,
    starts_of,
    state_of,
    submit_innocent_jobs,
)


@pytest.mark.parametrize("kind", JOB_KINDS, ids=lambda kind: kind.name)
@pytest.mark.parametrize("returns_as_new", [True, False])
@pytest.mark.parametrize("after_ms", [10, 700])
def test_a_task_that_crashes_each_of_its_workers_is_not_started_for_ever(
    kind: JobKind, returns_as_new: bool, after_ms: int
) -> None:
    cell = cell_with_crashes(timedelta(milliseconds=after_ms))
    cell.workers.returns_as_new = returns_as_new
    innocent = submit_innocent_jobs(cell, 6)
    cell.submit(CRASHING_JOB, kind.spec(cell))
    cell.run(GIVEN_UP_WITHIN_S + 10.0)
    assert starts_of(cell) <= CRASHES + MAX_STARTS_AFTER
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED
    assert {state_of(cell, job) for job in innocent} == {JobState.COMPLETED}
    assert cell.workers.breaches == []


@pytest.mark.parametrize("advised", [True, False])
def test_one_of_many_crashing_tasks_takes_no_innocent_job_along(advised: bool) -> None:
    # Each crash ends the runs beside it, which thereby become suspects as well.
    cell = cell_with_crashes(
        crashing=lambda task: task.job.startswith("bad") and task.index == 0,
        workers=12,
        advised=advised,
    )
    jobs = []
    for second in range(8):
        jobs += submit_innocent_jobs(cell, 6, job_spec(count=3), f"good{second}-")
        cell.submit(f"bad{second}", job_spec(count=3))
        cell.run(1.0)
    cell.run(25.0)
    for second in range(8):
        assert state_of(cell, f"bad{second}") is JobState.FAILED
        assert starts_of(cell, f"bad{second}.0.0.0") <= CRASHES + MAX_STARTS_AFTER
    assert {state_of(cell, job) for job in jobs} == {JobState.COMPLETED}
    assert cell.workers.breaches == []


def keep_busy(cell: PoolCell, seconds: float) -> list[str]:
    """Submit long tasks that every worker has some of, and let them begin."""
    cell.workers.duration_of = lambda _: timedelta(seconds=seconds)
    jobs = submit_innocent_jobs(cell, len(cell.workers.machines), job_spec(count=4))
    cell.run(1.0)
    return jobs


def crash_rack(cell: PoolCell) -> None:
    """Let all workers of a rack lose power at the same moment."""
    for machine in list(cell.workers.machines.values()):
        if machine.entry.rack == "r0" and not machine.is_replaced:
            machine.crash_and_return(timedelta(seconds=3.2), is_new_worker=False)
    cell.run(4.0)


def cut_off(cell: PoolCell) -> None:
    """Cut a worker off for longer than its lease; it runs on meanwhile."""
    machine = max(cell.workers.machines.values(), key=lambda m: len(m.active))
    machine.is_cut = True
    cell.run(6.0)
    machine.is_cut = False
    cell.run(1.0)


def leave_as_announced(cell: PoolCell) -> None:
    """Let a worker announce that it leaves, and be replaced."""
    machine = max(cell.workers.machines.values(), key=lambda m: len(m.active))
    cell.list_worker(machine.entry._replace(accepting=False, remaining_ms=2_000))
    cell.run(2.5)
    machine.crash_and_return(timedelta(seconds=1), is_new_worker=True)
    cell.run(3.0)


def replace_evacuated(cell: PoolCell) -> None:
    """Evacuate the failure domain, stop one of its workers, and take the order back."""
    cell.evacuate("zone")
    cell.run(2.5)
    machine = max(cell.workers.machines.values(), key=lambda m: len(m.active))
    machine.crash_and_return(timedelta(seconds=1), is_new_worker=True)
    cell.run(2.0)
    cell.end_evacuation("zone")
    cell.run(2.0)


@pytest.mark.parametrize(
    ("happens", "times"),
    [
        (crash_rack, 3),
        (cut_off, 5),
        (leave_as_announced, 5),
        (replace_evacuated, 5),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_workers_that_end_for_other_causes_give_up_no_task(
    happens: Callable[[PoolCell], None], times: int
) -> None:
    cell = cell_with_crashes()
    jobs = keep_busy(cell, seconds=60.0)
    for _ in range(times):
        happens(cell)
    assert {state_of(cell, job) for job in jobs} == {JobState.RUNNING}
    cell.run(150.0)
    assert {state_of(cell, job) for job in jobs} == {JobState.COMPLETED}


def test_a_task_whose_workers_are_cut_off_until_unlisted_is_not_given_up() -> None:
    # Such a worker is presumed to have crashed, until it is listed as it was before.
    cell = cell_with_crashes(crashing=lambda _: False)
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    cell.submit("one", job_spec())
    for _ in range(5):
        cell.run(1.0)
        [machine] = [m for m in cell.workers.machines.values() if m.active]
        machine.is_cut = True
        cell.run(4.5)
        cell.store.delete(WORKERS_PREFIX + machine.entry.id)
        cell.run(5.0)
        machine.is_cut = False
        cell.list_worker(machine.entry)
        cell.run(2.0)
    assert state_of(cell, "one") is JobState.RUNNING
    assert starts_of(cell, "one.0.0.0") == 6


def kill_lead(cell: PoolCell) -> None:
    cell.kill(cell.lead_of())


def run_until_starts(cell: PoolCell, count: int) -> None:
    """Advance until the crashing task was started ``count`` times or given up."""
    until = cell.clock.now() + timedelta(seconds=GIVEN_UP_WITHIN_S)
    while starts_of(cell) < count and cell.clock.now() < until:
        cell.run(0.001)


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 3.5])
@pytest.mark.parametrize("kills_at", [(1,), (2,), (1, 2), (2, 3)])
def test_a_killed_lead_does_not_begin_the_count_of_crashes_anew(
    kills_at: tuple[int, ...], delay_s: float
) -> None:
    # A lead dies right after the order, after the crash, or after it was recognized.
    cell = cell_with_crashes(nodes=4)
    innocent = submit_innocent_jobs(cell, 6)
    cell.submit(CRASHING_JOB, job_spec(count=3))
    for count in kills_at:
        run_until_starts(cell, count)
        cell.run(delay_s)
        kill_lead(cell)
    cell.run(2 * GIVEN_UP_WITHIN_S + 10.0)
    assert starts_of(cell) <= CRASHES + MAX_STARTS_AFTER
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED
    assert {state_of(cell, job) for job in innocent} == {JobState.COMPLETED}
    assert cell.workers.breaches == []


def test_a_start_that_crashed_its_worker_before_it_was_answered_counts() -> None:
    cell = cell_with_crashes(timedelta(0))
    cell.submit(CRASHING_JOB, job_spec())
    cell.run(2 * GIVEN_UP_WITHIN_S)
    assert starts_of(cell) <= CRASHES + MAX_STARTS_AFTER
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED


def test_crashes_while_the_store_is_away_count() -> None:
    cell = cell_with_crashes()
    cell.submit(CRASHING_JOB, job_spec(count=3))
    run_until_starts(cell, 1)
    cell.store.refuses = True
    cell.store.leases_lapse = False
    cell.run(9.0)
    cell.store.refuses = False
    cell.run(2 * GIVEN_UP_WITHIN_S)
    assert starts_of(cell) <= CRASHES + MAX_STARTS_AFTER
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED


def test_a_crashing_task_whose_workers_stay_down_is_given_up() -> None:
    # The leases lapse, and the crashed workers' entries are gone, before they return.
    cell = cell_with_crashes(workers=10)
    cell.workers.crash_duration = timedelta(seconds=15)
    cell.submit(CRASHING_JOB, job_spec())
    cell.run(60.0)
    assert starts_of(cell) <= CRASHES + MAX_STARTS_AFTER
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED


def test_a_job_that_was_given_up_frees_what_it_held() -> None:
    cell = cell_with_crashes(workers=6, limit=Resources(12_000, 64_000, 0))
    cell.workers.duration_of = lambda task: timedelta(
        hours=1 if task.job == CRASHING_JOB else 0, seconds=1
    )
    cell.submit(CRASHING_JOB, job_spec(count=12))
    cell.run(GIVEN_UP_WITHIN_S)
    assert {cell.state(CRASHING_JOB, via) for via in cell.nodes} == {JobState.FAILED}
    assert not any(machine.active for machine in cell.workers.machines.values())
    jobs = submit_innocent_jobs(cell, 1, job_spec(count=12))
    cell.run(2.5)
    assert {state_of(cell, job) for job in jobs} == {JobState.COMPLETED}


def test_the_same_job_under_a_new_id_is_counted_by_itself() -> None:
    # A job that looks alike may be innocent, and was not under any crash.
    cell = cell_with_crashes()
    cell.submit(CRASHING_JOB, job_spec())
    cell.run(GIVEN_UP_WITHIN_S)
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED
    cell.submit("again", job_spec())
    cell.run(3.0)
    assert state_of(cell, "again") is JobState.COMPLETED


def test_a_given_up_job_is_explained_by_the_log(events: list[LoggedEvent]) -> None:
    cell = cell_with_crashes()
    cell.submit(CRASHING_JOB, job_spec())
    cell.run(GIVEN_UP_WITHIN_S)
    [given_up] = [e.details for e in events if e.event == "job_given_up"]
    assert given_up["task_name"] == CRASHING_TASK
    assert given_up["crashed_workers"] == cell.workers.crashed_workers
    assert given_up["crashes"] == len(cell.workers.crashed_workers)
    node = cell.nodes[cell.lead_of()]
    assert node.crash_counts.given_up == {"pool": 1}


def test_a_new_lead_does_not_wait_for_ever_for_a_recorded_run() -> None:
    # The record tells of a suspect's run on a worker that crashed and stays away.
    cell = cell_with_crashes(workers=8)
    cell.submit(CRASHING_JOB, job_spec())
    run_until_starts(cell, 1)
    cell.workers.crashes_after = lambda _: None
    cell.workers.duration_of = lambda _: timedelta(seconds=2)
    run_until_starts(cell, 2)
    second = cell.workers.records[-1].worker
    cell.workers.crash_duration = timedelta(seconds=60)
    machine = cell.workers.machines[second]
    machine.crash_and_return(timedelta(seconds=60), is_new_worker=True)
    kill_lead(cell)
    cell.run(20.0)
    assert starts_of(cell) == 3
    assert state_of(cell, CRASHING_JOB) is JobState.COMPLETED


def test_suspects_start_in_a_pool_of_one_busy_worker() -> None:
    cell = cell_with_crashes(workers=1, crashing=lambda _: False)
    jobs = submit_innocent_jobs(cell, 4)
    cell.run(0.2)
    machine = cell.workers.machines["w0"]
    machine.crash_and_return(timedelta(seconds=3), is_new_worker=False)
    for number in range(100):
        submit_innocent_jobs(cell, 1, job_spec(), f"more{number}-")
        cell.run(0.1)
    assert {state_of(cell, job) for job in jobs} == {JobState.COMPLETED}
