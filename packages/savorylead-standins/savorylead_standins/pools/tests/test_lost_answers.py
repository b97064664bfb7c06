"""Answers to callers about a job hold, whichever answers of the store are lost."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import other_node, ready_cell

Kind = CallerAnswer.Kind
JOB = "job"
#: More commits than a cell makes in a few seconds.
MANY = 10_000
#: All delayed commits have been applied by then.
SETTLED_S = 14.0


def loses_answers(cell: PoolCell, via: str) -> None:
    cell.store.lost_answers = 3


def is_late(cell: PoolCell, via: str) -> None:
    cell.store.late_commits = 3


def is_very_late(cell: PoolCell, via: str) -> None:
    cell.store.late_commits = 3
    cell.store.late_by = timedelta(seconds=8)


def loses_all_answers(cell: PoolCell, via: str) -> None:
    cell.store.lost_answers = MANY
    cell.clock.call_later(timedelta(seconds=4), setattr, cell.store, "lost_answers", 0)


def does_all_late(cell: PoolCell, via: str) -> None:
    # Whatever the daemons try, the caller is answered before the write takes effect.
    cell.store.late_commits = MANY
    cell.store.late_by = timedelta(seconds=4)
    cell.clock.call_later(timedelta(seconds=4), setattr, cell.store, "late_commits", 0)


def is_silent(cell: PoolCell, via: str) -> None:
    cell.store.silent = True
    cell.clock.call_later(timedelta(seconds=2), setattr, cell.store, "silent", False)


def refuses(cell: PoolCell, via: str) -> None:
    cell.store.refuses = True
    cell.clock.call_later(timedelta(seconds=2), setattr, cell.store, "refuses", False)


def refuses_the_daemon(cell: PoolCell, via: str) -> None:
    cell.views[via].is_refused = True


def is_cut_from_the_daemon(cell: PoolCell, via: str) -> None:
    cell.views[via].is_cut = True


def is_slow(cell: PoolCell, via: str) -> None:
    cell.store.delay = timedelta(milliseconds=330)
    cell.clock.call_later(
        timedelta(seconds=3), setattr, cell.store, "delay", timedelta(milliseconds=2)
    )


FAULTS = [
    loses_answers,
    is_late,
    is_very_late,
    loses_all_answers,
    does_all_late,
    is_silent,
    refuses,
    refuses_the_daemon,
    is_cut_from_the_daemon,
    is_slow,
]


def runs(cell: PoolCell) -> int:
    return sum(record.task.job == JOB for record in cell.workers.records)


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("known_s", [0.0, 0.4, 1.4])
@pytest.mark.parametrize("trouble", FAULTS)
def test_a_job_runs_as_its_caller_was_told(
    trouble: Callable[[PoolCell, str], None], known_s: float, nodes: int
) -> None:
    # A single daemon has no peer through which it could write.
    cell = ready_cell(nodes=nodes)
    via = other_node(cell) if nodes > 1 else cell.lead_of()
    trouble(cell, via)
    cell.run(known_s)
    cell.submit(JOB, job_spec(), via)
    cell.run(SETTLED_S)
    answer_kind = cell.answer(JOB).kind
    if answer_kind is Kind.DONE:
        assert runs(cell) == 1
    elif answer_kind is not Kind.UNCLEAR:
        assert runs(cell) == 0
    assert answer_kind in (Kind.DONE, Kind.UNCLEAR, Kind.NOT_NOW)
    assert cell.workers.breaches == []


@pytest.mark.parametrize("again_s", [0.2, 1.5, 3.0, 6.0])
@pytest.mark.parametrize("trouble", FAULTS)
def test_a_job_that_is_handed_in_again_elsewhere_runs_once(
    trouble: Callable[[PoolCell, str], None], again_s: float
) -> None:
    cell = ready_cell()
    via = other_node(cell)
    trouble(cell, via)
    cell.submit(JOB, job_spec(), via)
    cell.run(again_s)
    cell.submit(JOB, job_spec(), cell.lead_of())
    cell.run(SETTLED_S)
    # The job is submitted once more, seconds after its end.
    cell.submit(JOB, job_spec(), cell.lead_of())
    cell.run(2.0)
    assert cell.answer(JOB).kind is Kind.DONE
    assert runs(cell) == 1
    assert cell.state(JOB, cell.lead_of()) is JobState.COMPLETED
    assert cell.workers.breaches == []


@pytest.mark.parametrize("trouble", FAULTS)
def test_a_cancel_that_was_acknowledged_holds(
    trouble: Callable[[PoolCell, str], None],
) -> None:
    cell = ready_cell()
    cell.workers.duration_of = lambda _: timedelta(seconds=600)
    via = other_node(cell)
    cell.submit(JOB, job_spec(long_running=True), via)
    cell.run(1.0)
    assert runs(cell) == 1
    trouble(cell, via)
    cell.cancel(JOB, via)
    cell.run(SETTLED_S)
    answer_kind = cell.answer(f"cancel {JOB}").kind
    assert answer_kind in (Kind.DONE, Kind.UNCLEAR, Kind.NOT_NOW)
    if answer_kind is Kind.DONE:
        assert not any(m.active for m in cell.workers.machines.values())
    assert cell.workers.breaches == []
