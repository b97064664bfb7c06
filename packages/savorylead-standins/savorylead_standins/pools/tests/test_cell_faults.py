"""Whole cells under faults: no job is lost or run twice, no worker overcommitted."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from savorylead.jobs import JobState
from savorylead.pools import RunEnd
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell, in_turn, job_spec

from .cell_cases import ready_cell, states

Kind = CallerAnswer.Kind
Fault = Callable[[PoolCell], None]


# Faults of a cell under load.


def kill_lead(cell: PoolCell) -> None:
    cell.kill(cell.lead_of())


def kill_and_restart_all(cell: PoolCell) -> None:
    for name in list(cell.nodes):
        cell.kill(name)
    cell.run(1.0)
    for name in ("node-0", "node-1", "node-2"):
        cell.start_node(name)


def restart_lead_twice(cell: PoolCell) -> None:
    for _ in range(2):
        name = cell.lead_of()
        cell.kill(name)
        cell.run(0.3)
        cell.start_node(name)
        cell.run(3.0)


def store_refuses(cell: PoolCell) -> None:
    cell.store.refuses = True
    cell.run(4.5)
    cell.store.refuses = False


def store_is_silent_and_leases_pause(cell: PoolCell) -> None:
    cell.store.leases_lapse = False
    cell.store.silent = True
    cell.run(4.5)
    cell.store.silent = False


def answers_of_the_store_are_lost(cell: PoolCell) -> None:
    cell.store.lost_answers = 6


def writes_land_late(cell: PoolCell) -> None:
    cell.store.late_commits = 4


def store_forgets_its_history(cell: PoolCell) -> None:
    cell.store.forget_history()
    cell.run(0.4)
    cell.store.forget_history()


def lead_is_cut_from_the_store(cell: PoolCell) -> None:
    name = cell.lead_of()
    cell.views[name].is_cut = True
    cell.run(5.0)
    cell.views[name].is_cut = False


def lead_alone_is_refused(cell: PoolCell) -> None:
    name = cell.lead_of()
    cell.views[name].is_refused = True
    cell.run(5.0)
    cell.views[name].is_refused = False


def worker_crashes(cell: PoolCell) -> None:
    cell.workers.machines["w0"].crash()
    entry = cell.workers.machines["w0"].entry
    cell.list_worker(entry)


def worker_is_replaced(cell: PoolCell) -> None:
    machine = cell.workers.machines["w0"]
    machine.crash()
    machine.is_cut = True
    cell.run(1.0)
    machine.is_cut = False
    machine.is_replaced = True


def lead_dies_while_a_worker_is_replaced(cell: PoolCell) -> None:
    worker_is_replaced(cell)
    kill_lead(cell)


def worker_is_cut_and_runs_on(cell: PoolCell) -> None:
    cell.workers.machines["w0"].is_cut = True
    cell.run(8.0)
    cell.workers.machines["w0"].is_cut = False


def lead_dies_while_a_worker_is_cut(cell: PoolCell) -> None:
    cell.workers.machines["w0"].is_cut = True
    kill_lead(cell)
    cell.run(4.0)
    cell.workers.machines["w0"].is_cut = False


def answers_of_starts_are_lost(cell: PoolCell) -> None:
    for machine in cell.workers.machines.values():
        machine.lost_starts = 2


def starts_are_executed_late(cell: PoolCell) -> None:
    for machine in cell.workers.machines.values():
        machine.late_starts = 2


def late_starts_and_a_new_lead(cell: PoolCell) -> None:
    starts_are_executed_late(cell)
    cell.run(0.6)
    kill_lead(cell)


def lost_answers_and_a_new_lead(cell: PoolCell) -> None:
    answers_of_starts_are_lost(cell)
    answers_of_the_store_are_lost(cell)
    cell.run(0.2)
    kill_lead(cell)


FAULTS = [
    kill_lead,
    kill_and_restart_all,
    restart_lead_twice,
    store_refuses,
    store_is_silent_and_leases_pause,
    answers_of_the_store_are_lost,
    writes_land_late,
    store_forgets_its_history,
    lead_is_cut_from_the_store,
    lead_alone_is_refused,
    worker_crashes,
    worker_is_replaced,
    lead_dies_while_a_worker_is_replaced,
    worker_is_cut_and_runs_on,
    lead_dies_while_a_worker_is_cut,
    answers_of_starts_are_lost,
    starts_are_executed_late,
    late_starts_and_a_new_lead,
    lost_answers_and_a_new_lead,
]


def assert_accepted_jobs_are_completed(cell: PoolCell, jobs: list[str]) -> None:
    assert cell.workers.breaches == []
    answers = {job: cell.answer(job) for job in jobs}
    accepted = [j for j, a in answers.items() if a is not None and a.kind is Kind.DONE]
    # Guards against a vacuous pass of a cell that refused nearly all jobs.
    assert len(accepted) > len(jobs) / 2
    shown = states(cell, accepted)
    assert shown == dict.fromkeys(accepted, JobState.COMPLETED)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("offset_s", [0.0, 0.35, 1.1])
@pytest.mark.parametrize("advised", [False, True])
@pytest.mark.parametrize("steps", [1, 2])
def test_nothing_is_lost_or_run_twice(
    fault: Fault, offset_s: float, advised: bool, steps: int
) -> None:
    cell = ready_cell(advised=advised)
    cell.workers.waits_for = lambda task: (
        f"{task.job}.0.{task.step - 1}.{index}" for index in range(5) if task.step
    )
    jobs = [f"job{number}" for number in range(12)]
    for number, job in enumerate(jobs):
        cell.submit(job, in_turn(steps, count=5), f"node-{number % 3}")
        cell.run(0.05)
    cell.run(offset_s)
    fault(cell)
    cell.run(35.0)
    assert_accepted_jobs_are_completed(cell, jobs)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("offset_s", [0.0, 0.7])
def test_gangs_start_whole_and_end_done(fault: Fault, offset_s: float) -> None:
    cell = ready_cell()
    cell.workers.gang_size_of = lambda _: 6
    jobs = [f"job{number}" for number in range(8)]
    for number, job in enumerate(jobs):
        cell.submit(job, job_spec(count=6, gang=True), f"node-{number % 3}")
        cell.run(0.1)
    cell.run(offset_s)
    fault(cell)
    cell.run(45.0)
    assert_accepted_jobs_are_completed(cell, jobs)


def test_no_gang_waits_for_members_that_do_not_come() -> None:
    # Gangs and small jobs compete for the same workers throughout.
    cell = ready_cell()
    cell.workers.gang_size_of = lambda task: 6 if task.job.startswith("gang") else 0
    for number in range(40):
        cell.submit(f"gang{number}", job_spec(count=6, gang=True))
        cell.submit(f"small{number}", job_spec(count=4))
        cell.run(0.3)
    cell.run(30.0)
    ends = {how for _, _, how in cell.workers.ends}
    assert RunEnd.ALONE not in ends
    assert RunEnd.BROKEN not in ends
    assert cell.workers.breaches == []
    assert cell.state("gang39") is JobState.COMPLETED
