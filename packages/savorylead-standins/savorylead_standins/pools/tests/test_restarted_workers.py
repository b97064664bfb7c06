"""Tasks that start on a worker which has restarted under its id unnoticed.

An idle worker is polled rarely, so its lead learns of a restart only after it has
started a task there. The answer to a start does not name the worker's incarnation.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import JobSpec, JobState
from savorylead.pools import RunEnd, WorkerReport
from savorylead.resources import Resources
from savorylead_daemon.pool._keys import workers_key
from savorylead_daemon.pool._pool_records import RecordedWorker
from savorylead_standins.pools import MemoryMachine, PoolCell, job_spec

from .cell_cases import LoggedEvent, settled_cell

JOB = "one"
#: How long a crashed worker is away. The lead polls a worker that has not reported for
#: 1.5 s before a start, so it notices a restart that takes longer.
BRIEFLY_S, LONG_S = 0.3, 2.0


def restart_idle_worker(cell: PoolCell, down_s: float) -> MemoryMachine:
    """Let the only worker crash just after a report, and return under its id."""
    machine = cell.workers.machines["w0"]
    cell.nodes[cell.lead_of()].leads["pool"]._state.sessions["w0"].poll_soon()
    cell.run(0.01)
    cell.workers.returns_as_new = False
    machine.crash_and_return(timedelta(seconds=down_s), False)
    cell.run(down_s + 0.01)
    return machine


def restart_unnoticed(cell: PoolCell) -> MemoryMachine:
    return restart_idle_worker(cell, BRIEFLY_S)


def cell_with_idle_worker(ended_runs: int = 0) -> PoolCell:
    """Return a cell whose only worker has ended some runs and is idle."""
    cell = settled_cell(workers=1)
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
        machine.crash_and_return(timedelta(seconds=LONG_S), False)
        cell.run(LONG_S)
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


class OtherKind(NamedTuple):
    """What a worker is after its restart, and a job that it must not run then."""

    name: str
    labels: tuple[str, ...]
    cores: int
    spec: JobSpec


KINDS = pytest.mark.parametrize(
    "kind",
    [
        OtherKind("label", ("b", "r0"), 8, job_spec(required_label="a")),
        OtherKind("room", ("a", "r0"), 2, job_spec(cores=6)),
    ],
    ids=lambda kind: kind.name,
)


def restart_as(cell: PoolCell, kind: OtherKind, down_s: float) -> None:
    """Restart the worker as another kind, while a job comes that it must not run."""
    cell.workers.resources_of = lambda task: kind.spec.steps[0].resources
    machine = restart_idle_worker(cell, down_s)
    machine.entry = machine.entry._replace(
        labels=kind.labels, capacity=Resources(kind.cores * 1_000, 64_000, 0)
    )
    cell.submit(JOB, kind.spec)
    cell.run(0.3)
    cell.list_worker(machine.entry)
    cell.run(2.0)


@KINDS
def test_nothing_starts_on_a_worker_that_is_another_kind_by_now(
    kind: OtherKind,
) -> None:
    # Regression: a task started on a worker that had lost the label that it requires,
    # or the room, since the worker's entry came only after the start.
    cell = cell_with_idle_worker()
    restart_as(cell, kind, LONG_S)
    assert cell.workers.records == []
    entry = cell.workers.machines["w0"].entry
    another = entry._replace(
        id="w1", address="w1", labels=("a", "r1"), capacity=Resources(8_000, 64_000, 0)
    )
    cell.workers.add(another)
    cell.list_worker(another)
    cell.run(4.0)
    assert cell.state(JOB) is JobState.COMPLETED
    assert cell.workers.breaches == []


@KINDS
def test_nothing_starts_on_a_worker_that_is_another_kind_after_a_brief_restart(
    kind: OtherKind,
) -> None:
    # The same after a restart so brief that the start is sent without a poll.
    cell = cell_with_idle_worker()
    restart_as(cell, kind, BRIEFLY_S)
    assert cell.workers.records == []


def hand_over_cut_from_a_restarted_worker(
    cell: PoolCell, down_s: float, cut_after_s: float = 0.0
) -> None:
    """Change the lead after a start on a restarted worker that is then cut off."""
    cell.workers.duration_of = lambda _: timedelta(seconds=8)
    machine = restart_idle_worker(cell, down_s)
    another = machine.entry._replace(id="w1", address="w1")
    cell.workers.add(another)
    cell.submit(JOB, job_spec())
    cell.run(0.02)
    cell.list_worker(machine.entry)
    cell.list_worker(another)
    cell.run(0.9)
    assert len(cell.workers.records) == 1
    Deferred.fromCoroutine(cell.nodes[cell.lead_of()].resign())
    cell.run(cut_after_s)
    machine.is_cut = True
    cell.run(12.0)
    machine.is_cut = False
    cell.run(10.0)


def test_a_new_lead_waits_for_a_run_on_a_restarted_worker() -> None:
    # Regression: the restarted worker had taken the order's deadline for a lease longer
    # than the next lead waits for a worker that it can't reach.
    cell = cell_with_idle_worker()
    hand_over_cut_from_a_restarted_worker(cell, LONG_S)
    assert cell.workers.breaches == []
    assert cell.state(JOB) is JobState.COMPLETED


def test_a_new_lead_waits_for_a_run_on_a_briefly_restarted_worker() -> None:
    # The same after a restart so brief that the start is sent without a poll.
    cell = cell_with_idle_worker()
    hand_over_cut_from_a_restarted_worker(cell, BRIEFLY_S)
    assert cell.workers.breaches == []
    assert cell.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("cut_after_s", [0.08, 0.1, 0.15, 0.2])
@pytest.mark.parametrize("down_s", [BRIEFLY_S, LONG_S])
def test_a_new_lead_that_reached_a_restarted_worker_waits_for_its_run(
    down_s: float, cut_after_s: float
) -> None:
    # The same with a new lead that claims the worker just before the worker is cut off.
    cell = cell_with_idle_worker()
    hand_over_cut_from_a_restarted_worker(cell, down_s, cut_after_s)
    assert cell.workers.breaches == []
    assert cell.state(JOB) is JobState.COMPLETED


def recorded_incarnation(cell: PoolCell) -> int:
    """Return the incarnation with which the lead has recorded the worker."""
    item = cell.store.items[workers_key("pool")]
    recorded = msgspec.json.decode(item.value, type=list[RecordedWorker])
    return next(r.entry.incarnation_start_ms for r in recorded if r.entry.id == "w0")


def test_a_restart_is_recorded_while_a_long_lease_may_hold() -> None:
    cell = cell_with_idle_worker()
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    before = recorded_incarnation(cell)
    machine = restart_idle_worker(cell, BRIEFLY_S)
    cell.submit(JOB, job_spec())
    cell.run(0.1)
    # The platform's list shows the restart only later.
    assert recorded_incarnation(cell) == 0
    cell.list_worker(machine.entry)
    cell.run(10.0)
    assert recorded_incarnation(cell) == machine.entry.incarnation_start_ms > before


def test_a_lead_that_never_reached_a_worker_records_what_the_former_lead_knew() -> None:
    cell = cell_with_idle_worker()
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    machine = restart_idle_worker(cell, BRIEFLY_S)
    cell.submit(JOB, job_spec())
    cell.run(0.1)
    machine.is_cut = True
    cell.list_worker(machine.entry)
    Deferred.fromCoroutine(cell.nodes[cell.lead_of()].resign())
    cell.run(1.0)
    another = machine.entry._replace(id="w1", address="w1")
    cell.workers.add(another)
    cell.list_worker(another)
    # The other worker makes the new lead write the record.
    cell.run(1.5)
    assert recorded_incarnation(cell) == 0


@pytest.mark.parametrize("listed_after_s", [0.02, 3.0, 30.0])
@pytest.mark.parametrize("lead_on_s", [0.02, 0.3, 0.9, 2.0])
def test_a_restart_that_the_list_shows_late_is_known_to_the_next_lead(
    lead_on_s: float, listed_after_s: float
) -> None:
    # The lead starts a task on a worker that has restarted, and resigns soon after. The
    # worker is cut off then.
    cell = cell_with_idle_worker()
    cell.workers.duration_of = lambda _: timedelta(seconds=12)
    machine = restart_idle_worker(cell, BRIEFLY_S)
    another = machine.entry._replace(id="w1", address="w1")
    cell.workers.add(another)
    cell.submit(JOB, job_spec())
    listed_after = timedelta(seconds=listed_after_s)
    cell.clock.call_later(listed_after, cell.list_worker, machine.entry)
    cell.run(0.02)
    cell.list_worker(another)
    cell.run(lead_on_s)
    assert [record.worker for record in cell.workers.records] == ["w0"]
    machine.is_cut = True
    Deferred.fromCoroutine(cell.nodes[cell.lead_of()].resign())
    cell.run(14.0)
    assert cell.workers.breaches == []
