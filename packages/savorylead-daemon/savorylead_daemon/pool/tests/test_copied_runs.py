"""A second run of a task is started or adopted only where its caller permits it."""

from __future__ import annotations

from typing import Any

import pytest

from savorylead.jobs import CopyNotAllowedError, Run, RunState, Task
from savorylead.pools import (
    FULL_POLICY,
    ActiveRun,
    Listed,
    Placement,
    Plan,
    PlannedCopy,
    PoolWorker,
    RunStarted,
    SchedulingPolicy,
    UnknownRun,
)
from savorylead.resources import Resources
from savorylead_daemon.pool._copy_counts import CopyCounter, CopyCounts
from savorylead_daemon.pool._pool_state import PoolState
from savorylead_daemon.pool._report_processor import ReportProcessor
from savorylead_daemon.pool._run_starter import RunStarter

from .test_permission import ENTRY, Bench, step_run

NOT_PERMITTED: list[dict[str, Any]] = [
    {"speculative": False},
    {"speculative": True, "gang": True},
    {"speculative": True, "long_running": True},
    {"speculative": True, "fills": True},
]


class Session:
    """Records the orders to one worker."""

    def __init__(self, worker: PoolWorker) -> None:
        self.worker = worker
        self.incarnation_start_ms = 1
        self.started: list[int] = []
        self.stopped: list[str] = []

    async def confirm_incarnation(self) -> bool:
        return True

    async def start_run(self, run: Run, order: Any) -> RunStarted:
        self.started.append(run.number)
        return RunStarted(1_000)

    def stop_run(self, run: Run, reason: str) -> None:
        run.state = RunState.STOPPING
        self.stopped.append(reason)


class Lead:
    """The parts of a lead that start and adopt runs, with a task that runs on "a"."""

    def __init__(self, policy: SchedulingPolicy, **changes: Any) -> None:
        bench = Bench()
        self.state = PoolState(bench.clock, 1_000, policy)
        self.sessions = {}
        for name in ("a", "b"):
            worker = PoolWorker(ENTRY._replace(id=name))
            self.state.workers[name] = worker
            self.sessions[name] = self.state.sessions[name] = Session(worker)
        self.counts = CopyCounts()
        self.starter = RunStarter(
            self.state,
            bench.log,
            1,
            bench.tasks,
            lambda: True,
            lambda: None,
            bench.crash_tracker(self.state),
            CopyCounter("p", self.counts),
        )
        self.reports = ReportProcessor(self.state, self.starter, None, bench.log)
        step = step_run()
        step.spec = step.spec._replace(**changes)
        self.state.jobs.jobs["j"] = step.job
        self.task: Task = step.tasks[0]
        self.first = Run(self.task, 1, "a", self.state.now_ms())
        self.first.state = RunState.RUNNING
        self.task.run = self.first
        self.task.last_run = 1
        self.state.hold(self.state.workers["a"], self.first)

    def start_copy(self) -> None:
        placement = Placement(self.task, self.state.workers["b"], "")
        plan = Plan([], [], [], {}, {}, [], [])
        copies = [PlannedCopy(placement, "late")]
        self.starter.execute(plan._replace(copies=copies))

    def find_second(self, checkpoint: str = "", percent: int = 0) -> None:
        active = ActiveRun(self.task.name, 2, checkpoint, percent, 0)
        self.reports.apply(self.sessions["b"], [UnknownRun(active)])


@pytest.mark.parametrize("changes", NOT_PERMITTED)
def test_no_plan_starts_a_second_run_without_permission(
    changes: dict[str, Any],
) -> None:
    # Guards the last check before the order, whatever the planner decided.
    lead = Lead(FULL_POLICY, **changes)
    held = lead.state.workers["b"].held
    with pytest.raises(CopyNotAllowedError):
        lead.start_copy()
    assert lead.sessions["b"].started == []
    assert lead.state.workers["b"].held == held
    assert lead.task.copy is None
    assert lead.counts.copies == {}


def test_a_second_run_holds_resources_and_takes_the_place_of_the_first() -> None:
    lead = Lead(FULL_POLICY, speculative=True)
    lead.start_copy()
    second = lead.task.copy
    assert second is not None
    assert lead.sessions["b"].started == [second.number] == [2]
    assert lead.state.held["t"] == Resources(2_000)
    with pytest.raises(CopyNotAllowedError):
        lead.start_copy()
    lead.reports.record_lost(lead.first, "vanished")
    assert lead.task.run is second
    assert lead.task.copy is None
    assert lead.state.held["t"] == Resources(1_000)
    lead.reports.record_lost(second, "vanished")
    # A run that is over twice is counted once.
    lead.reports.record_lost(second, "vanished")
    assert lead.counts.copies == {("p", "started"): 1, ("p", "lost"): 1}
    assert lead.state.held["t"] == Resources()


@pytest.mark.parametrize(
    ("policy", "changes", "is_adopted"),
    [
        (FULL_POLICY, {"speculative": True}, True),
        (SchedulingPolicy(), {"speculative": True}, False),
        *((FULL_POLICY, changes, False) for changes in NOT_PERMITTED),
        *((SchedulingPolicy(), changes, False) for changes in NOT_PERMITTED),
    ],
)
def test_a_second_run_that_is_found_is_adopted_only_with_permission(
    policy: SchedulingPolicy, changes: dict[str, Any], is_adopted: bool
) -> None:
    lead = Lead(policy, **changes)
    lead.find_second()
    assert (lead.task.copy is not None) is is_adopted
    assert lead.task.run is lead.first
    assert lead.sessions["b"].stopped == ([] if is_adopted else ["not_needed"])


def test_a_third_run_that_is_found_is_stopped() -> None:
    lead = Lead(FULL_POLICY, speculative=True)
    lead.find_second()
    third = ActiveRun(lead.task.name, 3, "", 0, 0)
    lead.reports.apply(lead.sessions["a"], [UnknownRun(third)])
    assert lead.sessions["a"].stopped == ["not_needed"]
    assert lead.sessions["b"].stopped == []


@pytest.mark.parametrize(
    ("percent", "checkpoint"), [(20, "of first"), (60, "of second")]
)
def test_the_checkpoint_of_the_run_that_is_ahead_is_kept(
    percent: int, checkpoint: str
) -> None:
    # Guards against work that is lost to the older checkpoint of a slower run.
    lead = Lead(FULL_POLICY, speculative=True, checkpoints=True)
    lead.find_second(percent=percent)
    name = lead.task.name
    for run, worker, text, done in (
        (lead.first, "a", "of first", 40),
        (lead.task.copy, "b", "of second", percent),
        (lead.first, "a", "of first", 40),
    ):
        active = ActiveRun(name, run.number, text, done, 0)
        lead.reports.apply(lead.sessions[worker], [Listed(run, active)])
    assert lead.task.checkpoint == checkpoint
