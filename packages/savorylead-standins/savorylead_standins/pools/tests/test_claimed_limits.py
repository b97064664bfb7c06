"""Large tasks of one team in several pools of a whole cell, under its limit."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead.pools import RunOrder
from savorylead.resources import Resources, total
from savorylead_standins.pools import PoolCell, job_spec
from savorylead_standins.pools._memory_machine import MemoryMachine

from .cell_cases import ready_cell, states

LIMIT = Resources(10_000, 4_000, 0)
#: Time for one task to start after the previous one, with a lead elected meanwhile, in
#: seconds.
START_WITHIN_S = 8.0


def limited_cell(pools: int) -> PoolCell:
    """Return a cell whose runs are checked against the team's limit."""
    names = tuple(f"pool{number}" for number in range(pools))
    cell = ready_cell(pools=names, workers=2 * pools, cores=16, limit=LIMIT)
    started = cell.workers.started

    def check(machine: MemoryMachine, order: RunOrder, fence: int) -> None:
        started(machine, order, fence)
        held = total(each.held() for each in cell.workers.machines.values())
        if not held._replace(memory_mb=0).fits(LIMIT):
            cell.workers.breaches.append(f"{order.task} exceeds the limit: {held}")

    cell.workers.started = check
    return cell


def submit(cell: PoolCell, job: str, number: int, cores: float, count: int) -> None:
    """Submit a job of one task, or of one gang, to a pool."""
    prefix = cell.document.queues[number].prefix
    spec = job_spec(count, cores=cores, gang=count > 1)
    cell.call("submit", f"{prefix}{job}", "node-0", cell.encode(spec), job)


@pytest.mark.parametrize("pools", [2, 3])
@pytest.mark.parametrize("cores, count", [(6.0, 1), (4.6, 1), (2.0, 3)])
@pytest.mark.parametrize("killed", [False, True])
def test_large_tasks_of_all_pools_run_though_a_lead_is_killed(
    pools: int, cores: float, count: int, killed: bool
) -> None:
    cell = limited_cell(pools)
    cell.workers.duration_of = lambda _: timedelta(seconds=1)
    cell.workers.resources_of = lambda _: Resources(int(cores * 1000), 100, 0)
    cell.workers.gang_size_of = lambda _: count if count > 1 else 0
    jobs = []
    for number in range(2 * pools):
        jobs.append(f"job{number}")
        submit(cell, jobs[-1], number % pools, cores, count)
    cell.run(1.5)
    if killed:
        cell.kill(cell.lead_of("pool1"))
    cell.run(len(jobs) * START_WITHIN_S)
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}
    assert cell.workers.breaches == []
