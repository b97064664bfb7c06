"""The end of a run that a worker reports is logged with the reason of its stop."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead_standins.pools import job_spec

from .cell_cases import LoggedEvent, ready_cell


@pytest.mark.parametrize(
    ("is_cancelled", "outcome", "reason"),
    [(True, "stopped", "not_needed"), (False, "done", "")],
)
def test_a_reported_end_tells_why_the_run_was_stopped(
    events: list[LoggedEvent], is_cancelled: bool, outcome: str, reason: str
) -> None:
    # Guards against stops whose cause can't be found in the log.
    cell = ready_cell()
    cell.workers.duration_of = lambda _: timedelta(seconds=3)
    cell.submit("job", job_spec())
    cell.run(1.0)
    if is_cancelled:
        cell.cancel("job")
    cell.run(4.0)
    (ended,) = [each.details for each in events if each.event == "task_end"]
    assert (ended["outcome"], ended["stop_reason"]) == (outcome, reason)
