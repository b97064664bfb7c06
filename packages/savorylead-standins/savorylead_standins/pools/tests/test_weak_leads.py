"""No pool stays with a machine too weak for it while a strong one is available."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import timedelta

import pytest

from savorylead.clock import Clock
from savorylead.jobs import JobState
from savorylead.pools import Committed, Conflict, Put, StoreRefusedError
from savorylead.store import StoreTimeoutError
from savorylead_daemon.pool._keys import LEAD_PREFIX
from savorylead_daemon.pool.node import Machine
from savorylead_standins.pools import PoolCell, StoreView, job_spec

from .cell_cases import READY_S, NeverElected, states

STRONG = Machine(2.15, 100.0, 550)
WEAK = Machine(0.5, 5.0, 200)
NODES = 6
#: A pool without a sufficiently strong lead for longer delays urgent jobs too much.
RECOVERED_AFTER_S = 2.0
POOLS = ("pool", "other")


def unequal_cell(strong: set[int], nodes: int = NODES, seed: int = 1) -> PoolCell:
    """Return a cell of two pools in which the nodes of these numbers are strong."""
    machines = {
        f"node-{number}": STRONG if number in strong else WEAK
        for number in range(NODES)
    }
    return PoolCell(nodes=nodes, pools=POOLS, machines=machines, seed=seed)


def machines_that_lead(cell: PoolCell) -> list[Machine]:
    """Return the machine of each pool's lead."""
    return [cell.machines[cell.lead_of(pool)] for pool in POOLS]


@pytest.mark.parametrize("strong", [{0}, {1, 3}, {2, 4}, {4, 5}])
@pytest.mark.parametrize("away_s", [2.1, 2.3, 2.5, 2.8, 3.3, 4.0, 9.0])
@pytest.mark.parametrize("after_s", [0.0, 0.15, 0.4])
def test_no_weak_machine_leads_after_an_outage_of_the_store(
    strong: set[int], away_s: float, after_s: float
) -> None:
    # Regression: after an outage that ended every lease, a hash of the names chose
    # machines with a quarter of the CPU and a twentieth of the link that pools needed.
    cell = unequal_cell(strong)
    cell.run(READY_S + after_s)
    cell.store.silent = True
    cell.run(away_s)
    cell.store.silent = False
    cell.run(RECOVERED_AFTER_S)
    assert machines_that_lead(cell) == [STRONG, STRONG]


@pytest.mark.parametrize("strong", [{5}, {1, 3}, {2, 4}, {3, 4, 5}])
@pytest.mark.parametrize("ahead_s", [0.1, 0.3, 1.5])
def test_a_weak_machine_that_starts_first_does_not_keep_the_pools(
    strong: set[int], ahead_s: float
) -> None:
    # Regression: at a start, a daemon that was up before the others took all pools.
    cell = unequal_cell(strong, nodes=0)
    cell.start_node("node-0")
    cell.run(ahead_s)
    for number in range(1, NODES):
        cell.start_node(f"node-{number}")
    cell.run(RECOVERED_AFTER_S)
    assert machines_that_lead(cell) == [STRONG, STRONG]


