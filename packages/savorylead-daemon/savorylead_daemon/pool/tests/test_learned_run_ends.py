"""A lead counts steps and workers in stalls and in moves off leaving workers."""

from __future__ import annotations

import pytest

from savorylead.jobs import Run, RunState, StepRun
from savorylead.pools import (
    ActiveRun,
    Listed,
    PoolPlanner,
    Queue,
    QueueDurations,
    SchedulingPolicy,
)
from savorylead_daemon.pool._copy_counts import CopyCounter, CopyCounts
from savorylead_daemon.pool._pool_fleet import PoolFleet
from savorylead_daemon.pool._pool_state import PoolState
from savorylead_daemon.pool._report_processor import ReportProcessor
from savorylead_daemon.pool._run_starter import RunStarter
from savorylead_daemon.pool._term import Term

from .test_permission import Bench, step_run
from .test_still_runs import Session


class FixedDurations(QueueDurations):
    """Each step takes as long as the test says, on a worker of the test's factor."""

    def __init__(self, step_ms: float, factor: float) -> None:
        super().__init__()
        self._step_ms = step_ms
        self._factor = factor

    def step_ms(self, step: StepRun) -> float:
        return self._step_ms

    def factor(self, worker: str) -> float:
        return self._factor


def lead_state(bench: Bench, policy: SchedulingPolicy) -> PoolState:
    """Return a state in which queue q is the most urgent one."""
    state = PoolState(bench.clock, 1_000, policy)
    state.workers["w"] = bench.worker
    urgent = Queue("q", "h", "/q/", "p", 0, 2, 1.5, 250, False, None)
    state.queues["q"] = urgent
    return state


@pytest.mark.parametrize("learns, is_stalled", [(True, True), (False, False)])
def test_an_urgent_run_stalls_earlier_if_durations_are_learned(
    learns: bool, is_stalled: bool
) -> None:
    # Tasks of 0.7 s on hung workers were stopped after 2.5 s or more, when their jobs
    # were late already.
    bench = Bench()
    state = lead_state(bench, SchedulingPolicy(learns_durations=learns))
    state.planner.durations = FixedDurations(700, 1.0)
    session = Session(bench.worker)
    crashes = bench.crash_tracker(state)
    copies = CopyCounter("p", CopyCounts())
    starter = RunStarter(
        state, bench.log, 1, bench.tasks, lambda: True, lambda: None, crashes, copies
    )
    processor = ReportProcessor(state, starter, None, bench.log)
    run = Run(step_run().tasks[0], 1, "w", state.now_ms())
    run.task.run = run
    state.hold(bench.worker, run)
    for after_s in (0, 1, 1):
        bench.time.advance(after_s)
        processor.apply(session, [Listed(run, ActiveRun(run.task.name, 1, "", 0, 0))])
    assert session.stopped == ["stalled"] * is_stalled


@pytest.mark.parametrize(
    "step_ms, factor, percent, moves",
    [
        # The worker leaves in 2 s; a run must end 0.5 s before.
        (1_400, 1.0, 0, False),
        (1_400, 1.3, 0, True),
        (2_800, 0.5, 0, False),
        (2_800, 1.0, 0, True),
        (2_800, 1.0, 60, False),
        (4_900, 0.5, 0, True),
    ],
)
def test_a_run_leaves_with_its_worker_unless_it_ends_before(
    step_ms: float, factor: float, percent: int, moves: bool
) -> None:
    # A stop costs a second, so a run that a fast worker completes in time is not moved.
    bench = Bench()
    state = lead_state(bench, SchedulingPolicy(learns_durations=True))
    state.planner = PoolPlanner(state.planner.policy, FixedDurations(step_ms, factor))
    fleet = PoolFleet(
        state,
        bench.owner,
        bench.calls,
        None,
        bench.clock,
        bench.log,
        Term("p", 1, "lead/p", 1),
        1_000,
    )
    step = step_run()
    step.spec = step.spec._replace(checkpoints=True)
    run = Run(step.tasks[0], 1, "w", state.now_ms())
    run.state, run.percent = RunState.RUNNING, percent
    bench.worker.entry = bench.worker.entry._replace(
        accepting=False, remaining_ms=2_000
    )
    state.hold(bench.worker, run)
    session = Session(bench.worker)
    state.sessions["w"] = session
    fleet._drain_leaving_workers()
    assert session.stopped == ["worker_leaving"] * moves
