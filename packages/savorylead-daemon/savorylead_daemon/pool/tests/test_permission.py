"""Orders are sent only by a lead that may act at the moment of sending."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.jobs import Job, JobRecord, JobSpec, Run, RunState, StepSpec
from savorylead.pools import (
    Placement,
    Plan,
    PlannedGang,
    PoolWorker,
    UnansweredStarts,
    WorkerEntry,
    WorkerReport,
)
from savorylead.resources import Resources
from savorylead_daemon.concurrency import TaskSet
from savorylead_daemon.observability import EventLog
from savorylead_daemon.pool._copy_counts import CopyCounter, CopyCounts
from savorylead_daemon.pool._crash_tracker import CrashCounts, CrashTracker
from savorylead_daemon.pool._pace_orders import PaceOrders
from savorylead_daemon.pool._pool_state import PoolState
from savorylead_daemon.pool._run_starter import RunStarter
from savorylead_daemon.pool._session_owner import SessionOwner
from savorylead_daemon.pool._worker_answers import CLAIMS_AT_ONCE, WorkerAnswers
from savorylead_daemon.pool._worker_session import WORKER_LEASE_MS, WorkerSession
from savorylead_standins.time import SteppedTime

ENTRY = WorkerEntry("w", "p", "w", "z", Resources(8_000, 8_000), (), "r", True, 1)


class Owner(SessionOwner):
    """A lead whose permission to act is controlled by the test."""

    fence = 3

    def __init__(self) -> None:
        self.is_permitted = True
        #: Remaining checks that grant permission; None for no limit.
        self.checks: int | None = None
        self.is_loaded = True

    def may_act(self) -> bool:
        if self.checks is not None:
            self.checks -= 1
            return self.checks >= 0
        return self.is_permitted

    def worker_lease_ms(self) -> int:
        return WORKER_LEASE_MS

    def can_apply_reports(self) -> bool:
        return self.is_loaded

    def superseded(self) -> None:
        raise AssertionError("unexpected call of superseded()")

    def apply(
        self, session: WorkerSession, findings: Sequence[Any], report: WorkerReport
    ) -> None:
        pass

    def lost(self, session: WorkerSession, runs: Sequence[Run], reason: str) -> None:
        pass

    def count_unanswered_start(self, event: str) -> None:
        pass

    def worker_silent(self, worker: PoolWorker) -> None:
        pass

    def worker_answered(self, worker: PoolWorker) -> None:
        pass

    def worker_ended(
        self, session: WorkerSession, runs: Sequence[Run], is_certain: bool
    ) -> None:
        pass

    def worker_listed(self, worker: PoolWorker) -> None:
        pass

    async def wait_until_durable(self) -> None:
        pass


class Calls:
    """Records the calls and answers each at once."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    async def hold(self, *_: Any) -> WorkerReport:
        self.sent.append("hold")
        return WorkerReport(1_000, 1, (), (), False)

    async def pace(self, *_: Any) -> None:
        self.sent.append("pace")

    async def stop(self, *_: Any) -> None:
        self.sent.append("stop")


class Bench:
    def __init__(self) -> None:
        self.time = SteppedTime()
        self.clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.log = EventLog(self.clock, 1)
        self.owner = Owner()
        self.calls = Calls()
        self.worker = PoolWorker(ENTRY)
        self.tasks = TaskSet()

    def crash_tracker(self, state: PoolState) -> CrashTracker:
        """Return a tracker for tests without crashes."""
        return CrashTracker("p", state, self.log, CrashCounts(), None, None)


def step_run(count: int = 1, gang: bool = False) -> Any:
    spec = JobSpec("", (StepSpec(count, Resources(1_000), gang=gang),))
    job = Job(JobRecord("j", "p", "q", "t", 1, spec), 1)
    job.open_due(1)
    return job.occurrences[0][0]


@pytest.mark.parametrize("is_permitted", [True, False])
def test_a_pace_is_sent_only_with_permission(is_permitted: bool) -> None:
    bench = Bench()
    orders = PaceOrders(bench.worker, bench.owner, bench.calls, bench.log, bench.tasks)
    run = Run(step_run().tasks[0], 1, "w", 1)
    bench.owner.is_permitted = is_permitted
    orders.send(run, 30)
    assert bench.calls.sent == ["pace"] * is_permitted
    # A pace that was not sent is decided again at the next report.
    assert run.pace_percent == (30 if is_permitted else 100)


@pytest.mark.parametrize("is_loaded", [True, False])
@pytest.mark.parametrize("is_permitted", [True, False])
def test_a_first_look_that_waited_for_its_turn_needs_permission_still(
    is_permitted: bool, is_loaded: bool
) -> None:
    bench = Bench()
    answers = WorkerAnswers(bench.clock, lambda: 1)
    for _ in range(CLAIMS_AT_ONCE):
        answers._claims.acquire()
    session = WorkerSession(
        bench.worker,
        bench.owner,
        bench.calls,
        bench.clock,
        bench.log,
        answers,
        6_000,
        UnansweredStarts(),
    )
    bench.owner.is_loaded = is_loaded
    session.start()
    bench.time.advance(2.0)
    assert bench.calls.sent == []
    bench.owner.is_permitted = is_permitted
    answers._claims.release()
    bench.time.advance(0.5)
    assert bool(bench.calls.sent) is is_permitted
    session.close()


class Session:
    """Never answers a start; records the started and stopped runs."""

    def __init__(self) -> None:
        self.started: list[Run] = []
        self.stopped: list[Run] = []

    async def confirm_incarnation(self) -> bool:
        return True

    async def start_run(self, run: Run, order: Any) -> None:
        self.started.append(run)
        await Deferred()

    def stop_run(self, run: Run, reason: str) -> None:
        run.state = RunState.STOPPING
        self.stopped.append(run)


@pytest.mark.parametrize("checks", [0, 1, 2, 3])
def test_a_gang_whose_lead_lost_its_permission_half_way_is_stopped_whole(
    checks: int,
) -> None:
    bench = Bench()
    state = PoolState(bench.clock, 1_000)
    state.workers["w"] = bench.worker
    session = state.sessions["w"] = Session()
    step = step_run(3, gang=True)
    crashes = bench.crash_tracker(state)
    starter = RunStarter(
        state,
        bench.log,
        1,
        bench.tasks,
        bench.owner.may_act,
        lambda: None,
        crashes,
        CopyCounter("p", CopyCounts()),
    )
    bench.owner.checks = checks
    placements = tuple(Placement(t, bench.worker, "") for t in step.tasks)
    starter.execute(Plan([], [PlannedGang(step, placements)], [], {}, {}, [], []))
    assert len(session.started) == checks
    is_whole = checks == step.spec.count
    stopped = [run for run in session.started if run in session.stopped]
    assert stopped == ([] if is_whole else session.started)
    assert len(step.running()) == checks
    assert bench.worker.held == Resources(1_000).times(checks)
