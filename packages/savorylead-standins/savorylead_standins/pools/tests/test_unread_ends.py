"""The end of a run in a restarted worker is not acknowledged before it is read."""

from __future__ import annotations

from datetime import timedelta

from savorylead.jobs import JobState
from savorylead_standins.pools import job_spec

from .cell_cases import ready_cell


def test_an_end_in_a_restarted_worker_is_not_released_unread() -> None:
    # Regression: a poll beside a pending one released the ends up to the former
    # incarnation's last number, and with them the first ones of the new incarnation.
    # The task had been done, and was started again.
    cell = ready_cell(workers=1)
    cell.workers.duration_of = lambda task: timedelta(
        milliseconds=5_000 if task.job == "long" else 150
    )
    machine = cell.workers.machines["w0"]
    for number in range(5):
        cell.submit(f"before{number}", job_spec())
        cell.run(0.4)
    # Its pending poll, which waits up to a second for an end, is lost in the crash.
    cell.submit("long", job_spec())
    cell.run(0.3)
    machine.crash()
    cell.submit("one", job_spec())
    cell.run(0.02)
    machine.lost_starts = 1
    cell.submit("unanswered", job_spec())
    cell.list_worker(machine.entry)
    cell.run(8.0)
    assert cell.workers.breaches == []
    assert cell.state("one") is JobState.COMPLETED
