"""A lease that a former lead renewed is respected until it has expired."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from savorylead.jobs import Run
from savorylead.pools import RunOrder, RunStarted, UnansweredStarts, WorkerReport
from savorylead.workers import WorkerTimeoutError
from savorylead_daemon.pool._worker_answers import WorkerAnswers
from savorylead_daemon.pool._worker_session import WORKER_LEASE_MS, WorkerSession

from .test_permission import Bench, Owner, step_run

#: The worker's clock when it is claimed, in milliseconds.
CLAIMED_MS = 50_000
SLOW_CLOCK = 0.98


class LossRecordingOwner(Owner):
    def __init__(self, bench: Bench) -> None:
        super().__init__()
        self._bench = bench
        self.lost_at_s: float | None = None

    def lost(self, session: WorkerSession, runs: Any, reason: str) -> None:
        self.lost_at_s = self._bench.time.seconds()
        for run in runs:
            session.worker.remove(run)


class SilentAfterFirstPoll:
    """Answers the first poll and starts; later polls time out."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench
        self.polls = 0
        self.is_silent = False

    async def hold(self, *args: Any) -> WorkerReport:
        self.polls += 1
        if self.polls > 1:
            await self._bench.clock.sleep(timedelta(seconds=1))
            raise WorkerTimeoutError("no answer")
        return WorkerReport(CLAIMED_MS, 1, (), (), False)

    async def start(self, *_: Any) -> RunStarted:
        return RunStarted(CLAIMED_MS)


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_a_run_is_not_given_up_while_a_former_lease_may_hold(delay_s: float) -> None:
    # Guards against declaring a run lost while the former lead's lease may still hold.
    # The worker is claimed with no runs just after the former lead's last task ended. A
    # poll is in flight when a task is started, and the worker answers no later poll.
    bench = Bench()
    owner = LossRecordingOwner(bench)
    calls = SilentAfterFirstPoll(bench)
    answers = WorkerAnswers(bench.clock, lambda: 1)
    session = WorkerSession(
        bench.worker,
        owner,
        calls,
        bench.clock,
        bench.log,
        answers,
        6_000,
        UnansweredStarts(),
    )
    session.start()
    assert session.claimed
    session.poll_soon()
    bench.time.advance(delay_s)
    run = Run(step_run().tasks[0], 1, "w", 1)
    bench.worker.add(run)
    order = RunOrder(run.task.name, 1, "", 0, "", "")
    Deferred.fromCoroutine(session.start_run(run, order))
    bench.time.advance(12.0)
    assert owner.lost_at_s is not None
    # The former lead renewed at the latest at the claim, for the same duration.
    assert owner.lost_at_s * SLOW_CLOCK * 1000 >= WORKER_LEASE_MS
    session.close()
