"""A strong machine can reach the store and the daemons, but no worker."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NoReturn

from savorylead.clock import Clock
from savorylead.jobs import JobState
from savorylead.pools import WorkerNotReachedError
from savorylead_daemon.pool.node import Machine
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import states

STRONG = Machine(2.15, 100.0, 550)
WEAK = Machine(0.5, 5.0, 200)
JOBS = 20


class NoWorkers:
    """Worker calls that all fail to connect."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def keep_only(self, worker_ids: frozenset[str]) -> None:
        """Do nothing."""

    async def _fail(self, *args: Any) -> NoReturn:
        await self._clock.sleep(timedelta(milliseconds=400))
        raise WorkerNotReachedError("connecting took too long")

    start = stop = pace = hold = _fail


def test_a_pool_does_not_stay_with_a_lead_that_reaches_no_worker() -> None:
    # Regression: the weak lead handed its pool over to the strong machine, whose lead
    # renewed its lease indefinitely and started nothing.
    cell = PoolCell(
        nodes=0, machines={"node-0": WEAK, "node-1": WEAK, "node-2": STRONG}
    )
    cell.start_node("node-0")
    cell.start_node("node-1")
    cell.run(1.0)
    cell.submit("first", job_spec(), "node-1")
    cell.run(3.0)
    assert states(cell, ["first"]) == {"first": JobState.COMPLETED}
    workers, cell.workers = cell.workers, NoWorkers(cell.clock)
    cell.start_node("node-2")
    cell.workers = workers
    cell.run(3.0)
    jobs = [f"job{number}" for number in range(JOBS)]
    for job in jobs:
        cell.submit(job, job_spec(), "node-1")
    cell.run(15.0)
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}


def test_work_goes_on_after_all_workers_were_silent_to_everybody() -> None:
    # Meanwhile the leads hand the pool over to each other; no task may run twice.
    cell = PoolCell()
    cell.run(2.0)
    cell.workers.duration_of = lambda _: timedelta(seconds=2)
    jobs = [f"job{number}" for number in range(JOBS)]
    for job in jobs:
        cell.submit(job, job_spec(), "node-1")
    cell.run(0.5)
    for machine in cell.workers.machines.values():
        machine.is_cut = True
    cell.run(20.0)
    for machine in cell.workers.machines.values():
        machine.is_cut = False
    cell.run(12.0)
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}
    assert cell.workers.breaches == []
