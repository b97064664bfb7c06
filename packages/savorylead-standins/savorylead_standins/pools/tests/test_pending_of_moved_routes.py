"""The number of a queue's waiting jobs counts those in a service that it has left."""

from __future__ import annotations

from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell, job_spec

from .route_cases import (
    APPLIED_WITHIN_S,
    FORMER,
    FORMER_SERVICE,
    fill_former_pool,
    move_route,
    two_pools,
)

Kind = CallerAnswer.Kind
WAITING = 12


def pending(cell: PoolCell, via: str) -> CallerAnswer:
    """Return a node's answer to the question for waiting jobs."""
    cell.call("state", "/q/", via, b"", f"pending {via}")
    cell.run(0.6)
    answer = cell.answer(f"pending {via}")
    assert answer is not None
    return answer


def submit_waiting_jobs(cell: PoolCell) -> None:
    fill_former_pool(cell)
    for number in range(WAITING):
        cell.submit(f"waiting{number}", job_spec(cores=8))
    cell.run(0.5)


@FORMER_SERVICE
def test_jobs_that_wait_in_the_former_service_are_counted(
    pools: tuple[str, ...],
) -> None:
    # Regression: only the lead of the pool that the queue names now was asked, which
    # knows none of the jobs that wait in the former one.
    cell = two_pools()
    submit_waiting_jobs(cell)
    move_route(cell, pools=pools)
    cell.run(APPLIED_WITHIN_S)
    restarted = next(name for name, node in cell.nodes.items() if not node.leads)
    for via in list(cell.nodes):
        assert pending(cell, via).pending == WAITING
    cell.kill(restarted)
    cell.start_node(restarted)
    cell.run(4.0)
    assert pending(cell, restarted).pending == WAITING


def test_no_number_is_given_while_a_lead_that_may_hold_jobs_does_not_answer() -> None:
    # Guards against a sum that lacks a pool: the former pool's lead is silent.
    cell = two_pools(nodes=4)
    submit_waiting_jobs(cell)
    move_route(cell)
    cell.run(APPLIED_WITHIN_S)
    former_lead = cell.lead_of(FORMER)
    via = next(name for name, node in cell.nodes.items() if not node.leads)
    cell.mute.add(former_lead)
    assert pending(cell, via).kind is Kind.NOT_NOW
    cell.mute.clear()
    cell.run(1.0)
    assert pending(cell, via).pending == WAITING
