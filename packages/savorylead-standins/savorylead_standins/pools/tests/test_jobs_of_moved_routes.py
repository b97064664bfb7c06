"""Jobs stay known, and can be cancelled, after their route has moved elsewhere."""

from __future__ import annotations

import pytest

from savorylead.jobs import JobState
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell

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

Kind = CallerAnswer.Kind


def restart(cell: PoolCell, name: str) -> None:
    """Restart a node, which then knows the newest configuration only."""
    cell.kill(name)
    cell.start_node(name)
    cell.run(4.0)


def node_without_lead(cell: PoolCell) -> str:
    """Return the name of a node that leads no pool."""
    return next(name for name, node in cell.nodes.items() if not node.leads)


@pytest.mark.parametrize("is_restarted", [False, True], ids=["", "restarted"])
@FORMER_SERVICE
@pytest.mark.parametrize("before", JOBS_BEFORE, ids=lambda before: before.name)
def test_a_job_is_known_after_its_route_moved(
    before: Before, pools: tuple[str, ...], is_restarted: bool
) -> None:
    # Regression: jobs were looked for in the pools of the newest configuration only, so
    # each GET was answered "no such job" while the job was at work or done.
    cell = two_pools()
    before.happens(cell)
    move_route(cell, pools=pools)
    cell.run(APPLIED_WITHIN_S)
    via = node_without_lead(cell)
    if is_restarted:
        restart(cell, via)
    for node in (via, cell.lead_of(FORMER), cell.lead_of(LATTER)):
        assert cell.state(JOB, node) is before.state


@pytest.mark.parametrize("is_restarted", [False, True], ids=["", "restarted"])
@FORMER_SERVICE
@pytest.mark.parametrize(
    "before", [JOBS_BEFORE[1], JOBS_BEFORE[3]], ids=lambda before: before.name
)
def test_a_job_can_be_cancelled_after_its_route_moved(
    before: Before, pools: tuple[str, ...], is_restarted: bool
) -> None:
    # Regression: DELETE was answered "no such job", and its tasks went on.
    cell = two_pools()
    before.happens(cell)
    move_route(cell, pools=pools)
    cell.run(APPLIED_WITHIN_S)
    via = node_without_lead(cell)
    if is_restarted:
        restart(cell, via)
    cell.cancel(JOB, via)
    cell.run(2.0)
    answer = cell.answer(f"cancel {JOB}")
    assert answer is not None and answer.kind is Kind.DONE
    assert cell.state(JOB, via) is JobState.CANCELLED
    cell.run(8.0)
    assert starts(cell) == before.starts
    assert not any(
        task.job == JOB and end == "done" for task, _, end in cell.workers.ends
    )


@pytest.mark.parametrize("is_restarted", [False, True], ids=["", "restarted"])
def test_a_job_of_an_earlier_build_is_known_while_its_pool_has_a_lead(
    is_restarted: bool,
) -> None:
    # Daemons of earlier versions claim no ids.
    cell = two_pools()
    JOBS_BEFORE[1].happens(cell)
    forget_claim(cell)
    move_route(cell, pools=(LATTER,))
    cell.run(APPLIED_WITHIN_S)
    via = node_without_lead(cell)
    if is_restarted:
        restart(cell, via)
    assert cell.state(JOB, via) is JobState.RUNNING


def test_an_id_that_no_one_submitted_is_unknown_after_a_route_moved() -> None:
    cell = two_pools()
    move_route(cell)
    cell.run(APPLIED_WITHIN_S)
    for node in cell.nodes:
        cell.call("state", "/q/never", node, b"", f"state of never at {node}")
    cell.run(0.5)
    answers = [cell.answer(f"state of never at {node}") for node in cell.nodes]
    assert {answer.kind for answer in answers if answer} == {Kind.NO_JOB}
