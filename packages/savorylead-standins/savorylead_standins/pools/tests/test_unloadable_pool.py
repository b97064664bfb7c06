"""A lead that cannot read the records of its pool hands the pool over."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead.pools import StorePage
from savorylead.store import StoreTimeoutError
from savorylead_daemon.pool._keys import intake_prefix
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import ready_cell


def lose_listings(cell: PoolCell, name: str) -> None:
    """Make all job listings of a daemon time out; its other calls succeed."""
    view = cell.views[name]
    read = view.page

    async def page(prefix: str, after: str = "") -> StorePage:
        if prefix == intake_prefix("pool"):
            await cell.clock.sleep(timedelta(milliseconds=400))
            raise StoreTimeoutError("no reply in time")
        return await read(prefix, after)

    view.page = page


def next_candidates(cell: PoolCell) -> list[str]:
    """Return the order of succession, found by killing each lead in a trial cell."""
    names = []
    trial = ready_cell(nodes=len(cell.nodes))
    while len(trial.nodes) > 1:
        names.append(trial.lead_of())
        trial.kill(names[-1])
        trial.run(3.0)
    return names


@pytest.mark.parametrize("unable", [1, 2])
def test_a_lead_that_never_loads_does_not_keep_its_pool(unable: int) -> None:
    cell = ready_cell(nodes=5)
    first, *others = next_candidates(cell)
    assert cell.lead_of() == first
    for name in others[:unable]:
        lose_listings(cell, name)
    cell.kill(first)
    via = others[-1]
    cell.submit("one", job_spec(), via)
    cell.run(2.5 + 4.5 * unable)
    assert cell.lead_of() not in others[:unable]
    assert cell.state("one", via) is JobState.COMPLETED
    assert cell.workers.breaches == []


@pytest.mark.parametrize("silent", [False, True])
def test_an_outage_of_the_store_deposes_no_lead_that_loads(silent: bool) -> None:
    cell = ready_cell()
    cell.kill(cell.lead_of())
    while not any(node.leads for node in cell.nodes.values()):
        cell.run(0.001)
    name = cell.lead_of()
    cell.store.silent, cell.store.refuses = silent, not silent
    cell.run(1.5)
    assert not cell.nodes[name].leads["pool"].loaded
    cell.store.silent = cell.store.refuses = False
    cell.run(1.5)
    assert cell.lead_of() == name
    assert cell.nodes[name].leads["pool"].loaded
