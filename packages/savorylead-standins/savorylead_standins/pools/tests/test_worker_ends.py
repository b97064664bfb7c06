"""The log tells crashes of workers from planned ends, and names the runs there."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import LoggedEvent, ready_cell

WORKER = "w0"
RUNS = ["one.0.0.0/1", "one.0.0.1/1"]


def crash_and_return_as_new(cell: PoolCell) -> None:
    cell.workers.machines[WORKER].crash()
    cell.workers.machines[WORKER].is_cut = True
    cell.run(3.2)
    cell.workers.machines[WORKER].is_cut = False
    cell.workers.machines[WORKER].is_replaced = True


def crash_and_restart(cell: PoolCell) -> None:
    cell.workers.machines[WORKER].crash()


def crash_and_return_after_the_lease(cell: PoolCell) -> None:
    cell.workers.machines[WORKER].crash()
    cell.workers.machines[WORKER].is_cut = True
    cell.run(6.0)
    cell.workers.machines[WORKER].is_cut = False


def end_and_be_replaced(cell: PoolCell) -> None:
    machine = cell.workers.machines[WORKER]
    machine.crash()
    # Nothing answers at its address until calls that wait there have timed out.
    machine.is_cut = True
    cell.run(1.5)
    machine.is_cut = False
    machine.is_replaced = True


def leave_as_announced(cell: PoolCell) -> None:
    machine = cell.workers.machines[WORKER]
    cell.list_worker(machine.entry._replace(accepting=False, remaining_ms=2_000))
    cell.run(2.0)
    end_and_be_replaced(cell)


def leave_an_evacuated_domain(cell: PoolCell) -> None:
    cell.evacuate("zone")
    cell.run(2.5)
    end_and_be_replaced(cell)


def be_cut_off_and_run_on(cell: PoolCell) -> None:
    cell.workers.machines[WORKER].is_cut = True
    cell.run(8.0)
    cell.workers.machines[WORKER].is_cut = False


@pytest.mark.parametrize(
    ("ends", "event"),
    [
        (crash_and_return_as_new, "worker_crashed"),
        (crash_and_restart, "worker_crashed"),
        (crash_and_return_after_the_lease, "worker_crashed"),
        (leave_as_announced, "worker_left"),
        (leave_an_evacuated_domain, "worker_left"),
        (be_cut_off_and_run_on, None),
    ],
)
def test_the_end_of_a_worker_is_logged_with_its_runs(
    events: list[LoggedEvent],
    ends: Callable[[PoolCell], None],
    event: str | None,
) -> None:
    cell = ready_cell(workers=1)
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    cell.submit("one", job_spec(count=2))
    cell.run(0.5)
    ends(cell)
    cell.run(2.0)
    logged = [e for e in events if e.event in ("worker_crashed", "worker_left")]
    assert [(e.event, e.details["worker"]) for e in logged] == (
        [(event, WORKER)] if event else []
    )
    for line in logged:
        assert sorted(line.details["task_runs"]) == RUNS
    node = cell.nodes[cell.lead_of()]
    how = {"worker_crashed": "crashed", "worker_left": "planned"}.get(event or "")
    assert dict(node.crash_counts.worker_ends) == ({("pool", how): 1} if how else {})
