"""A task that crashes its workers is given up; the tasks beside it are not."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.jobs import JobState

from .crash_cases import (
    CRASHES,
    CRASHING_JOB,
    GIVEN_UP_WITHIN_S,
    JOB_KINDS,
    MAX_STARTS_AFTER,
    JobKind,
    cell_with_crashes,
    starts_of,
    state_of,
    submit_innocent_jobs,
)


@pytest.mark.parametrize("kind", JOB_KINDS, ids=lambda kind: kind.name)
@pytest.mark.parametrize("returns_as_new", [True, False])
@pytest.mark.parametrize("after_ms", [10, 700])
def test_a_task_that_crashes_each_of_its_workers_is_not_started_for_ever(
    kind: JobKind, returns_as_new: bool, after_ms: int
) -> None:
    cell = cell_with_crashes(timedelta(milliseconds=after_ms))
    cell.workers.returns_as_new = returns_as_new
    innocent = submit_innocent_jobs(cell, 6)
    cell.submit(CRASHING_JOB, kind.spec(cell))
    cell.run(GIVEN_UP_WITHIN_S + 10.0)
    assert starts_of(cell) <= CRASHES + MAX_STARTS_AFTER
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED
    assert {state_of(cell, job) for job in innocent} == {JobState.COMPLETED}
    assert cell.workers.breaches == []
