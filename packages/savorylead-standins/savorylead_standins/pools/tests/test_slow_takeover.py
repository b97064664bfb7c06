"""Effects of a takeover that takes long."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.clock import Clock
from savorylead.pools import RunEnd, StorePage
from savorylead_daemon.pool._keys import intake_prefix, progress_prefix
from savorylead_standins.pools import MemoryCellStore, PoolCell, StoreView, job_spec

from .cell_cases import READY_S

POOL = "pool"
#: Time to load 800 jobs over an otherwise idle link of 5 Mbit/s.
LOAD_TIME = timedelta(seconds=4.6)
JOBS = 16


class SlowListings(StoreView):
    """The store over a link on which reads of job records are slow."""

    def __init__(self, store: MemoryCellStore, clock: Clock) -> None:
        super().__init__(store)
        self._clock = clock
        self.delay = timedelta(0)

    async def page(self, prefix: str, after: str = "") -> StorePage:
        """Return the next keys, with a delay for those of jobs."""
        if prefix in (intake_prefix(POOL), progress_prefix(POOL)):
            await self._clock.sleep(self.delay)
        return await super().page(prefix, after)


def slow_cell() -> tuple[PoolCell, list[SlowListings]]:
    """Return a cell with 16 long tasks, and its nodes' views of the store."""
    cell = PoolCell(nodes=0, workers=4)
    views = []
    for number in range(3):
        view = SlowListings(cell.store, cell.clock)
        cell.views[f"node-{number}"] = view
        views.append(view)
        cell.start_node(f"node-{number}")
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    cell.run(READY_S)
    for number in range(JOBS):
        cell.submit(f"job{number}", job_spec(), "node-1")
    cell.run(2.0)
    return cell, views


def test_tasks_run_on_while_a_new_lead_reads_its_records() -> None:
    # Regression: leases of tasks last 4.5 s, of which 2 s pass until the former lead's
    # lease expires. The new lead did not renew them until it had read all records.
    cell, views = slow_cell()
    for view in views:
        view.delay = LOAD_TIME
    cell.kill(cell.lead_of())
    cell.run(12.0)
    assert [how for _, _, how in cell.workers.ends if how is RunEnd.LAPSED] == []
    assert len(cell.workers.records) == JOBS


@pytest.mark.parametrize("cut_after_s", [2.5, 4.0, 5.5, 6.2, 7.0])
def test_a_worker_that_is_cut_off_during_a_load_keeps_its_tasks_until_they_lapse(
    cut_after_s: float,
) -> None:
    # Leases that a lead renews before it has loaded the jobs last longer than the
    # former lead's last renewal.
    cell, views = slow_cell()
    for view in views:
        view.delay = LOAD_TIME
    cell.kill(cell.lead_of())
    cell.run(cut_after_s)
    cell.workers.machines["w0"].is_cut = True
    on_cut = {r.task for r in cell.workers.records if r.worker == "w0"}
    cell.run(14.0)
    assert cell.workers.breaches == []
    again = {r.task for r in cell.workers.records if r.number > 1}
    assert again == on_cut
