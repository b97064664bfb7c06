"""A job with out-of-range numbers fails alone and does not affect its pool."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.jobs import JobRecord, JobSpec, JobState, SpecError, check_spec
from savorylead.jobs._records import encode_job
from savorylead.resources import Resources
from savorylead_daemon.pool._keys import job_key
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell, states

POOL = "pool"
HUGE = 10**400
#: About the largest number of seconds that a JSON float can hold, as an integer.
LARGEST = int(1.7e308)


def due(**times: int) -> JobSpec:
    return job_spec()._replace(**times)


OUT_OF_RANGE = {
    "length beyond a float": job_spec(estimate_ms=LARGEST),
    "length beyond any float": job_spec(estimate_ms=HUGE),
    "length that makes learning overflow": job_spec(estimate_ms=10**300),
    "negative length beyond a float": job_spec(estimate_ms=-LARGEST),
    "amount beyond a float": job_spec(resources=Resources(HUGE)),
    "target beyond a float": job_spec(
        target_ms=HUGE, long_running=True, resources=Resources(1_000)
    ),
    "time beyond a float": due(repeats=1, first_due_ms=-HUGE),
    "occurrences without end": due(repeats=10**9, first_due_ms=1),
}


def store_job(cell: PoolCell, job: str, spec: JobSpec) -> None:
    """Store a job as a daemon without validation would."""
    record = JobRecord(job, POOL, "q-pool", "team", 1_767_225_600_000, spec)
    cell.store.put(job_key(POOL, job), encode_job(record))


@pytest.mark.parametrize("name", OUT_OF_RANGE)
def test_a_caller_is_told_that_a_number_is_out_of_range(name: str) -> None:
    with pytest.raises(SpecError):
        check_spec(OUT_OF_RANGE[name])


@pytest.mark.parametrize("name", [n for n in OUT_OF_RANGE if "without end" not in n])
def test_a_pool_goes_on_beside_a_job_of_an_unreasonable_number(name: str) -> None:
    cell = ready_cell()
    cell.workers.duration_of = lambda _: timedelta(milliseconds=200)
    store_job(cell, "odd", OUT_OF_RANGE[name])
    cell.run(2.0)
    jobs = [f"sound-{number}" for number in range(6)]
    for job in jobs:
        cell.submit(job, job_spec(count=2), "node-1")
        cell.run(0.3)
    cell.run(8.0)
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}
    assert cell.workers.breaches == []


@pytest.mark.parametrize("name", OUT_OF_RANGE)
def test_a_lead_that_is_told_of_such_a_job_passes_over_it(name: str) -> None:
    cell = ready_cell()
    record = JobRecord("odd", POOL, "q-pool", "team", 1, OUT_OF_RANGE[name])
    cell.nodes[cell.lead_of()].leads[POOL].accept(record, 1_000_000)
    cell.submit("sound", job_spec(count=2), "node-1")
    cell.run(4.0)
    assert states(cell, ["sound"]) == {"sound": JobState.COMPLETED}
