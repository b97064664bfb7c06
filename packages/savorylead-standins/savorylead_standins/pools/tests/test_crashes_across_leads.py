"""Tasks that crash their workers while the pool's lead changes again and again.

A crash is recognized three to four seconds after it happened, when another incarnation
answers. A lead that ends before that leaves the crash to its successor, which has to
learn from the store what ran there.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import JobState
from savorylead.resources import Resources
from savorylead_standins.pools import PoolCell, job_spec

from .cell_cases import LoggedEvent
from .crash_cases import (
    CRASHES,
    MAX_STARTS_AFTER,
    cell_with_crashes,
    starts_of,
    state_of,
    submit_innocent_jobs,
)

#: Time between the stop of a daemon and its next process.
DOWN_S = 0.5
#: Time in which the last lead finds the remaining crashes.
SETTLED_S = 45.0


def leads(cell: PoolCell) -> list[str]:
    return [name for name, node in cell.nodes.items() if "pool" in node.leads]


def stop_as_planned(cell: PoolCell, name: str) -> None:
    Deferred.fromCoroutine(cell.nodes[name].resign())
    cell.run(DOWN_S)
    cell.kill(name)


def kill(cell: PoolCell, name: str) -> None:
    cell.kill(name)
    cell.run(DOWN_S)


class Changes(NamedTuple):
    """How the lead changes."""

    name: str
    stop: Callable[[PoolCell, str], None]
    #: Time between two changes, in seconds.
    every_s: float
    times: int


CHANGES = [
    Changes("planned, 1.3 s", stop_as_planned, 1.3, 20),
    Changes("planned, 3 s", stop_as_planned, 3.0, 14),
    Changes("planned, 4 s", stop_as_planned, 4.0, 12),
    Changes("planned, 5 s", stop_as_planned, 5.0, 10),
    Changes("killed, 4 s", kill, 4.0, 10),
    Changes("killed, 6 s", kill, 6.0, 8),
]


def change_lead(cell: PoolCell, changes: Changes) -> None:
    """Restart the daemon that leads the pool, if one does."""
    for name in leads(cell):
        changes.stop(cell, name)
        cell.start_node(name)


def check_counts(cell: PoolCell, events: list[LoggedEvent]) -> None:
    """Assert that no crash was counted twice under one task."""
    for event in events:
        if event.event == "job_given_up":
            counted = Counter(event.details["crashed_workers"])
            assert counted <= Counter(cell.workers.crashed_workers), event


def check_innocent_jobs(cell: PoolCell, jobs: list[str]) -> None:
    """Assert that jobs are done, or that two workers crashed under one of their tasks.

    With several crashing tasks at once, one lead alone may blame such a neighbour too.
    """
    crashed = set(cell.workers.crashed_workers)
    for job in jobs:
        hit = Counter(
            record.task.index
            for record in cell.workers.records
            if record.task.job == job and record.worker in crashed
        )
        state = state_of(cell, job)
        is_given_up = state is JobState.FAILED and max(hit.values(), default=0) >= 2
        assert state is JobState.COMPLETED or is_given_up, job


@pytest.mark.parametrize("changes", CHANGES, ids=lambda changes: changes.name)
@pytest.mark.parametrize("returns_as_new", [True, False])
@pytest.mark.parametrize("after_ms", [10, 150])
@pytest.mark.parametrize("bad_jobs", [1, 5])
def test_crashes_under_a_task_add_up_over_the_leads(
    events: list[LoggedEvent],
    changes: Changes,
    returns_as_new: bool,
    after_ms: int,
    bad_jobs: int,
) -> None:
    # Guards against the incident of review/10 (BUDGET): each lead forgot the crashes
    # that it had not recognized, and its successor started the task once more.
    cell = cell_with_crashes(
        timedelta(milliseconds=after_ms),
        crashing=lambda task: task.job.startswith("bad") and task.index == 0,
        workers=10,
        nodes=6,
        seed=after_ms + bad_jobs,
    )
    cell.workers.returns_as_new = returns_as_new
    cell.workers.refuses_when_down = True
    innocent = []
    for number in range(bad_jobs):
        innocent += submit_innocent_jobs(cell, 2, prefix=f"good{number}-")
        cell.submit(f"bad{number}", job_spec(count=3), next(iter(cell.nodes)))
        cell.run(0.1)
    for _ in range(changes.times):
        cell.run(changes.every_s)
        change_lead(cell, changes)
    cell.run(SETTLED_S)
    bad = [f"bad{number}" for number in range(bad_jobs)]
    most = max(starts_of(cell, f"{job}.0.0.0") for job in bad)
    assert most <= CRASHES + MAX_STARTS_AFTER
    assert {state_of(cell, job) for job in bad} == {JobState.FAILED}
    check_innocent_jobs(cell, innocent)
    check_counts(cell, events)
    assert cell.workers.breaches == []


@pytest.mark.parametrize("seed", range(20))
def test_drawn_lead_changes_keep_the_budget_of_crashing_tasks(
    events: list[LoggedEvent], seed: int
) -> None:
    rng = random.Random(seed)
    cell = cell_with_crashes(
        timedelta(milliseconds=rng.choice([5, 20, 100, 400])),
        crashing=lambda task: task.job.startswith("bad") and task.index == 0,
        workers=rng.randint(8, 14),
        nodes=6,
        seed=seed,
    )
    cell.workers.returns_as_new = rng.random() < 0.7
    cell.workers.refuses_when_down = rng.random() < 0.7
    bad, innocent = [], []
    every_s = rng.uniform(1.0, 6.0)
    for number in range(12):
        via = rng.choice(list(cell.nodes))
        if number < 6:
            bad.append(f"bad{number}")
            cell.submit(bad[-1], job_spec(count=rng.randint(1, 4)), via)
            innocent += submit_innocent_jobs(cell, 3, prefix=f"good{number}-")
        cell.run(every_s)
        stop = stop_as_planned if rng.random() < 0.7 else kill
        change_lead(cell, Changes("drawn", stop, every_s, 1))
    cell.run(SETTLED_S)
    starts = {job: starts_of(cell, f"{job}.0.0.0") for job in bad}
    assert max(starts.values()) <= CRASHES + MAX_STARTS_AFTER, starts
    check_innocent_jobs(cell, innocent)
    check_counts(cell, events)
    assert cell.workers.breaches == []


@pytest.mark.parametrize("stop", [stop_as_planned, kill])
def test_a_crash_counts_once_however_often_the_lead_changes(
    events: list[LoggedEvent], stop: Callable[[PoolCell, str], None]
) -> None:
    # Regression: the record still held a suspect's run after its crash was counted, so
    # each new lead expected the crashed incarnation, and counted the crash once more.
    cell = cell_with_crashes(nodes=6, workers=2, crashing=lambda _: False)
    cell.workers.duration_of = lambda _: timedelta(hours=1)
    cell.workers.is_long_running = lambda _: True
    cell.submit("beside", job_spec(cores=8, long_running=True))
    cell.submit("one", job_spec(cores=8, long_running=True))
    cell.run(1.0)
    [worker] = [r.worker for r in cell.workers.records if r.task.job == "one"]
    machine = cell.workers.machines[worker]
    machine.crash_and_return(timedelta(seconds=3), is_new_worker=False)
    # The second run is a suspect's, which is recorded before its start.
    cell.run(10.0)
    machine.crash_and_return(timedelta(seconds=3), is_new_worker=False)
    # What returns is too small for the task, which waits from then on.
    machine.entry = machine.entry._replace(capacity=Resources(1_000, 64_000, 0))
    cell.run(4.0)
    for _ in range(6):
        cell.run(2.0)
        change_lead(cell, Changes("", stop, 2.0, 1))
    cell.run(3.0)
    crashes = [e for e in events if e.event == "worker_crashed" and e.details["runs"]]
    assert [e.details["worker"] for e in crashes] == [worker] * 2
    assert state_of(cell, "one") is not JobState.FAILED
