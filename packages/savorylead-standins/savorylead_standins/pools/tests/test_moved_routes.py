"""An id is one job, whatever service its route names when a request is repeated."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead_daemon.pool import CallerAnswer, _admission
from savorylead_daemon.pool._job_claims import JobClaim, encode_claim
from savorylead_daemon.pool._keys import claim_key
from savorylead_standins.pools import PoolCell, job_spec

from .route_cases import (
    APPLIED_WITHIN_S,
    FORMER,
    FORMER_SERVICE,
    JOB,
    JOBS_BEFORE,
    LATTER,
    Before,
    forget_claim,
    move_route,
    starts,
    two_pools,
)

DONE = CallerAnswer.Kind.DONE


def repeat(cell: PoolCell, via: str = "node-1") -> CallerAnswer.Kind:
    """Send the job's request again; return the kind of its answer."""
    cell.submit(JOB, job_spec(), via)
    cell.run(1.0)
    answer = cell.answer(JOB)
    assert answer is not None
    return answer.kind


@pytest.mark.parametrize("is_claimed", [True, False], ids=["claimed", "earlier build"])
@FORMER_SERVICE
@pytest.mark.parametrize("before", JOBS_BEFORE, ids=lambda before: before.name)
def test_a_repeated_request_after_its_route_moved_starts_nothing(
    before: Before, pools: tuple[str, ...], is_claimed: bool
) -> None:
    # Regression: only the record in the pool that the route names now was looked at, so
    # the request ran the job a second time, also after it was completed or cancelled.
    cell = two_pools()
    before.happens(cell)
    assert starts(cell) == before.starts
    if not is_claimed:
        forget_claim(cell)
    move_route(cell, pools=pools)
    cell.run(APPLIED_WITHIN_S + 0.5)
    assert repeat(cell) is DONE
    cell.run(3.0)
    assert starts(cell) == before.starts
    assert cell.workers.breaches == []


def test_a_repeated_request_after_its_route_moved_there_and_back() -> None:
    # Regression: the pool left the configuration meanwhile, so the daemons that started
    # later knew nothing of it.
    cell = two_pools()
    JOBS_BEFORE[1].happens(cell)
    move_route(cell, pools=(LATTER,))
    cell.run(APPLIED_WITHIN_S + 0.5)
    cell.kill("node-1")
    cell.start_node("node-1")
    cell.run(3.0)
    assert repeat(cell) is DONE
    move_route(cell, FORMER)
    cell.run(APPLIED_WITHIN_S + 0.5)
    assert repeat(cell, "node-2") is DONE
    cell.run(4.0)
    assert starts(cell) == 1
    assert cell.workers.breaches == []


@pytest.mark.parametrize("seed", range(5))
def test_repeats_at_daemons_with_different_versions_are_one_job(seed: int) -> None:
    # Regression: requests and their repeats come 30 ms apart at two daemons, one of
    # which has read the newer version of the configuration.
    cell = two_pools(seed=seed, nodes=4, workers=8)
    cell.workers.duration_of = lambda _: timedelta(milliseconds=200)
    nodes = list(cell.nodes)
    jobs = []
    for number in range(120):
        if number % 20 == 0:
            move_route(cell, (LATTER, FORMER)[number // 20 % 2])
        job = f"job{number}"
        jobs.append(job)
        cell.submit(job, job_spec(), nodes[number % 4])
        cell.run(0.03)
        cell.submit(job, job_spec(), nodes[(number + 1 + seed) % 4])
        cell.run(0.03)
    cell.run(6.0)
    assert cell.workers.breaches == []
    assert [starts(cell, job) for job in jobs] == [1] * len(jobs)


@pytest.mark.parametrize("late_s", [0.5, 2.0])
def test_a_late_write_to_the_former_pool_does_not_run_a_job_again(
    late_s: float,
) -> None:
    # Regression: the first write got no answer and was executed after the route had
    # moved and the repeated request was accepted; its condition held still.
    cell = two_pools()
    cell.store.late_commits = 1
    cell.store.late_by = timedelta(seconds=late_s)
    cell.submit(JOB, job_spec())
    cell.run(0.1)
    move_route(cell, pools=(FORMER, LATTER))
    cell.run(APPLIED_WITHIN_S)
    assert repeat(cell) is DONE
    cell.run(5.0)
    assert starts(cell) == 1
    assert cell.workers.breaches == []


def test_an_id_whose_record_an_earlier_build_deleted_is_a_new_job() -> None:
    # Guards against ids that stay claimed: daemons of earlier versions delete the
    # records of ended jobs, and not their claims.
    cell = two_pools()
    cell.store.put(claim_key(JOB), encode_claim(JobClaim(LATTER)))
    assert repeat(cell) is DONE
    cell.run(2.0)
    assert cell.state(JOB) is JobState.COMPLETED


def test_the_claim_of_an_ended_job_is_deleted_with_its_record() -> None:
    cell = two_pools()
    JOBS_BEFORE[0].happens(cell)
    assert any(JOB in key for key in cell.store.items)
    # The states are kept for 120 s, and for 30 s more.
    cell.run(165.0)
    assert not any(JOB in key for key in cell.store.items)


def test_a_repeated_request_is_not_refused_for_the_new_pools_backlog(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Regression: the lead of the pool that the route names now does not know the job,
    # so the repeat was answered that the job would never run.
    cell = two_pools()
    JOBS_BEFORE[0].happens(cell)
    move_route(cell)
    cell.run(APPLIED_WITHIN_S + 0.5)
    monkeypatch.setattr(_admission, "MAX_OPEN_JOBS", 2)
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    for number in range(4):
        cell.submit(f"full{number}", job_spec(), "node-1")
        cell.run(0.2)
    refused = cell.answer("full3")
    assert refused is not None and refused.error == "backlog"
    assert repeat(cell) is DONE
    assert starts(cell) == 1


def test_a_refusal_for_backlog_does_not_wait_for_a_silent_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against holding a caller until its deadline since the claim can't be read.
    cell = two_pools()
    monkeypatch.setattr(_admission, "MAX_OPEN_JOBS", 2)
    cell.workers.duration_of = lambda _: timedelta(seconds=60)
    for number in range(4):
        cell.submit(f"full{number}", job_spec(), "node-1")
        cell.run(0.2)
    cell.store.leases_lapse = False
    cell.store.silent = True
    cell.run(1.4)
    cell.submit(JOB, job_spec(), "node-1")
    cell.run(0.5)
    answer = cell.answer(JOB)
    assert answer is not None and answer.kind is CallerAnswer.Kind.NOT_NOW
