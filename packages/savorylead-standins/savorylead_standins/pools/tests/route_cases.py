"""Cells in which a config_change moves a route to another service."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

import pytest

from savorylead.jobs import JobState
from savorylead.pools import Pool, Queue
from savorylead_daemon.pool._keys import claim_key
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell

FORMER, LATTER = "pool", "other"
#: Whether the service that the route has left stays in the configuration.
FORMER_SERVICE = pytest.mark.parametrize(
    "pools", [(FORMER, LATTER), (LATTER,)], ids=["former stays", "former leaves"]
)
JOB = "one"
#: Time in which a change of the configuration is in force at all daemons.
APPLIED_WITHIN_S = 2.0
LONG = timedelta(seconds=12)


def two_pools(**changes: Any) -> PoolCell:
    """Return a cell with two pools; its first queue is that of the former one."""
    return ready_cell(**{"workers": 4, "pools": (FORMER, LATTER), **changes})


def move_route(
    cell: PoolCell, pool: str = LATTER, pools: tuple[str, ...] = (FORMER, LATTER)
) -> None:
    """Send the first queue to a pool; only ``pools`` stay in the configuration."""
    document = cell.document

    def moved(queue: Queue) -> Queue:
        return queue._replace(pool=pool) if queue.prefix == "/q/" else queue

    cell.put_config(
        document._replace(
            version=document.version + 1,
            queues=tuple(moved(queue) for queue in document.queues),
            pools=tuple(Pool(name, False, False) for name in pools),
        )
    )


def starts(cell: PoolCell, job: str = JOB) -> int:
    """Return how many runs of a job's tasks were started."""
    return sum(record.task.job == job for record in cell.workers.records)


def forget_claim(cell: PoolCell, job: str = JOB) -> None:
    """Leave a job as a daemon of an earlier version has stored it."""
    cell.store.delete(claim_key(job))


def complete(cell: PoolCell) -> None:
    """Let the job's only task end."""
    cell.submit(JOB, job_spec())
    cell.run(2.0)


def work(cell: PoolCell) -> None:
    """Let the job's task run for a long time."""
    cell.workers.duration_of = lambda task: (
        LONG if task.job == JOB else timedelta(seconds=1)
    )
    cell.submit(JOB, job_spec())
    cell.run(1.0)


def cancel(cell: PoolCell) -> None:
    """Cancel the job while it waits for a worker."""
    fill_former_pool(cell)
    cell.submit(JOB, job_spec(cores=8))
    cell.run(0.5)
    cell.cancel(JOB)
    cell.run(1.0)


def wait_in_full_pool(cell: PoolCell) -> None:
    """Let the job wait for a worker."""
    fill_former_pool(cell)
    cell.submit(JOB, job_spec(cores=8))
    cell.run(1.0)


def fill_former_pool(cell: PoolCell) -> None:
    """Keep the workers of the former pool busy with one long job."""
    cell.workers.duration_of = lambda task: (
        LONG if task.job == "long" else timedelta(seconds=1)
    )
    cell.submit("long", job_spec(count=2, cores=8))
    cell.run(0.5)


class Before(NamedTuple):
    """What has become of a job when its route moves, and its state then."""

    name: str
    happens: Callable[[PoolCell], None]
    state: JobState
    starts: int


JOBS_BEFORE = (
    Before("completed", complete, JobState.COMPLETED, 1),
    Before("at work", work, JobState.RUNNING, 1),
    Before("cancelled", cancel, JobState.CANCELLED, 0),
    Before("waiting", wait_in_full_pool, JobState.QUEUED, 0),
)
