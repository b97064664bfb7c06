"""The end of a run in a restarted worker is not acknowledged before it is read."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell


def leave_an_order_unanswered(cell: PoolCell) -> None:
    """Let the lead poll beside its pending poll, to find out about an order."""
    cell.workers.machines["w0"].lost_starts = 1
    cell.submit("unanswered", job_spec())


def lose_the_pending_poll(cell: PoolCell) -> None:
    """Let the lead poll again, since the answer to its pending poll is overdue."""


@pytest.mark.parametrize(
    ("polls_again", "is_poll_lost"),
    [(leave_an_order_unanswered, False), (lose_the_pending_poll, True)],
)
def test_an_end_in_a_restarted_worker_is_not_released_unread(
    polls_again: Callable[[PoolCell], None], is_poll_lost: bool
) -> None:
    # Regression: such a poll released the ends up to the former incarnation's last
    # number, and with them the first ones of the new incarnation. The tasks had been
    # done, and were started again.
    cell = ready_cell(workers=1)
    cell.workers.duration_of = lambda task: timedelta(
        milliseconds=5_000 if task.job == "long" else 150
    )
    machine = cell.workers.machines["w0"]
    for number in range(5):
        cell.submit(f"before{number}", job_spec())
        cell.run(0.4)
    # Its pending poll, which waits up to a second for an end, is lost in the crash.
    cell.workers.loses_hold = lambda: is_poll_lost
    cell.submit("long", job_spec())
    cell.run(0.3)
    cell.workers.loses_hold = lambda: False
    machine.crash()
    cell.submit("one", job_spec())
    cell.run(0.02)
    polls_again(cell)
    cell.list_worker(machine.entry)
    cell.run(8.0)
    assert cell.workers.breaches == []
    assert cell.state("one") is JobState.COMPLETED
