"""On a change of the lead, the two leads do not both send orders, and none twice."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import JobState

from .frozen_cell import FrozenCell
from .test_frozen import submit_jobs, working_cell

#: Longest overlap of the orders of two leads: the former lead learns of the end of its
#: term through a watch, which is answered within a few milliseconds here.
KNOWN_WITHIN = timedelta(milliseconds=10)


def resigns(cell: FrozenCell, lead: str) -> None:
    Deferred.fromCoroutine(cell.nodes[lead].resign())


def is_killed(cell: FrozenCell, lead: str) -> None:
    cell.kill(lead)


def starts_again(cell: FrozenCell, lead: str) -> None:
    cell.kill(lead)
    cell.start_node(lead)


def starts_again_late(cell: FrozenCell, lead: str) -> None:
    cell.kill(lead)
    cell.clock.call_later(timedelta(seconds=1.2), cell.start_node, lead)


def is_cut_from_others(cell: FrozenCell, lead: str) -> None:
    """Cut the lead off from its peers, which end its lease while it keeps running."""
    cell.connect_wait = timedelta(milliseconds=500)
    cell.cut_pairs |= {frozenset({lead, n}) for n in cell.nodes if n != lead}


def is_cut_from_the_store(cell: FrozenCell, lead: str) -> None:
    cell.views[lead].is_cut = True
    cell.clock.call_later(timedelta(seconds=6), setattr, cell.views[lead], "is_cut", 0)


def is_refused_by_the_store(cell: FrozenCell, lead: str) -> None:
    cell.views[lead].is_refused = True


def loses_its_lease(cell: FrozenCell, lead: str) -> None:
    """End the lease as another process of the same name would."""
    cell.store.end_lease(cell.nodes[lead]._lease.id)


CHANGES = [
    resigns,
    is_killed,
    starts_again,
    starts_again_late,
    is_cut_from_others,
    is_cut_from_the_store,
    is_refused_by_the_store,
    loses_its_lease,
]


def disturb_answers(cell: FrozenCell) -> None:
    """Delay a start and lose an answer on every worker; lose two store answers."""
    for machine in cell.workers.machines.values():
        machine.late_starts = 1
        machine.lost_starts = 1
    cell.store.lost_answers = 2


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("is_unkind", [False, True])
@pytest.mark.parametrize("change", CHANGES)
def test_a_change_of_the_lead_orders_nothing_twice(
    change: Callable[[FrozenCell, str], None], is_unkind: bool, seed: int
) -> None:
    cell, jobs = working_cell(seed, nodes=5)
    lead = cell.lead_of()
    if is_unkind:
        disturb_answers(cell)
    change(cell, lead)
    submit_jobs(cell, jobs, 5.0)
    cell.run(25.0)
    assert cell.workers.breaches == []
    assert cell.unpermitted() == []
    assert cell.overlap() <= KNOWN_WITHIN
    via = next(n for n in cell.nodes if n != lead)
    reported_states = {job: cell.state(job, via) for job in jobs}
    assert set(reported_states.values()) == {JobState.COMPLETED}


@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize("change", [is_cut_from_others, loses_its_lease])
def test_a_lead_whose_watch_stands_still_learns_of_its_end_in_time(
    change: Callable[[FrozenCell, str], None], seed: int
) -> None:
    cell, jobs = working_cell(seed, nodes=5)
    # A backlog of work, so that each end of a task leads to a start.
    cell.workers.duration_of = lambda _: timedelta(milliseconds=1_300)
    submit_jobs(cell, jobs, 3.0 + 0.11 * seed)
    lead = cell.lead_of()
    cell.views[lead].is_deaf = True
    change(cell, lead)
    submit_jobs(cell, jobs, 5.0)
    cell.run(25.0)
    assert cell.workers.breaches == []
    assert cell.overlap() <= KNOWN_WITHIN
    via = next(n for n in cell.nodes if n != lead)
    assert {cell.state(job, via) for job in jobs} == {JobState.COMPLETED}
