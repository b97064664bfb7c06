"""Jobs go on after their route, or their service, has left the configuration."""

from __future__ import annotations

import functools
from collections.abc import Callable
from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from savorylead.clock import to_millis
from savorylead.jobs import JobRecord, JobState
from savorylead.pools import Pool, RunEnd, StorePage, StoreRefusedError
from savorylead_daemon.pool._keys import lead_key
from savorylead_standins.pools import (
    MemoryCellStore,
    PoolCell,
    StoreView,
    in_turn,
    job_spec,
)
from savorylead_standins.pools._pool_cell import OPERATORS_PREFIX

from .route_cases import APPLIED_WITHIN_S, FORMER, LATTER, starts, two_pools

STEPS, LASTING = "steps", "lasting"


def remove_route(cell: PoolCell) -> None:
    """Remove the first queue; its pool stays."""
    document = cell.document
    queues = tuple(q for q in document.queues if q.prefix != "/q/")
    cell.put_config(document._replace(version=document.version + 1, queues=queues))


def remove_service(cell: PoolCell) -> None:
    """Remove the first queue and its pool."""
    remove_route(cell)
    document = cell.document
    pools = (Pool(LATTER, False, False),)
    cell.put_config(document._replace(version=document.version + 1, pools=pools))


def kill_lead(cell: PoolCell) -> None:
    lead = cell.lead_of(FORMER)
    cell.kill(lead)
    cell.run(1.0)
    cell.start_node(lead)


def resign_lead(cell: PoolCell) -> None:
    lead = cell.lead_of(FORMER)
    Deferred.fromCoroutine(cell.nodes[lead].resign())
    cell.run(1.0)
    cell.kill(lead)
    cell.start_node(lead)


def restart_all(cell: PoolCell) -> None:
    for name in list(cell.nodes):
        cell.kill(name)
        cell.start_node(name)


@pytest.mark.parametrize(
    "change",
    [kill_lead, resign_lead, restart_all],
    ids=lambda change: change.__name__,
)
@pytest.mark.parametrize(
    "removal", [remove_route, remove_service], ids=lambda removal: removal.__name__
)
@pytest.mark.parametrize("delay_s", [0.0, APPLIED_WITHIN_S])
def test_accepted_jobs_go_on_under_a_new_lead(
    removal: Callable[[PoolCell], None],
    change: Callable[[PoolCell], None],
    delay_s: float,
) -> None:
    # Regression: a new lead knew the queues of the newest configuration only, and a
    # pool that it lacks got no lead, so accepted jobs stopped for good.
    cell = two_pools()
    cell.workers.duration_of = lambda task: timedelta(
        seconds=30 if task.job == LASTING else 4
    )
    cell.submit(STEPS, in_turn(2, 2))
    cell.submit(LASTING, job_spec(long_running=True))
    cell.run(1.0)
    removal(cell)
    cell.run(delay_s)
    change(cell)
    cell.run(20.0)
    assert starts(cell, STEPS) >= 4
    ends = [end for task, _, end in cell.workers.ends if task.job == STEPS]
    assert ends.count(RunEnd.DONE) == 4
    assert cell.workers.breaches == []
    # The task that lasts ends by itself 30 s after its start, and is started again.
    cell.run(20.0)
    assert starts(cell, LASTING) >= 2


def test_a_removed_pool_has_no_lead_once_its_jobs_are_deleted() -> None:
    cell = two_pools()
    cell.submit(STEPS, job_spec())
    cell.run(3.0)
    remove_service(cell)
    kill_lead(cell)
    cell.run(5.0)
    assert any(FORMER in node.leads for node in cell.nodes.values())
    cell.run(230.0)
    assert not any(FORMER in node.leads for node in cell.nodes.values())
    assert all(LATTER in node.view.leads for node in cell.nodes.values())
    assert not any(STEPS in key for key in cell.store.items)


@pytest.mark.parametrize("away_s", [3.0, 240.0])
def test_a_service_that_returns_is_led_again(away_s: float) -> None:
    cell = two_pools()
    document = cell.document
    remove_service(cell)
    cell.run(away_s)
    cell.put_config(document._replace(version=cell.document.version + 1))
    cell.run(4.0)
    cell.submit(STEPS, job_spec())
    cell.run(3.0)
    assert cell.state(STEPS) is JobState.COMPLETED


def cell_about_to_retire_a_pool() -> PoolCell:
    cell = two_pools()
    remove_service(cell)
    cell.run(60.0)
    return cell


@functools.cache
def retires_after_ms() -> int:
    """Return when the pool of such a cell is retired; each cell takes equally long."""
    cell = cell_about_to_retire_a_pool()
    for elapsed_ms in range(20_000):
        if lead_key(FORMER) not in cell.store.items:
            return elapsed_ms
        cell.run(0.001)
    raise AssertionError("the pool was not retired")


@pytest.mark.parametrize("earlier_ms", range(-4, 12))
def test_a_job_that_is_stored_while_its_pool_retires_is_run(earlier_ms: int) -> None:
    # Guards against a pool without a lead that holds a job: a daemon without the store
    # has a peer store a job under the configuration that it read long ago.
    cell = cell_about_to_retire_a_pool()
    via = next(name for name, node in cell.nodes.items() if not node.leads)
    cell.run((retires_after_ms() - earlier_ms) / 1000)
    spec = in_turn(2, 1)
    record = JobRecord(
        STEPS, FORMER, f"q-{FORMER}", "team", to_millis(cell.clock.now()), spec
    )
    Deferred.fromCoroutine(cell.nodes[via].gateway.store_for_peer(record))
    cell.run(20.0)
    assert starts(cell, STEPS) == 2


class ConfigReadLate(StoreView):
    """A store connection that refuses reads of what operators write at first."""

    def __init__(self, store: MemoryCellStore) -> None:
        super().__init__(store)
        self.refuses_config = True

    async def page(self, prefix: str, after: str = "") -> StorePage:
        """Refuse to read the configuration."""
        if self.refuses_config and prefix.startswith(OPERATORS_PREFIX):
            raise StoreRefusedError("refused")
        return await super().page(prefix, after)


@pytest.mark.parametrize("late_s", [0.5, 4.0])
def test_no_daemon_is_elected_before_it_has_read_the_configuration(
    late_s: float,
) -> None:
    # Regression: after a restart of all daemons, one was elected for a pool that may
    # hold jobs before it had read the configuration. It held the pool's key, and did
    # not lead.
    cell = two_pools()
    cell.submit(STEPS, in_turn(3, 1))
    cell.run(0.5)
    for name in list(cell.nodes):
        cell.kill(name)
        cell.views[name] = ConfigReadLate(cell.store)
        cell.start_node(name)
    cell.run(late_s)
    for view in cell.views.values():
        view.refuses_config = False
    cell.run(12.0)
    assert starts(cell, STEPS) == 3
    assert cell.state(STEPS) is JobState.COMPLETED
