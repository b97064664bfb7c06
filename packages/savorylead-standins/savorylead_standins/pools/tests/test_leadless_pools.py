"""A pool without a lead releases its part of a team's limit once nothing runs there."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.jobs import JobSpec
from savorylead.resources import Resources
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import NeverElected, ready_cell

POOLS = ("a", "b")
CORES = 10
LIMIT = Resources(CORES * 1_000, 100_000, 0)
#: Two leases of a lead, the leases of workers and two reviews of the limits.
RELEASED_AFTER_S = 11.0
LONG = timedelta(seconds=60)
SHORT = timedelta(seconds=1)


def two_pools(seed: int = 1) -> PoolCell:
    """Return a cell of four daemons that can be kept from leading pool b."""
    cell = PoolCell(nodes=0, workers=6, pools=POOLS, limit=LIMIT, seed=seed)
    for number in range(4):
        view = cell.views[f"node-{number}"] = NeverElected(cell.store, "b")
        view.refuses = False
        cell.start_node(f"node-{number}")
    cell.run(4.0)
    return cell


def submit_to_b(cell: PoolCell, name: str, spec: JobSpec) -> None:
    """Submit a job to pool b."""
    via = next(iter(cell.nodes))
    cell.call("submit", f"/b/{name}", via, cell.encode(spec), name)


def running(cell: PoolCell) -> int:
    """Return the number of running one-core tasks."""
    for machine in cell.workers.machines.values():
        machine.expire()
    return sum(len(machine.active) for machine in cell.workers.machines.values())


def most_running(cell: PoolCell, seconds: float) -> int:
    """Advance the clock; return the peak number of running tasks."""
    most = 0
    for _ in range(int(seconds * 50)):
        cell.run(0.02)
        most = max(most, running(cell))
    return most


def refuse_leads_of_b(cell: PoolCell, refuses: bool) -> None:
    """Keep all daemons from becoming the lead of pool b, or allow it again."""
    for view in cell.views.values():
        assert isinstance(view, NeverElected)
        view.refuses = refuses


def test_a_removed_pool_keeps_no_part_of_a_limit() -> None:
    # Regression: a pool was removed and its lead restarted. No daemon succeeded it, and
    # its part of the limit stayed in the record, so jobs of other pools that needed
    # that part never started.
    cell = ready_cell(pools=POOLS, limit=LIMIT, workers=6)
    submit_to_b(cell, "before", job_spec(count=CORES))
    cell.run(4.0)
    queues = tuple(queue for queue in cell.document.queues if queue.pool == "a")
    pools = tuple(pool for pool in cell.document.pools if pool.name == "a")
    cell.put_config(cell.document._replace(version=2, queues=queues, pools=pools))
    cell.run(2.0)
    name = cell.lead_of("b")
    cell.kill(name)
    cell.start_node(name)
    cell.run(RELEASED_AFTER_S)
    cell.submit("after", job_spec(count=CORES), "node-1")
    assert most_running(cell, 3.0) == CORES


def test_a_pool_that_nobody_can_lead_keeps_no_part_of_a_limit() -> None:
    cell = two_pools()
    submit_to_b(cell, "before", job_spec(count=CORES))
    cell.run(4.0)
    refuse_leads_of_b(cell, True)
    cell.kill(cell.lead_of("b"))
    via = next(iter(cell.nodes))
    cell.submit("after", job_spec(count=CORES), via)
    assert most_running(cell, RELEASED_AFTER_S + 3.0) == CORES
    # Once the pool has a lead again, it is granted a part like any other pool.
    refuse_leads_of_b(cell, False)
    cell.run(4.0)
    submit_to_b(cell, "again", job_spec(count=CORES))
    cell.run(4.0)
    started = {r.task.job for r in cell.workers.records}
    assert "again" in started
    assert cell.workers.breaches == []


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cut", [0, 1, 3])
@pytest.mark.parametrize("leadless_s", [0.0, 2.0, 4.0, 6.0, 6.9, 7.5, 8.5, 12.0])
def test_a_part_is_not_used_twice_while_a_pool_has_no_lead(
    leadless_s: float, cut: int, seed: int
) -> None:
    # Tasks of the pool keep running until the leases of its workers expire, also on
    # workers that no daemon reaches.
    cell = two_pools(seed)
    cell.workers.duration_of = lambda _: LONG
    submit_to_b(cell, "old", job_spec(count=CORES))
    cell.run(2.0)
    assert running(cell) == CORES
    cut_off = [m for m in cell.workers.machines.values() if m.active][:cut]
    for machine in cut_off:
        machine.is_cut = True
    refuse_leads_of_b(cell, True)
    cell.kill(cell.lead_of("b"))
    cell.workers.duration_of = lambda task: SHORT if task.job == "new" else LONG
    cell.submit("new", job_spec(count=4 * CORES), next(iter(cell.nodes)))
    most = most_running(cell, leadless_s)
    refuse_leads_of_b(cell, False)
    most = max(most, most_running(cell, 2.0))
    for machine in cut_off:
        machine.is_cut = False
    most = max(most, most_running(cell, 12.0))
    assert most <= CORES
    assert cell.workers.breaches == []
