"""Helpers of the tests of jobs that leads mark before they start them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta
from typing import Any

from savorylead.pools import (
    Committed,
    Conflict,
    Put,
    RunRejected,
    RunStarted,
    SchedulingPolicy,
)
from savorylead_daemon.pool._keys import lead_key, progress_key, progress_prefix
from savorylead_standins.pools import PoolCell, StoreView, job_spec

from .cell_cases import other_node, ready_cell

MARKS = SchedulingPolicy(marks_jobs=True)
NO_MARKS = SchedulingPolicy()
#: Time from its election until a lead starts jobs that no former lead has seen.
STARTED_WITHIN = timedelta(milliseconds=500)
#: Time from its election until a lead starts other jobs beside a silent worker: 4.9 s,
#: or 6.7 s after others have ended the former lead's lease.
LOCATED_AFTER = timedelta(seconds=4.9)
LOCATED_AT_LATEST_S = 7.0
#: Longer than any test.
LONG = timedelta(seconds=60)


def first_start(cell: PoolCell, job: str) -> datetime | None:
    """Return when the first task of a job started, None if none has."""
    return next((r.began_at for r in cell.workers.records if r.task.job == job), None)


def starts(cell: PoolCell, job: str) -> int:
    """Return how many runs of a job's tasks were started."""
    return sum(record.task.job == job for record in cell.workers.records)


def run_until_led(cell: PoolCell) -> datetime:
    """Run until a node leads the pool; return when it does."""
    while not any(node.leads for node in cell.nodes.values()):
        cell.run(0.005)
    return cell.clock.now()


def run_until_marked(cell: PoolCell, job: str) -> None:
    """Run until the store has a progress record of a job."""
    for _ in range(200):
        if progress_key("pool", job) in cell.store.items:
            return
        cell.run(0.005)
    raise AssertionError(f"no mark of {job}")


def cell_with_silent_worker(
    policy: SchedulingPolicy, **changes: object
) -> tuple[PoolCell, str]:
    """Return a cell in which a worker with a run is silent, and the lead's name."""
    cell = ready_cell(policy=policy, **changes)
    cell.workers.duration_of = lambda task: (
        LONG if task.job == "old" else timedelta(seconds=1)
    )
    lead = cell.lead_of()
    cell.submit("old", job_spec(), other_node(cell))
    cell.run(0.3)
    (record,) = cell.workers.records
    cell.workers.machines[record.worker].is_cut = True
    return cell, lead


def unmarked_starts(cell: PoolCell) -> list[str]:
    """Return a list to which the jobs are added that start without a record."""
    found: list[str] = []
    start = cell.workers.start

    async def note(*order: Any) -> RunStarted | RunRejected:
        job = next(o.task.job for o in order if hasattr(o, "task"))
        if progress_key("pool", job) not in cell.store.items:
            found.append(job)
        return await start(*order)

    cell.workers.start = note
    return found


class MarkWrites:
    """Counts the writes of progress records, and disturbs the first ones.

    Can disturb an election instead.
    """

    def __init__(self, cell: PoolCell) -> None:
        self._cell = cell
        #: Number of transactions that contained progress records.
        self.count = 0
        #: Number of next ones that take effect without an answer.
        self.lost = 0
        #: Number of next ones that are executed late, and by how much.
        self.late = 0
        self.late_by = timedelta(seconds=2)
        #: Number of next elections that take effect without an answer.
        self.lost_elections = 0
        for view in cell.views.values():
            self._watch(view)

    def _watch(self, view: StoreView) -> None:
        commit = view.commit
        store = self._cell.store

        async def disturbed(
            expected: Mapping[str, int],
            puts: Sequence[Put] = (),
            deletes: Sequence[str] = (),
        ) -> Committed | Conflict:
            if self.lost_elections and lead_key("pool") in {put.key for put in puts}:
                self.lost_elections -= 1
                store.lost_answers += 1
            if not any(put.key.startswith(progress_prefix("pool")) for put in puts):
                return await commit(expected, puts, deletes)
            self.count += 1
            if self.lost:
                self.lost -= 1
                # Others may commit before this transaction arrives.
                store.lost_answers += 1
            elif self.late:
                self.late -= 1
                store.late_by = self.late_by
                store.late_commits += 1
            return await commit(expected, puts, deletes)

        view.commit = disturbed
