"""Whole cells under faults: nothing is lost, run twice or overcommitted."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import msgspec
import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import JobState
from savorylead.pools import RunEnd
from savorylead.resources import Resources
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import PoolCell, job_spec

Kind = CallerAnswer.Kind
#: A cell has its leads by then, and they know their workers.
READY_S = 4.0
Fault = Callable[[PoolCell], None]


def ready_cell(**changes: object) -> PoolCell:
    cell = PoolCell(**changes)
    cell.run(READY_S)
    return cell


def other_node(cell: PoolCell) -> str:
    """Return a node that does not lead."""
    return next(name for name in cell.nodes if name != cell.lead_of())


def states(cell: PoolCell, jobs: list[str]) -> dict[str, JobState | None]:
    via = next(iter(cell.nodes))
    return {job: cell.state(job, via) for job in jobs}


@pytest.mark.parametrize("advised", [False, True])
def test_a_job_is_accepted_and_completed_at_any_node(advised: bool) -> None:
    cell = ready_cell(advised=advised)
    cell.submit("one", job_spec(count=6), other_node(cell))
    cell.run(0.2)
    assert cell.answer("one").kind is Kind.DONE
    cell.run(3.0)
    for name in cell.nodes:
        assert cell.state("one", name) is JobState.COMPLETED
    assert cell.workers.breaches == []
    assert len(cell.workers.records) == 6


def test_a_repeated_submit_stays_one_job() -> None:
    cell = ready_cell()
    for name in cell.nodes:
        cell.submit("one", job_spec(count=2), name)
    cell.run(3.0)
    cell.submit("one", job_spec(count=2), other_node(cell))
    cell.run(3.0)
    assert len(cell.workers.records) == 2


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


def test_a_cancelled_job_is_stopped() -> None:
    cell = ready_cell()
    cell.workers.length_of = lambda _: timedelta(seconds=60)
    cell.submit("one", job_spec(count=4))
    cell.run(1.0)
    cell.cancel("one", other_node(cell))
    cell.run(1.0)
    assert cell.answer("cancel one").kind is Kind.DONE
    assert cell.state("one") is JobState.CANCELLED
    assert not any(m.active for m in cell.workers.machines.values())


def test_jobs_of_a_removed_queue_still_run() -> None:
    cell = ready_cell(workers=1, cores=2)
    cell.submit("one", job_spec(count=6))
    cell.run(0.5)
    cell.put_config(cell.document._replace(version=2, queues=()))
    cell.run(8.0)
    ended = {str(task) for task, _, how in cell.workers.ends if how is RunEnd.DONE}
    assert len(ended) == 6


def test_an_unknown_job_and_an_unknown_key_are_told() -> None:
    cell = ready_cell()
    cell.cancel("none")
    cell.call("state", "/q/x", "node-0", b"", "bad key", key="stolen")
    cell.run(1.0)
    assert cell.answer("cancel none").kind is Kind.NO_JOB
    assert cell.answer("bad key").kind is Kind.UNKNOWN_KEY


def test_a_withdrawn_key_stops_at_a_node_that_is_cut_off() -> None:
    cell = ready_cell()
    cell.views["node-0"].is_cut = True
    cell.put_config(cell.document._replace(version=2, teams=()))
    cell.run(4.9)
    cell.submit("late", job_spec(), "node-0")
    cell.submit("other", job_spec(), "node-1")
    cell.run(2.5)
    assert cell.answer("late").kind is Kind.NOT_NOW
    assert cell.answer("late").retry_after_s is not None
    assert cell.answer("other").kind is Kind.UNKNOWN_KEY


def test_callers_are_turned_away_at_once_while_the_store_is_out_of_reach() -> None:
    # Replays an outage: callers must not wait for two seconds before they hear of it.
    cell = ready_cell()
    cell.store.refuses = True
    cell.run(2.0)
    cell.submit("one", job_spec(), "node-0")
    cell.run(0.1)
    answer = cell.answer("one")
    assert answer is not None
    assert answer.kind is Kind.NOT_NOW
    assert answer.retry_after_s is not None
    cell.store.refuses = False
    cell.run(1.0)
    cell.submit("one", job_spec(), "node-0")
    cell.run(4.0)
    assert cell.state("one", "node-1") is JobState.COMPLETED


@pytest.mark.parametrize("attribute", ["is_refused", "is_cut"])
def test_a_node_that_the_store_turns_away_stores_jobs_through_another(
    attribute: str,
) -> None:
    cell = ready_cell()
    name = other_node(cell)
    setattr(cell.views[name], attribute, True)
    cell.submit("one", job_spec(), name)
    cell.run(1.0)
    answer = cell.answer("one")
    assert answer is not None
    assert answer.kind is Kind.DONE
    cell.run(3.0)
    assert cell.state("one", cell.lead_of()) is JobState.COMPLETED


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
    # Replays a takeover while a worker does not answer: what runs there is the team's.
    cell = ready_cell(workers=2, cores=8, limit=Resources(10_000, 100_000, 0))
    cell.workers.length_of = lambda _: timedelta(seconds=30)
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
    # Replays a planned stop of one pool's lead while another pool is short of a team's
    # limit: the new lead saw not all runs yet and gave its part away.
    cell = ready_cell(
        nodes=4, pools=("a", "b"), workers=4, limit=Resources(10_000, 100_000, 0)
    )
    cell.workers.length_of = lambda _: timedelta(seconds=30)
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


# Faults that befall a cell under load; each takes the cell and returns at once.


def kill_lead(cell: PoolCell) -> None:
    cell.kill(cell.lead_of())


def kill_and_restart_all(cell: PoolCell) -> None:
    for name in list(cell.nodes):
        cell.kill(name)
    cell.run(1.0)
    for name in ("node-0", "node-1", "node-2"):
        cell.start_node(name)


def restart_lead_twice(cell: PoolCell) -> None:
    for _ in range(2):
        name = cell.lead_of()
        cell.kill(name)
        cell.run(0.3)
        cell.start_node(name)
        cell.run(3.0)


def store_refuses(cell: PoolCell) -> None:
    cell.store.refuses = True
    cell.run(4.5)
    cell.store.refuses = False


def store_is_silent_and_leases_pause(cell: PoolCell) -> None:
    cell.store.leases_lapse = False
    cell.store.silent = True
    cell.run(4.5)
    cell.store.silent = False


def answers_of_the_store_are_lost(cell: PoolCell) -> None:
    cell.store.lost_answers = 6


def writes_land_late(cell: PoolCell) -> None:
    cell.store.late_commits = 4


def store_forgets_its_history(cell: PoolCell) -> None:
    cell.store.forget_history()
    cell.run(0.4)
    cell.store.forget_history()


def lead_is_cut_from_the_store(cell: PoolCell) -> None:
    name = cell.lead_of()
    cell.views[name].is_cut = True
    cell.run(5.0)
    cell.views[name].is_cut = False


def lead_alone_is_refused(cell: PoolCell) -> None:
    name = cell.lead_of()
    cell.views[name].is_refused = True
    cell.run(5.0)
    cell.views[name].is_refused = False


def worker_crashes(cell: PoolCell) -> None:
    cell.workers.machines["w0"].crash()
    entry = cell.workers.machines["w0"].entry
    cell.list_worker(entry)


def worker_is_cut_and_runs_on(cell: PoolCell) -> None:
    cell.workers.machines["w0"].is_cut = True
    cell.run(8.0)
    cell.workers.machines["w0"].is_cut = False


def lead_dies_while_a_worker_is_cut(cell: PoolCell) -> None:
    cell.workers.machines["w0"].is_cut = True
    kill_lead(cell)
    cell.run(4.0)
    cell.workers.machines["w0"].is_cut = False


def answers_of_starts_are_lost(cell: PoolCell) -> None:
    for machine in cell.workers.machines.values():
        machine.lost_starts = 2


def starts_are_executed_late(cell: PoolCell) -> None:
    for machine in cell.workers.machines.values():
        machine.late_starts = 2


def late_starts_and_a_new_lead(cell: PoolCell) -> None:
    starts_are_executed_late(cell)
    cell.run(0.6)
    kill_lead(cell)


def lost_answers_and_a_new_lead(cell: PoolCell) -> None:
    answers_of_starts_are_lost(cell)
    answers_of_the_store_are_lost(cell)
    cell.run(0.2)
    kill_lead(cell)


FAULTS = [
    kill_lead,
    kill_and_restart_all,
    restart_lead_twice,
    store_refuses,
    store_is_silent_and_leases_pause,
    answers_of_the_store_are_lost,
    writes_land_late,
    store_forgets_its_history,
    lead_is_cut_from_the_store,
    lead_alone_is_refused,
    worker_crashes,
    worker_is_cut_and_runs_on,
    lead_dies_while_a_worker_is_cut,
    answers_of_starts_are_lost,
    starts_are_executed_late,
    late_starts_and_a_new_lead,
    lost_answers_and_a_new_lead,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("offset_s", [0.0, 0.35, 1.1])
@pytest.mark.parametrize("advised", [False, True])
def test_nothing_is_lost_or_run_twice(
    fault: Fault, offset_s: float, advised: bool
) -> None:
    cell = ready_cell(advised=advised)
    jobs = [f"job{number}" for number in range(12)]
    for number, job in enumerate(jobs):
        cell.submit(job, job_spec(count=5), f"node-{number % 3}")
        cell.run(0.05)
    cell.run(offset_s)
    fault(cell)
    cell.run(35.0)
    assert cell.workers.breaches == []
    for job, state in states(cell, jobs).items():
        answer = cell.answer(job)
        if answer is not None and answer.kind is Kind.DONE:
            assert state is JobState.COMPLETED, job


def test_a_broken_variant_is_caught() -> None:
    # A lead that trusts no lease and waits for no horizon starts tasks again that
    # still run on a worker which it can't reach.
    cell = ready_cell()
    cell.workers.length_of = lambda _: timedelta(seconds=20)
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
    cell.workers.length_of = lambda _: timedelta(seconds=4)
    cell.submit("one", job_spec(count=4))
    cell.run(1.0)
    machine = next(m for m in cell.workers.machines.values() if m.active)
    machine.is_cut = True
    cell.run(11.0)
    assert cell.state("one") is JobState.COMPLETED
    assert cell.workers.breaches == []


def test_a_dead_worker_does_not_hold_up_the_next_lead() -> None:
    # Replays a worker that died long before its lead: the backlog must not wait for
    # its lease again.
    cell = ready_cell(workers=3)
    cell.submit("first", job_spec(count=3))
    cell.run(3.0)
    cell.workers.machines["w0"].is_cut = True
    cell.workers.length_of = lambda _: timedelta(seconds=3)
    for number in range(8):
        cell.submit(f"job{number}", job_spec(count=6))
    cell.run(8.0)
    cell.kill(cell.lead_of())
    cell.run(3.5)
    pool = cell.nodes[cell.lead_of()].leads["pool"]
    assert pool._fleet.is_located()
    assert cell.workers.breaches == []


def test_a_restarted_node_ends_the_lease_of_its_former_process() -> None:
    cell = ready_cell(nodes=1)
    term = cell.nodes["node-0"].terms()["pool"]
    cell.kill("node-0")
    cell.start_node("node-0")
    cell.run(1.0)
    assert cell.nodes["node-0"].terms() == {"pool": term + 1}
