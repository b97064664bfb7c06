"""Scheduling, takeover and enforcement of limits by the leads of a whole cell."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import JobState
from savorylead.pools import RunEnd, RunRejected, RunStarted
from savorylead.resources import Resources
from savorylead.store import Snapshot
from savorylead.workers import WorkerTimeoutError
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell, StoreView, in_turn, job_spec
from savorylead_standins.pools._pool_cell import WORKERS_PREFIX

from .cell_cases import ready_cell

Kind = CallerAnswer.Kind


def test_steps_wait_for_the_steps_before_them() -> None:
    cell = ready_cell()
    step = job_spec(count=3).steps[0]
    spec = job_spec()._replace(steps=(step, step._replace(after=(0,))))
    cell.submit("one", spec)
    cell.run(6.0)
    first = [r for r in cell.workers.records if r.task.step == 0]
    second = [r for r in cell.workers.records if r.task.step == 1]
    assert len(first) == len(second) == 3
    last_end = max(r.began_at for r in first) + timedelta(seconds=1)
    assert min(r.began_at for r in second) >= last_end
    assert cell.state("one") is JobState.COMPLETED


def test_a_job_has_failed_after_its_attempts() -> None:
    cell = ready_cell()
    cell.workers.how_ends = lambda *_: RunEnd.FAILED
    cell.submit("one", job_spec())
    cell.run(5.0)
    assert cell.state("one") is JobState.FAILED
    assert len(cell.workers.records) == 2


def test_jobs_of_a_removed_queue_still_run() -> None:
    cell = ready_cell(workers=1, cores=2)
    cell.submit("one", job_spec(count=6))
    cell.run(0.5)
    cell.put_config(cell.document._replace(version=2, queues=()))
    cell.run(8.0)
    ended = {str(task) for task, _, how in cell.workers.ends if how is RunEnd.DONE}
    assert len(ended) == 6


def test_a_lead_that_the_store_turns_away_hands_over_before_its_lease_ends() -> None:
    cell = ready_cell()
    name = cell.lead_of()
    cell.views[name].is_refused = True
    cell.run(1.2)
    new_lead = cell.lead_of()
    assert new_lead != name
    cell.views[name].is_refused = False
    cell.run(3.0)
    assert cell.lead_of() == new_lead


def test_a_lead_keeps_its_lease_while_nobody_reaches_the_store() -> None:
    cell = ready_cell()
    name = cell.lead_of()
    cell.store.refuses = True
    cell.store.leases_lapse = False
    cell.run(1.2)
    lead = cell.nodes[name].leads["pool"]
    assert lead.may_act()
    cell.store.refuses = False
    cell.run(2.0)
    assert cell.lead_of() == name


def test_a_long_running_task_is_restarted_however_it_ends() -> None:
    cell = ready_cell()
    ends = iter([RunEnd.FAILED, RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED])
    cell.workers.how_ends = lambda *_: next(ends)
    cell.submit("one", job_spec(long_running=True))
    cell.run(3.5)
    assert len(cell.workers.records) == 4
    assert cell.state("one") is JobState.RUNNING


def test_a_team_stays_below_its_limit_over_two_pools() -> None:
    limit = Resources(6_000, 100_000, 0)
    cell = ready_cell(pools=("a", "b"), limit=limit)
    for number in range(20):
        cell.submit(f"a{number}", job_spec(count=2))
        body_path = f"/b/b{number}"
        cell.call(
            "submit",
            body_path,
            "node-1",
            msgspec.json.encode(job_spec(count=2)),
            f"b{number}",
        )
    most = 0
    for _ in range(300):
        cell.run(0.05)
        running = sum(len(m.active) for m in cell.workers.machines.values())
        most = max(most, running)
    assert most <= 6
    assert most >= 5
    cell.run(10.0)
    assert len(cell.workers.records) == 80


def test_a_new_lead_counts_what_it_cannot_see_yet_against_the_limit() -> None:
    # During a takeover one worker does not answer: its runs still count against the
    # team's limit.
    cell = ready_cell(workers=2, cores=8, limit=Resources(10_000, 100_000, 0))
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    cell.submit("old", job_spec(count=8))
    cell.run(1.0)
    machine = max(cell.workers.machines.values(), key=lambda m: len(m.active))
    assert len(machine.active) == 8
    machine.is_cut = True
    cell.kill(cell.lead_of())
    cell.run(2.3)
    cell.submit("new", job_spec(count=8), next(iter(cell.nodes)))
    most = 0
    for _ in range(40):
        cell.run(0.05)
        running = sum(len(m.active) for m in cell.workers.machines.values())
        most = max(most, running)
    assert most <= 10


def test_a_new_lead_gives_back_no_part_of_a_limit_that_its_pool_uses() -> None:
    # Regression: the lead of one pool stopped as planned while another pool needed more
    # of a team's limit. The new lead did not know all runs yet and gave up its part.
    cell = ready_cell(
        nodes=4, pools=("a", "b"), workers=4, limit=Resources(10_000, 100_000, 0)
    )
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    cell.submit("old", job_spec(count=6))
    cell.run(2.0)
    name = cell.lead_of("a")
    body = msgspec.json.encode(job_spec(count=10))
    via = next(n for n in cell.nodes if n != name)
    cell.call("submit", "/b/new", via, body, "new")
    cell.run(2.0)
    machine = next(m for m in cell.workers.machines.values() if m.active)
    machine.is_cut = True
    Deferred.fromCoroutine(cell.nodes[name].resign())
    most = 0
    for _ in range(300):
        cell.run(0.01)
        running = sum(len(m.active) for m in cell.workers.machines.values())
        most = max(most, running)
    assert cell.lead_of("a") != name
    assert most == 10


def test_a_broken_variant_is_caught() -> None:
    # A lead that ignores leases and does not wait for the horizon restarts tasks that
    # still run on a worker which it cannot reach.
    cell = ready_cell()
    cell.workers.duration_of = lambda _: timedelta(seconds=20)
    cell.submit("one", job_spec(count=8))
    cell.run(1.0)
    machine = next(m for m in cell.workers.machines.values() if m.active)
    machine.is_cut = True
    cell.run(3.0)
    assert cell.workers.breaches == []
    lead = cell.nodes[cell.lead_of()].leads["pool"]
    runs = list(lead._state.workers[machine.entry.id].runs.values())
    lead.lost(None, runs, "without waiting")
    cell.run(1.0)
    assert any("runs twice" in breach for breach in cell.workers.breaches)


def test_tasks_of_a_worker_that_stays_silent_run_elsewhere() -> None:
    cell = ready_cell(workers=2)
    cell.workers.duration_of = lambda _: timedelta(seconds=4)
    cell.submit("one", job_spec(count=4))
    cell.run(1.0)
    machine = next(m for m in cell.workers.machines.values() if m.active)
    machine.is_cut = True
    cell.run(11.0)
    assert cell.state("one") is JobState.COMPLETED
    assert cell.workers.breaches == []


def test_a_dead_worker_does_not_hold_up_the_next_lead() -> None:
    # A worker died long before the lead did: the backlog must not wait for the worker's
    # lease a second time.
    cell = ready_cell(workers=3)
    cell.submit("first", job_spec(count=3))
    cell.run(3.0)
    cell.workers.machines["w0"].is_cut = True
    cell.workers.duration_of = lambda _: timedelta(seconds=3)
    for number in range(8):
        cell.submit(f"job{number}", job_spec(count=6))
    cell.run(8.0)
    cell.kill(cell.lead_of())
    cell.run(3.5)
    pool = cell.nodes[cell.lead_of()].leads["pool"]
    assert pool._fleet.all_runs_located()
    assert cell.workers.breaches == []


def test_a_restarted_node_ends_the_lease_of_its_former_process() -> None:
    cell = ready_cell(nodes=1)
    term = cell.nodes["node-0"].terms()["pool"]
    cell.kill("node-0")
    cell.start_node("node-0")
    cell.run(1.0)
    assert cell.nodes["node-0"].terms() == {"pool": term + 1}


@pytest.mark.parametrize("list_takes_s", [0.0, 0.3, 0.9])
def test_a_new_lead_starts_nothing_on_a_worker_that_said_it_leaves(
    list_takes_s: float,
) -> None:
    # The worker announces that it leaves while there is no lead: the records of the
    # former lead still list it as ready, a backlog waits, and the list of workers is
    # read only later.
    cell = ready_cell()
    cell.kill(cell.lead_of())
    entry = cell.workers.machines["w0"].entry._replace(accepting=False)
    cell.list_worker(entry)
    for view in cell.views.values():
        delay_lists(cell, view, timedelta(seconds=list_takes_s))
    for number in range(8):
        cell.submit(f"job{number}", job_spec(count=6), next(iter(cell.nodes)))
    cell.run(8.0)
    assert cell.workers.records
    assert not [r for r in cell.workers.records if r.worker == "w0"]


def delay_lists(cell: PoolCell, view: StoreView, delay: timedelta) -> None:
    """Delay reads of the list of workers."""
    read = view.list

    async def read_late(prefix: str) -> Snapshot:
        if prefix == WORKERS_PREFIX:
            await cell.clock.sleep(delay)
        return await read(prefix)

    view.list = read_late


@pytest.mark.parametrize("silent", [False, True])
def test_the_next_step_does_not_wait_for_the_store(silent: bool) -> None:
    # Regression: while the store was down, or took 300 ms per answer, each step of a
    # job waited for the store again.
    cell = ready_cell()
    cell.submit("one", in_turn(2, count=3))
    cell.run(0.9)
    cell.store.silent, cell.store.refuses = silent, not silent
    cell.run(0.4)
    assert {record.task.step for record in cell.workers.records} == {0, 1}
    cell.store.silent = cell.store.refuses = False
    cell.run(6.0)
    assert cell.state("one") is JobState.COMPLETED
    assert cell.workers.breaches == []
    assert len(cell.workers.records) == 6


def test_a_task_whose_order_was_lost_starts_elsewhere_at_once() -> None:
    # Regression: when a worker executed an order late or never, the lead learned that
    # the task was not running only from the next report, which waited up to a second
    # for the end of another task.
    cell = ready_cell(workers=2, cores=2)
    cell.workers.duration_of = lambda _: timedelta(seconds=5)
    for number in range(2):
        cell.submit(f"other{number}", job_spec())
        cell.run(0.2)
    start = cell.workers.start
    lost: list[datetime] = []

    async def lose_first(*order: Any) -> RunStarted | RunRejected:
        if not lost:
            lost.append(cell.clock.now())
            await cell.clock.sleep(timedelta(milliseconds=300))
            raise WorkerTimeoutError("no reply in time")
        return await start(*order)

    cell.workers.start = lose_first
    cell.submit("one", job_spec())
    cell.run(2.0)
    (again,) = [r for r in cell.workers.records if r.task.job == "one"]
    assert again.began_at - lost[0] < timedelta(milliseconds=400)
    assert cell.workers.breaches == []


def test_a_node_that_is_cut_from_a_worker_starts_nothing_there() -> None:
    cell = ready_cell(workers=2)
    lead = cell.lead_of()
    cell.cut_from_workers = {(lead, "w0")}
    cell.run(2.0)
    cell.submit("cut", job_spec(count=4), lead)
    cell.run(2.0)
    assert {record.worker for record in cell.workers.records} == {"w1"}
    cell.kill(lead)
    cell.run(8.0)
    cell.submit("reached", job_spec(count=12), cell.lead_of())
    cell.run(2.0)
    assert {record.worker for record in cell.workers.records} == {"w0", "w1"}
    assert cell.workers.breaches == []


def test_the_answers_of_a_worker_are_lost_to_a_node_that_is_cut_from_it() -> None:
    cell = ready_cell(workers=1)
    lead = cell.lead_of()
    cell.workers.duration_of = lambda _: timedelta(seconds=8)
    start = cell.workers.start

    async def cut_after_arrival(*order: Any) -> RunStarted | RunRejected:
        result = await start(*order)
        cell.cut_from_workers = {(lead, "w0")}
        return result

    cell.workers.start = cut_after_arrival
    cell.submit("one", job_spec(), lead)
    cell.run(0.2)
    assert len(cell.workers.records) == 1
    assert cell.state("one", lead) is JobState.QUEUED
    cell.workers.start = start
    cell.cut_from_workers = set()
    cell.run(3.0)
    assert cell.state("one", lead) is JobState.RUNNING
    assert cell.workers.breaches == []
