"""A gang whose run breaks is restarted soon, at every width."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead.pools import (
    RunEnd,
    RunOrder,
    RunRejected,
    StartRejection,
    WorkerNotReachedError,
)
from savorylead.workers import WorkerTimeoutError
from savorylead_standins.pools import MemoryMachine
from savorylead_standins.pools._pool_cell import WORKERS_PREFIX

from .gang_cases import MOST_IDLE_S, GangCell

#: Times from the start of the gang to its fault, in seconds: its tickets are still
#: valid, or new ones must be fetched.
FAULTS_AFTER_S = [0.3, 3.0]
#: Number of tasks in the gang, and how many of them fit on one worker.
WIDTHS = [
    *itertools.product([2, 3, 8, 15, 17, 40], [1, 2, 3]),
    (120, 3),
]
#: Time limit for the lead to conclude that nothing runs on a dead worker, in seconds: a
#: lease of 4.5 s, renewed every second.
MOST_LEASE_S = 6.0

Cause = Callable[[GangCell], None]
#: Returns the outcome that replaces the execution of a start on a worker.
StartOutcome = Callable[[MemoryMachine], RunRejected | Exception | None]


def run_first(cell: GangCell) -> None:
    cell.submit_gang()
    assert cell.wait_until_it_works() < 10.0
    cell.run(cell.fault_after_s)
    cell.note_broken_run()


def member_fails(cell: GangCell) -> None:
    run_first(cell)
    cell.end_member(0, RunEnd.FAILED)


def every_member_is_broken_off(cell: GangCell) -> None:
    run_first(cell)
    cell.end_member(0, RunEnd.BROKEN)


def worker_leaves(cell: GangCell) -> None:
    run_first(cell)
    machine, (name, number) = cell.members()[0]
    gone = machine.entry._replace(accepting=False, remaining_ms=200)
    cell.list_worker(gone)
    cell.run(0.2)
    machine._end((name, number), RunEnd.STOPPED)


def worker_dies(cell: GangCell) -> None:
    run_first(cell)
    machine, _ = cell.members()[0]
    for other, key in cell.members():
        if other is not machine:
            other.break_off(key)
    machine.is_cut = True


def worker_dies_and_is_unlisted(cell: GangCell) -> None:
    worker_dies(cell)
    machine = next(m for m in cell.workers.machines.values() if m.is_cut)
    cell.store.delete(WORKERS_PREFIX + machine.entry.id)


def worker_is_reborn(cell: GangCell) -> None:
    run_first(cell)
    machine, _ = cell.members()[0]
    for other, key in cell.members():
        if other is not machine:
            other.break_off(key)
    machine.crash()
    cell.list_worker(machine.entry)


def break_first_run(
    cell: GangCell, start_outcome: StartOutcome, all_members: bool
) -> None:
    """Make one start, or all starts, of the gang's first run fail."""
    numbers: list[int] = []

    def refuse(order: RunOrder, worker: str) -> RunRejected | Exception | None:
        if numbers and order.number != numbers[0]:
            return None
        if order.task.index and not all_members:
            return None
        numbers.append(order.number)
        return start_outcome(cell.workers.machines[worker])

    cell.refuse = refuse
    cell.submit_gang()
    while not numbers:
        cell.run(0.001)
    cell.note_broken_run()


def refused(reason: StartRejection, all_members: bool) -> Cause:
    """Return a cause by which one start, or all of a run, are refused for a reason."""

    def cause(cell: GangCell) -> None:
        break_first_run(
            cell, lambda where: RunRejected(reason, where.clock_ms()), all_members
        )

    which = "all_starts_are" if all_members else "start_is"
    cause.__name__ = f"{which}_refused_{reason.value}"
    return cause


def start_is_not_sent(cell: GangCell) -> None:
    break_first_run(cell, lambda _: WorkerNotReachedError("not connected"), False)


def start_never_arrives(cell: GangCell) -> None:
    break_first_run(cell, lambda _: WorkerTimeoutError("no answer"), False)


def start_answer_is_lost(cell: GangCell) -> None:
    def lose(machine: MemoryMachine) -> None:
        machine.lost_starts = 1

    break_first_run(cell, lose, False)


