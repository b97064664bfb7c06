"""Copies of late tasks in whole cells: one of two runs is enough, and none is third."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest

from savorylead.jobs import JobState, TaskName
from savorylead.pools import FULL_POLICY, RunEnd, SchedulingPolicy
from savorylead.resources import Resources
from savorylead_daemon.pool.node import PoolNode
from savorylead_standins.pools import MemoryMachine, PoolCell, job_spec
from savorylead_standins.pools._memory_workers import RunRecord

from .cell_cases import LoggedEvent, ready_cell
from .crash_cases import (
    CRASHES,
    CRASHING_JOB,
    GIVEN_UP_WITHIN_S,
    MAX_STARTS_AFTER,
    cell_with_crashes,
    starts_of,
    state_of,
    submit_innocent_jobs,
)

JOB = "job"
#: Only copies are switched on, so that the tests don't depend on the other decisions.
COPIES = SchedulingPolicy(copy_share=FULL_POLICY.copy_share)


def is_speculative(task: TaskName) -> bool:
    return not task.job.startswith("plain")


def copying_cell(policy: SchedulingPolicy = FULL_POLICY, **changes: Any) -> PoolCell:
    """Return a cell of 64 cores, of which copies may hold 3.2."""
    cell = ready_cell(**{"workers": 8, "policy": policy, **changes})
    cell.workers.may_run_twice = is_speculative
    return cell


def submit(cell: PoolCell, job: str = JOB, **changes: Any) -> None:
    speculative = not job.startswith("plain")
    via = next(iter(cell.nodes))
    cell.submit(job, job_spec(speculative=speculative, **changes), via)


def starts(cell: PoolCell, job: str = JOB) -> list[RunRecord]:
    return [record for record in cell.workers.records if record.task.job == job]


def machine_of(cell: PoolCell, job: str = JOB, index: int = 0) -> MemoryMachine:
    return cell.workers.machines[starts(cell, job)[index].worker]


def active_runs(cell: PoolCell, job: str = JOB) -> list[tuple[str, int]]:
    return [
        key
        for machine in cell.workers.machines.values()
        for key in machine.active
        if key[0].startswith(f"{job}.")
    ]


def state(cell: PoolCell, job: str = JOB) -> JobState | None:
    return cell.state(job, next(iter(cell.nodes)))


def counts(cell: PoolCell, *killed: PoolNode) -> dict[str, int]:
    """Return the numbers of copies by outcome, over all daemons."""
    total: Counter[str] = Counter()
    for node in (*cell.nodes.values(), *killed):
        for (_, outcome), number in node.copy_counts.copies.items():
            total[outcome] += number
    return dict(total)


@pytest.mark.parametrize("policy", [COPIES, FULL_POLICY], ids=["copies", "full"])
@pytest.mark.parametrize("advised", [False, True])
@pytest.mark.parametrize("hangs_at_s", [0.1, 0.5, 0.9])
def test_a_job_on_a_hung_worker_ends_soon(
    events: list[LoggedEvent],
    policy: SchedulingPolicy,
    advised: bool,
    hangs_at_s: float,
) -> None:
    # Without a copy, the task waits until the worker's lease is over, 4.5 s or more.
    cell = copying_cell(policy, advised=advised)
    submit(cell)
    cell.run(hangs_at_s)
    machine_of(cell).is_cut = True
    cell.run(3.2)
    assert state(cell) is JobState.COMPLETED
    first, second = starts(cell)
    assert first.worker != second.worker
    assert second.number > first.number
    assert counts(cell) == {"started": 1, "won": 1}
    logged = [e.details for e in events if e.details.get("copy")]
    assert [(d.get("outcome"), d.get("reason")) for d in logged] == [
        ("started", "silent"),
        ("done", None),
    ]
    # The worker returns while its run may still be active, which is stopped.
    machine_of(cell).is_cut = False
    cell.run(8.0)
    assert active_runs(cell) == []
    assert len(starts(cell)) == 2
    assert cell.workers.breaches == []


@pytest.mark.parametrize(
    ("job", "policy"),
    [("plain", FULL_POLICY), (JOB, SchedulingPolicy())],
    ids=["not speculative", "switched off"],
)
def test_a_task_without_permission_waits_for_its_only_run(
    job: str, policy: SchedulingPolicy
) -> None:
    cell = copying_cell(policy)
    cell.workers.may_run_twice = lambda _: False
    submit(cell, job)
    cell.run(0.5)
    machine_of(cell, job).is_cut = True
    cell.run(3.5)
    assert len(starts(cell, job)) == 1
    cell.run(8.0)
    assert state(cell, job) is JobState.COMPLETED
    assert cell.workers.breaches == []
    assert counts(cell) == {}


def lose_answer(machine: MemoryMachine) -> None:
    machine.lost_starts = 1


def order_late(machine: MemoryMachine) -> None:
    machine.late_starts = 1


@pytest.mark.parametrize("befalls", [lose_answer, order_late])
@pytest.mark.parametrize("job", [JOB, "plain"])
def test_a_start_order_without_an_answer(
    befalls: Callable[[MemoryMachine], None], job: str
) -> None:
    # The run is stopped and its end awaited; only a speculative task runs meanwhile.
    cell = copying_cell()
    for machine in cell.workers.machines.values():
        befalls(machine)
    cell.workers.duration_of = lambda _: timedelta(seconds=0.3)
    submit(cell, job)
    cell.run(6.0)
    assert state(cell, job) is JobState.COMPLETED
    assert cell.workers.breaches == []


def two_runs(cell: PoolCell, seconds: float = 6.0) -> tuple[RunRecord, RunRecord]:
    """Let a copy start beside a slow run, and return both runs."""
    cell.workers.duration_of = lambda _: timedelta(seconds=seconds)
    submit(cell)
    cell.run(2.4)
    first, second = starts(cell)
    assert len(active_runs(cell)) == 2
    return first, second


@pytest.mark.parametrize("ends", ["first", "second"])
@pytest.mark.parametrize("how", [RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED])
def test_the_other_run_goes_on_unless_the_task_is_done(ends: str, how: RunEnd) -> None:
    cell = copying_cell(COPIES)
    runs = two_runs(cell)
    ending = runs[ends == "second"]
    machine = cell.workers.machines[ending.worker]
    machine._end((str(ending.task), ending.number), how)
    cell.run(0.5)
    if how is RunEnd.DONE:
        assert active_runs(cell) == []
        assert state(cell) is JobState.COMPLETED
        assert counts(cell)["won" if ends == "second" else "lost"] == 1
    else:
        other = runs[ends == "first"]
        assert (str(other.task), other.number) in active_runs(cell)
        assert state(cell) is JobState.RUNNING
        cell.run(12.0)
        assert state(cell) is JobState.COMPLETED
    assert cell.workers.breaches == []


def test_two_failed_runs_are_two_attempts() -> None:
    cell = copying_cell(COPIES)
    runs = two_runs(cell)
    for run in runs:
        machine = cell.workers.machines[run.worker]
        machine._end((str(run.task), run.number), RunEnd.FAILED)
    cell.run(2.0)
    assert state(cell) is JobState.FAILED
    assert active_runs(cell) == []
    assert len(starts(cell)) == 2


@pytest.mark.parametrize("apart_ms", [0, 1, 5])
def test_two_runs_that_are_done_nearly_at_once_are_one_end(apart_ms: int) -> None:
    cell = copying_cell(COPIES)
    for run in two_runs(cell):
        machine = cell.workers.machines[run.worker]
        machine._end((str(run.task), run.number), RunEnd.DONE)
        cell.run(apart_ms / 1000)
    cell.run(2.0)
    assert state(cell) is JobState.COMPLETED
    assert len(starts(cell)) == 2
    assert counts(cell)["started"] == 1
    assert cell.workers.breaches == []


@pytest.mark.parametrize("how", ["cancelled", "failed"])
def test_both_runs_are_stopped_when_their_job_ends(how: str) -> None:
    cell = copying_cell(COPIES)
    cell.workers.duration_of = lambda _: timedelta(seconds=20)
    submit(cell, count=2)
    cell.run(2.4)
    assert len(active_runs(cell)) == 4
    if how == "cancelled":
        cell.cancel(JOB)
    else:
        # Two failed runs of one task end the job.
        for record in starts(cell):
            if record.task.index == 0:
                machine = cell.workers.machines[record.worker]
                machine._end((str(record.task), record.number), RunEnd.FAILED)
    cell.run(1.0)
    assert active_runs(cell) == []
    assert state(cell) is JobState[how.upper()]
    lead = cell.nodes[cell.lead_of()].leads["pool"]
    assert lead._state.held["team"] == Resources()
    assert counts(cell) == {"started": 2, "lost": 2}


@pytest.mark.parametrize("hung", [0, 1], ids=["first", "second"])
def test_a_run_whose_worker_crashes_leaves_the_other(
    events: list[LoggedEvent], hung: int
) -> None:
    cell = copying_cell(COPIES)
    runs = two_runs(cell, seconds=12.0)
    crashed = cell.workers.machines[runs[hung].worker]
    crashed.crash_and_return(timedelta(seconds=3.2), True)
    cell.run(8.0)
    assert len(starts(cell)) == 2
    assert len(active_runs(cell)) == 1
    cell.run(8.0)
    assert state(cell) is JobState.COMPLETED
    assert [e for e in events if e.event == "job_given_up"] == []
    assert cell.workers.breaches == []


@pytest.mark.parametrize("policy", [COPIES, FULL_POLICY], ids=["copies", "full"])
@pytest.mark.parametrize("returns_as_new", [True, False])
@pytest.mark.parametrize("after_ms", [10, 700])
def test_a_speculative_task_that_crashes_its_workers_is_given_up_as_soon(
    policy: SchedulingPolicy, returns_as_new: bool, after_ms: int
) -> None:
    # Guards against copies of a crashing task that take along one worker after the
    # other before the first crash is known.
    cell = cell_with_crashes(timedelta(milliseconds=after_ms), workers=8, policy=policy)
    cell.workers.may_run_twice = lambda _: True
    cell.workers.returns_as_new = returns_as_new
    spec = job_spec(count=2, speculative=True)
    innocent = submit_innocent_jobs(cell, 6, spec)
    cell.submit(CRASHING_JOB, spec)
    cell.run(GIVEN_UP_WITHIN_S + 10.0)
    assert starts_of(cell) <= CRASHES + MAX_STARTS_AFTER
    assert state_of(cell, CRASHING_JOB) is JobState.FAILED
    assert {state_of(cell, job) for job in innocent} == {JobState.COMPLETED}
    assert cell.workers.breaches == []


@pytest.mark.parametrize("lost_first", [False, True])
@pytest.mark.parametrize("policy", [COPIES, FULL_POLICY], ids=["copies", "full"])
def test_a_new_lead_adopts_both_runs(
    events: list[LoggedEvent], policy: SchedulingPolicy, lost_first: bool
) -> None:
    # Guards against a second run that is stopped, or a third one that is started.
    cell = copying_cell(policy)
    runs = two_runs(cell, seconds=14.0)
    if lost_first:
        cell.workers.machines[runs[0].worker].is_cut = True
    cell.kill(cell.lead_of())
    cell.run(4.0)
    adopted = [e.details for e in events if e.event == "run_adopted"]
    assert len(adopted) == (1 if lost_first else 2)
    assert [d.get("copy") for d in adopted].count(True) == (0 if lost_first else 1)
    assert len(starts(cell)) == 2
    cell.run(12.0)
    assert state(cell) is JobState.COMPLETED
    cell.run(3.0)
    assert active_runs(cell) == []
    assert cell.workers.breaches == []


@pytest.mark.parametrize("policy", [FULL_POLICY, SchedulingPolicy()])
def test_a_new_lead_stops_a_second_run_that_nobody_permitted(
    policy: SchedulingPolicy,
) -> None:
    # Guards the rule for all tasks that are not speculative: two runs of one, as an
    # earlier lead may leave them behind, are not adopted.
    cell = copying_cell(policy)
    cell.workers.duration_of = lambda _: timedelta(seconds=30)
    submit(cell, "plain")
    cell.run(0.5)
    first = starts(cell, "plain")[0]
    order = machine_of(cell, "plain").active[(str(first.task), first.number)].order
    other = next(m for n, m in cell.workers.machines.items() if n != first.worker)
    other.start(order._replace(number=first.number + 1), first.fence)
    cell.kill(cell.lead_of())
    # Idle workers are recorded too, so the new lead asks all of them.
    cell.run(6.0)
    assert len(active_runs(cell, "plain")) == 1


@pytest.mark.parametrize(
    ("limit", "copied"), [(Resources(1_500), False), (Resources(4_000), True)]
)
def test_copies_count_towards_the_limit_of_their_team(
    limit: Resources, copied: bool
) -> None:
    cell = copying_cell(COPIES, limit=limit)
    cell.workers.duration_of = lambda _: timedelta(seconds=6)
    submit(cell)
    cell.run(2.0)
    assert len(active_runs(cell)) == 1 + copied
    lead = cell.nodes[cell.lead_of()].leads["pool"]
    assert lead._state.held["team"].cores_milli == 1_000 * (1 + copied)


@pytest.mark.parametrize("policy", [COPIES, FULL_POLICY], ids=["copies", "full"])
@pytest.mark.parametrize("seed", range(10))
def test_drawn_cells_run_nothing_twice_without_permission(
    policy: SchedulingPolicy, seed: int
) -> None:
    """Workers hang, crash and lose answers, and a lead is killed; every job ends."""
    rng = random.Random(seed)
    cell = copying_cell(policy, seed=seed, advised=seed % 2 == 0)
    lengths: dict[str, timedelta] = {}

    def duration_of(task: TaskName) -> timedelta:
        length = timedelta(seconds=rng.choice([0.2, 0.5, 0.7, 1.0, 3.0, 7.0]))
        return lengths.setdefault(str(task), length)

    cell.workers.duration_of = duration_of
    cell.workers.loses_hold = lambda: rng.random() < 0.03
    cell.workers.how_ends = lambda *_: (
        RunEnd.FAILED if rng.random() < 0.02 else RunEnd.DONE
    )
    jobs = []
    killed: list[PoolNode] = []
    killed_at = rng.randrange(40)
    for turn in range(24):
        job = f"{rng.choice(['plain', 'copied'])}-{turn}"
        jobs.append(job)
        submit(cell, job, count=rng.randint(1, 4), checkpoints=rng.random() < 0.3)
        machine = rng.choice(list(cell.workers.machines.values()))
        if rng.random() < 0.25 and not machine.is_cut and not machine.is_replaced:
            if rng.random() < 0.3:
                machine.crash_and_return(timedelta(seconds=3.2), rng.random() < 0.5)
            else:
                machine.is_cut = True
                cell.clock.call_later(
                    timedelta(seconds=rng.uniform(0.3, 7.0)),
                    lambda machine=machine: setattr(machine, "is_cut", False),
                )
        if rng.random() < 0.2:
            machine.lost_starts += 1
        if rng.random() < 0.1:
            cell.cancel(rng.choice(jobs), next(iter(cell.nodes)))
        if turn == killed_at:
            killed.append(cell.nodes[cell.lead_of()])
            cell.kill(cell.lead_of())
        cell.run(rng.uniform(0.1, 0.8))
    cell.workers.loses_hold = lambda: False
    cell.run(40.0)
    final = {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
    assert {state(cell, job) for job in jobs} <= final
    assert cell.workers.breaches == []
    assert all(not machine.active for machine in cell.workers.machines.values())
    lead = cell.nodes[cell.lead_of()].leads["pool"]
    assert lead._state.held.get("team", Resources()) == Resources()
    total = counts(cell, *killed)
    assert total["started"] > 0
    if not killed:
        # Each copy is counted once, however it ends.
        assert total["started"] == total.get("won", 0) + total.get("lost", 0)
