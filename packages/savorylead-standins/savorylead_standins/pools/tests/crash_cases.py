"""Cells in which tasks crash the workers that start them."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from savorylead.jobs import JobSpec, JobState, TaskName
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell

#: The job that holds the crashing task, which is the first one of its first step.
CRASHING_JOB = "crashing"
CRASHING_TASK = f"{CRASHING_JOB}.0.0.0"
#: Crashes under a task after which at most MAX_STARTS_AFTER more starts are allowed.
CRASHES = 3
MAX_STARTS_AFTER = 2
#: Time in which two crashes happen, are recognized and are acted on.
GIVEN_UP_WITHIN_S = 14.0


def cell_with_crashes(
    after: timedelta = timedelta(milliseconds=10),
    crashing: Callable[[TaskName], bool] = lambda task: str(task) == CRASHING_TASK,
    **changes: Any,
) -> PoolCell:
    """Return a cell in which some tasks crash each worker that starts them."""
    cell = ready_cell(**{"workers": 6, **changes})
    cell.workers.crashes_after = lambda task: after if crashing(task) else None
    return cell


def submit_innocent_jobs(
    cell: PoolCell, count: int, spec: JobSpec | None = None, prefix: str = "innocent"
) -> list[str]:
    """Submit jobs whose tasks crash no worker; return their ids."""
    jobs = [f"{prefix}{number}" for number in range(count)]
    via = next(iter(cell.nodes))
    for job in jobs:
        cell.submit(job, spec or job_spec(count=2), via)
    return jobs


def starts_of(cell: PoolCell, task: str = CRASHING_TASK) -> int:
    """Return how often a task was started."""
    return sum(str(record.task) == task for record in cell.workers.records)


def state_of(cell: PoolCell, job: str) -> JobState | None:
    """Return a job's state as reported by any node."""
    return cell.state(job, next(iter(cell.nodes)))


def gang_of_two(cell: PoolCell) -> JobSpec:
    """Return a job with a gang, which the cell's workers run as one."""
    cell.workers.gang_size_of = lambda task: 2 if task.job == CRASHING_JOB else 0
    return job_spec(count=2, gang=True)


def long_running(cell: PoolCell) -> JobSpec:
    """Return a long-running job, whose tasks do not end by themselves."""
    cell.workers.duration_of = lambda task: timedelta(
        hours=1 if task.job == CRASHING_JOB else 0, seconds=1
    )
    return job_spec(count=2, long_running=True)


def occurrences(cell: PoolCell) -> JobSpec:
    """Return a job with two occurrences, the first of which is due now."""
    now_ms = int(cell.clock.now().timestamp() * 1000)
    spec = job_spec(count=2)
    return spec._replace(repeats=2, first_due_ms=now_ms, interval_ms=60_000)


class JobKind(NamedTuple):
    """A kind of job whose first task crashes its workers."""

    name: str
    spec: Callable[[PoolCell], JobSpec]


JOB_KINDS = (
    JobKind("plain", lambda cell: job_spec(count=3)),
    JobKind("single", lambda cell: job_spec()),
    JobKind("gang", gang_of_two),
    JobKind("long-running", long_running),
    JobKind("filler", lambda cell: job_spec(count=2, fills=True)),
    JobKind("speculative", lambda cell: job_spec(count=2, speculative=True)),
    JobKind("occurrence", occurrences),
    JobKind("checkpointed", lambda cell: job_spec(count=2, checkpoints=True)),
)
