"""Tasks that start on a worker which has restarted under its id unnoticed.

An idle worker is polled rarely, so its lead learns of a restart only after it has
started a task there. The answer to a start does not name the worker's incarnation.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

import pytest

from savorylead.jobs import JobState
from savorylead.pools import RunEnd, WorkerReport
from savorylead_standins.pools import MemoryMachine, PoolCell, job_spec

from .cell_cases import LoggedEvent, ready_cell

JOB = "one"
DOWN_S = 2.0


def restart_unnoticed(cell: PoolCell) -> MemoryMachine:
    """Let the only worker crash while it is idle, and return under its id."""
    machine = cell.workers.machines["w0"]
    cell.workers.returns_as_new = False
    machine.crash_and_return(timedelta(seconds=DOWN_S), False)
    cell.run(DOWN_S + 0.01)
    return machine


def cell_with_idle_worker(ended_runs: int = 0) -> PoolCell:
    """Return a cell whose only worker has ended some runs and is idle."""
    cell = ready_cell(workers=1)
    # The entry that a returned worker writes comes only with its next heartbeat.
    cell.workers.on_return = lambda _: None
    cell.workers.duration_of = lambda _: timedelta(milliseconds=100)
    for number in range(ended_runs):
        cell.submit(f"before{number}", job_spec())
        cell.run(0.5)
    return cell


class Crashes(NamedTuple):
    """What befalls the worker of a task, and how its job ends."""

    name: str
    while_idle: bool
    under_second_run: bool


@pytest.mark.parametrize(
    "crashes",
    [
        Crashes("none", while_idle=False, under_second_run=False),
        Crashes("idle", while_idle=True, under_second_run=False),
        Crashes("at work", while_idle=False, under_second_run=True),
        Crashes("idle, then at work", while_idle=True, under_second_run=True),
    ],
    ids=lambda crashes: crashes.name,
)
def test_a_task_is_not_blamed_for_a_crash_before_its_start(
    events: list[LoggedEvent], crashes: Crashes
) -> None:
    # Regression: a run that the restarted worker had confirmed counted as lost in the
    # crash before. With a second crash its job was shown as failed after one failure.
    cell = cell_with_idle_worker()
    cell.workers.duration_of = lambda _: timedelta(seconds=1)
    cell.workers.how_ends = lambda _, number: (
        RunEnd.FAILED if number == cell.workers.records[0].number else RunEnd.DONE
    )
    machine = cell.workers.machines["w0"]
    if crashes.while_idle:
        restart_unnoticed(cell)
    cell.submit(JOB, job_spec())
    cell.run(0.3)
    cell.list_worker(machine.entry)
    cell.run(1.2)
    assert len(cell.workers.records) == 2
    if crashes.under_second_run:
        machine.crash_and_return(timedelta(seconds=DOWN_S), False)
        cell.run(DOWN_S)
        cell.list_worker(machine.entry)
    cell.run(8.0)
    assert cell.state(JOB) is JobState.COMPLETED
    assert cell.workers.breaches == []
    blamed = [e.details["runs"] for e in events if e.event == "worker_crashed"]
    assert blamed == [0] * crashes.while_idle + [1] * crashes.under_second_run


@pytest.mark.parametrize("ends_after_ms", [0, 1, 100])
def test_an_end_of_an_unnoticed_incarnation_is_not_released_unread(
    ends_after_ms: int,
) -> None:
    # Regression: the first poll after the start released the ends up to the former
    # incarnation's last number, so the task was started again after it was done.
    cell = cell_with_idle_worker(ended_runs=5)
    machine = restart_unnoticed(cell)
    cell.workers.duration_of = lambda _: timedelta(milliseconds=ends_after_ms)
    cell.submit(JOB, job_spec())
    cell.run(0.3)
    cell.list_worker(machine.entry)
    cell.run(8.0)
    assert cell.workers.breaches == []
    assert cell.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("cut_after_ms", range(12))
def test_a_run_of_an_unnoticed_incarnation_keeps_its_lease(cut_after_ms: int) -> None:
    # Regression: the deadlines sent before the restart was noticed were discarded, so
    # the run counted as over at once when its worker was cut off then.
    cell = cell_with_idle_worker()
    cell.workers.duration_of = lambda _: timedelta(seconds=5)
    machine = restart_unnoticed(cell)
    cell.workers.add(machine.entry._replace(id="w1", address="w1"))
    cell.submit(JOB, job_spec())
    for _ in range(300):
        cell.run(0.001)
        if cell.workers.records:
            break
    cell.list_worker(machine.entry)
    cell.list_worker(machine.entry._replace(id="w1", address="w1"))
    cell.run(cut_after_ms / 1000)
    machine.is_cut = True
    cell.run(9.0)
    machine.is_cut = False
    cell.run(8.0)
    assert cell.workers.breaches == []
    assert cell.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("report_takes_ms", [20, 100])
def test_a_run_whose_answer_overtook_a_report_is_not_started_again(
    monkeypatch: pytest.MonkeyPatch, report_takes_ms: int
) -> None:
    # Regression: the restarted worker's first report was requested before a start there
    # was confirmed, so it lacked the run, which counted as lost while it was at work.
    cell = cell_with_idle_worker()
    cell.workers.duration_of = lambda _: timedelta(seconds=2)
    machine = restart_unnoticed(cell)
    hold = cell.workers.hold
    delays_ms = [report_takes_ms]

    async def hold_with_delay(*args: Any) -> WorkerReport:
        report = await hold(*args)
        if delays_ms:
            await cell.clock.sleep(timedelta(milliseconds=delays_ms.pop()))
        return report

    monkeypatch.setattr(cell.workers, "hold", hold_with_delay)
    cell.nodes[cell.lead_of()].leads["pool"]._state.sessions["w0"].poll_soon()
    cell.run(0.002)
    cell.submit(JOB, job_spec())
    cell.run(0.2)
    assert not delays_ms
    assert len(cell.workers.records) == 1
    cell.list_worker(machine.entry)
    cell.run(6.0)
    assert cell.workers.breaches == []
    assert len(cell.workers.records) == 1
    assert cell.state(JOB) is JobState.COMPLETED
