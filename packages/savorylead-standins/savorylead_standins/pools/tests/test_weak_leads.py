"""No pool is left with a machine that can't carry it while a strong one lives."""

from __future__ import annotations

import pytest

from savorylead_daemon.pool.node import Machine
from savorylead_standins.pools import PoolCell

from .cell_cases import READY_S

STRONG = Machine(2.15, 100.0, 550)
WEAK = Machine(0.5, 5.0, 200)
NODES = 6
#: A pool without a lead that can carry it is late with urgent jobs after this.
SOON_S = 2.0
POOLS = ("pool", "other")


def unequal_cell(strong: set[int], nodes: int = NODES, seed: int = 1) -> PoolCell:
    """Return a cell of two pools in which the nodes of these numbers are strong."""
    machines = {
        f"node-{number}": STRONG if number in strong else WEAK
        for number in range(NODES)
    }
    return PoolCell(nodes=nodes, pools=POOLS, machines=machines, seed=seed)


def machines_that_lead(cell: PoolCell) -> list[Machine]:
    """Return what the machine of each pool's lead has."""
    return [cell.machines[cell.lead_of(pool)] for pool in POOLS]


@pytest.mark.parametrize("strong", [{0}, {1, 3}, {2, 4}, {4, 5}])
@pytest.mark.parametrize("away_s", [2.1, 2.3, 2.5, 2.8, 3.3, 4.0, 9.0])
@pytest.mark.parametrize("after_s", [0.0, 0.15, 0.4])
def test_no_weak_machine_leads_after_an_outage_of_the_store(
    strong: set[int], away_s: float, after_s: float
) -> None:
    # Replays an outage that ended every lease: a hash of the names chose machines with
    # a quarter of the processor and a twentieth of the link that the pools needed.
    cell = unequal_cell(strong)
    cell.run(READY_S + after_s)
    cell.store.silent = True
    cell.run(away_s)
    cell.store.silent = False
    cell.run(SOON_S)
    assert machines_that_lead(cell) == [STRONG, STRONG]


@pytest.mark.parametrize("strong", [{5}, {1, 3}, {2, 4}, {3, 4, 5}])
@pytest.mark.parametrize("ahead_s", [0.1, 0.3, 1.5])
def test_a_weak_machine_that_starts_first_does_not_keep_the_pools(
    strong: set[int], ahead_s: float
) -> None:
    # Replays a start in which one daemon is up before the others and takes all pools.
    cell = unequal_cell(strong, nodes=0)
    cell.start_node("node-0")
    cell.run(ahead_s)
    for number in range(1, NODES):
        cell.start_node(f"node-{number}")
    cell.run(SOON_S)
    assert machines_that_lead(cell) == [STRONG, STRONG]
