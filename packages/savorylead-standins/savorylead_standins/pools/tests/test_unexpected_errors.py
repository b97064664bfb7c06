"""An unexpected error delays the affected work but stops no component for good."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any
from unittest.mock import patch

import pytest

from savorylead.jobs import Job, JobRecord, JobState, encode_job
from savorylead.pools import PoolGrants, WorkerEntry
from savorylead.resources import Resources
from savorylead_daemon.pool._elections import Elections
from savorylead_daemon.pool._job_intake import JobIntake
from savorylead_daemon.pool._job_registry import JobRegistry
from savorylead_daemon.pool._keys import job_key
from savorylead_daemon.pool._pool_fleet import PoolFleet
from savorylead_daemon.pool._report_processor import ReportProcessor
from savorylead_standins.pools import MemoryWorkers, PoolCell, job_spec
from savorylead_standins.pools._memory_adviser import MemoryAdviser
from savorylead_standins.pools._memory_cell_store import StoreView

from .cell_cases import ready_cell, states

pytestmark = pytest.mark.raises_unexpected_errors

POOL = "pool"
#: Each call fails for this time.
ERRORS_FOR_S = 1.0
#: Any lease expiries and lead changes caused by the error have ended by then.
SETTLED_S = 8.0

#: Calls that fail, besides those of the planner and the adviser.
PARTS = [
    (StoreView, "get"),
    (StoreView, "page"),
    (StoreView, "changes"),
    (StoreView, "commit"),
    (StoreView, "grant_lease"),
    (StoreView, "renew_lease"),
    (MemoryWorkers, "start"),
    (MemoryWorkers, "stop"),
    (MemoryWorkers, "hold"),
    (ReportProcessor, "apply"),
    (JobRegistry, "apply_end"),
    (Job, "progress"),
    (Elections, "_review_pool"),
    (PoolFleet, "set_workers"),
    (PoolGrants, "next_record"),
    (JobIntake, "add"),
]


@contextmanager
def raise_unexpected(kind: type, call: str) -> Iterator[list[str]]:
    """Make a method raise an error that no caller expects; yields the calls made."""
    calls = []

    def fail(*_: Any, **__: Any) -> Any:
        calls.append(call)
        raise ZeroDivisionError(f"unexpected error in {call}")

    with patch.object(kind, call, fail):
        yield calls


def new_worker(cell: PoolCell, name: str) -> None:
    entry = WorkerEntry(
        name, POOL, name, "zone", Resources(8_000, 64_000), ("big",), "r0", True, 1
    )
    cell.workers.add(entry)
    cell.list_worker(entry)


def check_all_goes_on(cell: PoolCell) -> None:
    """Check jobs, a new worker, a cancel and a change of the lead."""
    cell.run(SETTLED_S)
    new_worker(cell, "late")
    cell.submit("plain", job_spec(count=6), "node-1")
    cell.submit("on the new one", job_spec(required_label="big"), "node-2")
    cell.submit("lasting", job_spec(long_running=True), "node-1")
    # A job whose message to the lead was lost.
    record = JobRecord("untold", POOL, "q-pool", "team", 1, job_spec())
    cell.store.put(job_key(POOL, "untold"), encode_job(record))
    cell.run(5.0)
    jobs = ["plain", "on the new one", "untold"]
    assert states(cell, jobs) == dict.fromkeys(jobs, JobState.COMPLETED)
    cell.cancel("lasting", "node-1")
    cell.cancel("cancelled", "node-1")
    cell.run(2.0)
    assert not any(m.active for m in cell.workers.machines.values())
    cell.kill(cell.lead_of())
    cell.run(SETTLED_S)
    via = next(iter(cell.nodes))
    cell.submit("later", job_spec(count=6), via)
    cell.run(5.0)
    assert states(cell, ["later"]) == {"later": JobState.COMPLETED}
    assert cell.workers.breaches == []


def busy_cell(**changes: object) -> PoolCell:
    cell = ready_cell(**changes)
    cell.workers.duration_of = lambda task: timedelta(
        seconds=600 if task.job in ("lasting", "cancelled") else 1
    )
    cell.submit("before", job_spec(count=12), "node-1")
    cell.submit("cancelled", job_spec(count=2, long_running=True), "node-1")
    cell.run(0.5)
    return cell


@pytest.mark.parametrize("kind, call", PARTS)
def test_a_cell_outlasts_an_odd_error(kind: type, call: str) -> None:
    cell = busy_cell()
    with raise_unexpected(kind, call) as calls:
        if call in ("grant_lease", "_review_pool"):
            cell.store.end_lease(next(iter(cell.store.leases)))
        new_worker(cell, "meanwhile")
        cell.submit("meanwhile", job_spec(count=2), "node-1")
        cell.cancel("cancelled", "node-1")
        cell.run(ERRORS_FOR_S)
    assert calls
    check_all_goes_on(cell)
    assert states(cell, ["before"]) == {"before": JobState.COMPLETED}


@pytest.mark.parametrize("gang", [False, True])
def test_a_step_is_asked_about_again_after_an_odd_error(gang: bool) -> None:
    cell = ready_cell(advised=True, workers=6)
    cell.workers.gang_size_of = lambda _: 2 if gang else 0
    with raise_unexpected(MemoryAdviser, "advise") as calls:
        cell.submit("asked", job_spec(count=2, gang=gang), "node-1")
        cell.run(ERRORS_FOR_S)
    assert calls
    cell.run(4.0)
    assert states(cell, ["asked"]) == {"asked": JobState.COMPLETED}


def test_passes_go_on_after_one_that_failed() -> None:
    cell = ready_cell()
    lead = cell.nodes[cell.lead_of()].leads[POOL]
    with raise_unexpected(type(lead._state.planner), "plan") as calls:
        cell.submit("one", job_spec(), "node-1")
        cell.run(ERRORS_FOR_S)
    assert calls
    cell.run(3.0)
    assert states(cell, ["one"]) == {"one": JobState.COMPLETED}


def test_a_pass_that_fails_is_followed_by_the_usual_pause() -> None:
    cell = ready_cell()
    lead = cell.nodes[cell.lead_of()].leads[POOL]
    with raise_unexpected(type(lead._state.planner), "plan") as calls:
        for _ in range(100):
            lead._plan_soon()
            cell.run(0.001)
    assert 0 < len(calls) <= 21