def start_comes_late(cell: GangCell) -> None:
    def delay(machine: MemoryMachine) -> None:
        machine.late_starts = 1
        machine.late_by = timedelta(seconds=1)

    break_first_run(cell, delay, False)


def advice_fails_once(cell: GangCell) -> None:
    run_first(cell)
    cell.end_member(0, RunEnd.BROKEN)
    for adviser in cell.advisers:
        adviser.fails = True
    cell.run(0.3)
    for adviser in cell.advisers:
        adviser.fails = False


def advice_is_late_once(cell: GangCell) -> None:
    run_first(cell)
    for adviser in cell.advisers:
        adviser.late_s = 1.0
    cell.end_member(0, RunEnd.BROKEN)


def advice_fails_through_one_daemon(cell: GangCell) -> None:
    run_first(cell)
    called = max(cell.advisers, key=lambda adviser: len(adviser.calls))
    called.fails = True
    cell.end_member(0, RunEnd.BROKEN)


REFUSALS = [
    StartRejection.BAD_TICKET,
    StartRejection.TOO_LATE,
    StartRejection.NO_ROOM,
    StartRejection.UNHEALTHY,
    StartRejection.STALE_NUMBER,
    StartRejection.WRONG_INCARNATION,
]
#: Faults of a running gang.
FAULTS: list[Cause] = [
    member_fails,
    every_member_is_broken_off,
    worker_leaves,
    worker_dies,
    worker_dies_and_is_unlisted,
    worker_is_reborn,
    advice_fails_once,
    advice_is_late_once,
]
#: Faults of a gang that is being started.
FALSE_STARTS: list[Cause] = [
    start_is_not_sent,
    start_never_arrives,
    start_answer_is_lost,
    start_comes_late,
    *(refused(reason, all_members=False) for reason in REFUSALS),
    *(refused(reason, all_members=True) for reason in REFUSALS),
]


@pytest.mark.parametrize("after_s", FAULTS_AFTER_S)
@pytest.mark.parametrize("cause", FAULTS, ids=lambda cause: cause.__name__)
@pytest.mark.parametrize("count, copies", WIDTHS)
def test_a_broken_gang_runs_again_soon(
    count: int, copies: int, cause: Cause, after_s: float
) -> None:
    assert_runs_again_soon(count, copies, cause, after_s)


@pytest.mark.parametrize("cause", FALSE_STARTS, ids=lambda cause: cause.__name__)
@pytest.mark.parametrize("count, copies", WIDTHS)
def test_a_gang_with_a_false_start_runs_soon(
    count: int, copies: int, cause: Cause
) -> None:
    assert_runs_again_soon(count, copies, cause)


@pytest.mark.parametrize("count, copies", WIDTHS)
def test_a_broken_gang_does_not_stay_with_a_daemon_whose_calls_fail(
    count: int, copies: int
) -> None:
    # Regression: every call went through the daemon with the fewest calls in flight,
    # which is the daemon whose calls fail immediately.
    assert_runs_again_soon(
        count, copies, advice_fails_through_one_daemon, max(FAULTS_AFTER_S)
    )


def test_a_gang_of_more_workers_than_a_call_names_runs() -> None:
    # A call names up to 100 workers, so this gang needs the tickets of two calls.
    cell = GangCell(120, 1)
    cell.submit_gang()
    assert cell.wait_until_it_works() < 10.0


def test_a_gang_of_more_workers_than_a_call_names_runs_soon() -> None:
    cell = GangCell(120, 1)
    cell.submit_gang()
    assert cell.wait_until_it_works() <= MOST_IDLE_S


def assert_runs_again_soon(
    count: int, copies: int, cause: Cause, after_s: float = 0.0
) -> None:
    cell = GangCell(count, copies)
    cell.fault_after_s = after_s
    cause(cell)
    # Runs of an unresponsive worker count as ended only once its lease has expired.
    assert cell.wait_until_broken_run_is_over() < MOST_LEASE_S
    assert cell.wait_until_it_works_again() <= MOST_IDLE_S
    assert cell.workers.breaches == []