class FailsToDelete(StoreView):
    """A store view on which deletions of the key of a term fail as configured."""

    def __init__(self, cell: PoolCell, failures: Sequence[str]) -> None:
        super().__init__(cell.store)
        self._clock: Clock = cell.clock
        #: How the next deletions fail: "lost" (the answer), "away" or "refused".
        self.failures = list(failures)

    async def commit(
        self,
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        """Make all changes or none, or fail as configured."""
        is_key = any(key.startswith(LEAD_PREFIX) for key in deletes)
        failure = self.failures.pop(0) if is_key and self.failures else ""
        if failure == "refused":
            raise StoreRefusedError("refused")
        if failure != "away":
            result = await super().commit(expected, puts, deletes)
            if not failure:
                return result
        await self._clock.sleep(timedelta(seconds=1))
        raise StoreTimeoutError("no answer")


def hand_overs(cell: PoolCell) -> dict[str, int]:
    """Return the number of hand-overs of each pool, over all daemons."""
    counts = dict.fromkeys(POOLS, 0)
    for node in cell.nodes.values():
        for (pool, _), count in node.hand_overs().items():
            counts[pool] += count
    return counts


@pytest.mark.parametrize("strong", [{5}, {4, 5}])
def test_a_strong_machine_that_is_never_elected_does_not_make_pools_flap(
    strong: set[int],
) -> None:
    # It is registered, but the store refuses it the keys of leads: without a bound, the
    # weak machines would hand the pools over in turn, each after a second.
    cell = unequal_cell(strong, nodes=0)
    for number in strong:
        cell.views[f"node-{number}"] = NeverElected(cell.store)
    for number in range(NODES):
        cell.start_node(f"node-{number}")
    samples, led = 0, dict.fromkeys(POOLS, 0)
    for window_s in (29, 29):
        before = hand_overs(cell)
        for _ in range(window_s * 20):
            cell.run(0.05)
            samples += 1
            for node in cell.nodes.values():
                for pool in node.leads:
                    led[pool] += 1
        after = hand_overs(cell)
        assert all(after[pool] - before[pool] <= 1 for pool in POOLS)
    assert all(count > 0.97 * samples for count in led.values())


@pytest.mark.parametrize(
    "failures",
    [
        (),
        ("lost",),
        ("away",),
        ("refused", "refused", "refused"),
        ("away", "lost"),
        ("refused", "away", "refused", "lost"),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_hand_over_loses_no_job_and_runs_none_twice(
    failures: tuple[str, ...], seed: int
) -> None:
    # Jobs accepted by the first lead in its term run while its key may still exist.
    machines = {f"node-{number}": WEAK for number in range(4)} | {"node-3": STRONG}
    cell = PoolCell(nodes=0, workers=6, machines=machines, seed=seed)
    cell.workers.duration_of = lambda _: timedelta(seconds=0.7)
    cell.views["node-0"] = FailsToDelete(cell, failures)
    cell.start_node("node-0")
    cell.run(0.5)
    for number in range(1, 4):
        cell.start_node(f"node-{number}")
    jobs = [f"job{number}" for number in range(80)]
    for number, job in enumerate(jobs):
        cell.submit(job, job_spec(), f"node-{number % 2}")
        cell.run(0.05)
    cell.run(8.0)
    assert cell.lead_of() == "node-3"
    assert cell.nodes["node-3"].terms() == {"pool": 2}
    assert sum(cell.nodes["node-0"].hand_overs().values()) == 1
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}
    assert len(cell.workers.records) == len(jobs)
    assert cell.workers.breaches == []


@pytest.mark.parametrize("failures", [(), ("refused",), ("away",), ("lost",)])
@pytest.mark.parametrize("cut_at", [10, 14, 17])
def test_a_hand_over_runs_no_task_of_an_unreached_worker_twice(
    failures: tuple[str, ...], cut_at: int
) -> None:
    # Jobs of the term that ends run on a worker that is unreachable by then. In the
    # same term they would count as new and start on other workers at once.
    machines = {"node-0": WEAK, "node-1": STRONG}
    cell = PoolCell(nodes=0, workers=4, machines=machines)
    cell.workers.duration_of = lambda _: timedelta(seconds=3)
    cell.views["node-0"] = FailsToDelete(cell, failures)
    cell.start_node("node-0")
    cell.run(0.5)
    cell.start_node("node-1")
    for number in range(28):
        cell.submit(f"job{number}", job_spec(), "node-0")
        if number == cut_at:
            cell.workers.machines["w0"].is_cut = True
        cell.run(0.05)
    cell.run(1.5)
    cell.workers.machines["w0"].is_cut = False
    cell.run(14.0)
    assert cell.workers.breaches == []
    jobs = [f"job{number}" for number in range(28)]
    assert set(states(cell, jobs).values()) == {JobState.COMPLETED}
    assert cell.nodes["node-1"].terms() == {"pool": 2}


@pytest.mark.parametrize("leases_lapse", [False, True])
@pytest.mark.parametrize("before_s", [0.3, 0.7, 1.0, 1.02, 1.2, 1.4])
@pytest.mark.parametrize("away_s", [0.4, 1.2, 4.0])
def test_an_outage_during_a_hand_over_leaves_no_pool_without_a_strong_lead(
    leases_lapse: bool, before_s: float, away_s: float
) -> None:
    cell = unequal_cell({5}, nodes=0)
    cell.store.leases_lapse = leases_lapse
    cell.start_node("node-0")
    cell.run(0.3)
    cell.start_node("node-5")
    cell.run(before_s)
    cell.store.silent = True
    cell.run(away_s)
    cell.store.silent = False
    # A call in flight times out after a second.
    cell.run(RECOVERED_AFTER_S + 1.0)
    assert machines_that_lead(cell) == [STRONG, STRONG]
    assert all(count <= 1 for count in hand_overs(cell).values())


@pytest.mark.parametrize(
    "machine", [Machine(), Machine(2.1, 100.0), Machine(1.2, 60.0)]
)
def test_pools_do_not_move_to_machines_that_are_weaker_or_tell_nothing(
    machine: Machine,
) -> None:
    names = [f"node-{number}" for number in range(NODES)]
    machines = {name: machine if name != "node-0" else STRONG for name in names}
    cell = PoolCell(nodes=0, pools=POOLS, machines=machines)
    cell.start_node("node-0")
    cell.run(0.3)
    for name in names[1:]:
        cell.start_node(name)
    cell.run(5.0)
    assert set(cell.nodes["node-0"].leads) == set(POOLS)
