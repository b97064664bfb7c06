"""A worker has ended once another one answers at its address."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from savorylead.jobs import Run
from savorylead.pools import (
    RunOrder,
    RunStarted,
    UnansweredStarts,
    WorkerReport,
    WrongIncarnationError,
)
from savorylead.workers import WorkerTimeoutError
from savorylead_daemon.pool._worker_answers import WorkerAnswers
from savorylead_daemon.pool._worker_session import WORKER_LEASE_MS, WorkerSession

from .test_former_lease import CLAIMED_MS, LossRecordingOwner
from .test_permission import Bench, step_run

#: Time in which a replaced worker is noticed: a poll and its retry.
NOTICED_WITHIN_S = 1.0


class SilentThenReplaced:
    """Answers the first poll, then nothing, and later another worker answers."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench
        self.polls = 0
        self.is_replaced = False

    async def hold(self, *args: Any) -> WorkerReport:
        self.polls += 1
        if self.is_replaced:
            raise WrongIncarnationError
        if self.polls > 1:
            await self._bench.clock.sleep(timedelta(milliseconds=100))
            raise WorkerTimeoutError("no answer")
        return WorkerReport(CLAIMED_MS, 1, (), (), False)

    async def start(self, *_: Any) -> RunStarted:
        return RunStarted(CLAIMED_MS)


class Scenario:
    """A session with one run, whose worker does not answer any more."""

    def __init__(self) -> None:
        self.bench = Bench()
        self.owner = LossRecordingOwner(self.bench)
        self.calls = SilentThenReplaced(self.bench)
        bench = self.bench
        answers = WorkerAnswers(bench.clock, lambda: 1)
        self.session = WorkerSession(
            bench.worker,
            self.owner,
            self.calls,
            bench.clock,
            bench.log,
            answers,
            6_000,
            UnansweredStarts(),
        )
        self.session.start()
        self.session.poll_soon()
        self.run = Run(step_run().tasks[0], 1, "w", 1)
        bench.worker.add(self.run)
        order = RunOrder(self.run.task.name, 1, "", 0, "", "")
        Deferred.fromCoroutine(self.session.start_run(self.run, order))
        bench.time.advance(0.5)


def test_runs_of_a_replaced_worker_are_over_at_once() -> None:
    scenario = Scenario()
    assert scenario.owner.lost_at_s is None
    scenario.calls.is_replaced = True
    scenario.bench.time.advance(NOTICED_WITHIN_S)
    lost_at_s = scenario.owner.lost_at_s
    assert lost_at_s is not None
    assert lost_at_s < WORKER_LEASE_MS / 1000
    assert scenario.session.is_replaced


def test_a_worker_that_moved_to_another_address_keeps_its_runs() -> None:
    # The answer at the former address says nothing about runs at the present one.
    scenario = Scenario()
    worker = scenario.bench.worker

    async def hold_at_former_address(*args: Any) -> WorkerReport:
        worker.entry = worker.entry._replace(address=f"w{scenario.calls.polls}:1")
        scenario.calls.polls += 1
        raise WrongIncarnationError

    scenario.calls.hold = hold_at_former_address
    scenario.bench.time.advance(NOTICED_WITHIN_S)
    assert scenario.owner.lost_at_s is None
    assert not scenario.session.is_replaced
