"""After a restart, workers that had left and withdrawn keys are not used."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import pytest

from savorylead.jobs import JobState
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell, job_spec
from savorylead_standins.pools._pool_cell import WORKERS_PREFIX

from .cell_cases import other_node, ready_cell, states

Kind = CallerAnswer.Kind
LEFT = "w0"
NEW_KEY = "another key"
#: Tasks per job: the total capacity of all workers.
TASKS = 16


def lead_ends(cell: PoolCell) -> None:
    cell.kill(cell.lead_of())


def lead_restarts(cell: PoolCell) -> None:
    lead = cell.lead_of()
    cell.kill(lead)
    cell.start_node(lead)


def all_restart(cell: PoolCell) -> None:
    for name in list(cell.nodes):
        cell.kill(name)
    for name in list(cell.views):
        cell.start_node(name)


def store_is_away_at_restart(cell: PoolCell) -> None:
    cell.store.silent = True
    cell.clock.call_later(timedelta(seconds=4), setattr, cell.store, "silent", False)
    all_restart(cell)


RESTARTS = [lead_ends, lead_restarts, all_restart, store_is_away_at_restart]


def drains(cell: PoolCell) -> None:
    entry = cell.workers.machines[LEFT].entry
    cell.list_worker(entry._replace(accepting=False))


def is_unlisted(cell: PoolCell) -> None:
    cell.store.delete(WORKERS_PREFIX + LEFT)
    cell.store.wake()


def is_of_another_pool(cell: PoolCell) -> None:
    entry = cell.workers.machines[LEFT].entry
    cell.list_worker(entry._replace(pool="elsewhere"))


@pytest.mark.parametrize("seen_s", [0.0, 2.0])
@pytest.mark.parametrize("restart", RESTARTS)
@pytest.mark.parametrize("leave", [drains, is_unlisted, is_of_another_pool])
def test_a_worker_that_had_left_is_not_used_after_a_restart(
    leave: Callable[[PoolCell], None],
    restart: Callable[[PoolCell], None],
    seen_s: float,
) -> None:
    cell = ready_cell()
    cell.submit("before", job_spec(count=TASKS), "node-1")
    cell.run(2.5)
    assert any(record.worker == LEFT for record in cell.workers.records)
    leave(cell)
    cell.run(seen_s)
    restart(cell)
    began = len(cell.workers.records)
    cell.run(8.0)
    via = next(iter(cell.nodes))
    jobs = [f"later-{number}" for number in range(6)]
    for job in jobs:
        # Enough tasks for every worker, so that each worker in use gets some.
        cell.submit(job, job_spec(count=TASKS), via)
        cell.run(0.5)
    cell.run(12.0)
    assert all(record.worker != LEFT for record in cell.workers.records[began:])
    assert set(states(cell, ["before", *jobs]).values()) == {JobState.COMPLETED}
    assert cell.workers.breaches == []


@pytest.mark.parametrize("seen_s", [0.0, 2.0])
@pytest.mark.parametrize("restart", [lead_restarts, all_restart])
@pytest.mark.parametrize("is_cut", [False, True])
def test_a_key_that_was_withdrawn_does_nothing_after_a_restart(
    is_cut: bool, restart: Callable[[PoolCell], None], seen_s: float
) -> None:
    cell = ready_cell()
    via = cell.lead_of() if restart is lead_restarts else other_node(cell)
    document = cell.document
    (team,) = document.teams
    withdrawn = document._replace(
        version=2, teams=(team._replace(keys=frozenset({NEW_KEY})),)
    )
    cell.put_config(withdrawn)
    cell.run(seen_s)
    restart(cell)
    cell.views[via].is_cut = is_cut
    for number in range(40):
        cell.submit(f"job-{number}", job_spec(), via)
        cell.run(0.2)
    kinds = {cell.answer(f"job-{number}").kind for number in range(40)}
    assert kinds <= {Kind.UNKNOWN_KEY, Kind.NOT_NOW}
    assert not cell.workers.records
