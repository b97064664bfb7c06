"""A run counts as stalled only while its worker is sending reports."""

from __future__ import annotations

import pytest

from savorylead.jobs import Run, RunState
from savorylead.pools import ActiveRun, Listed, PoolWorker
from savorylead_daemon.pool._copy_counts import CopyCounter, CopyCounts
from savorylead_daemon.pool._pool_state import PoolState
from savorylead_daemon.pool._report_processor import ReportProcessor
from savorylead_daemon.pool._run_starter import RunStarter

from .test_permission import Bench, step_run

#: Reports as pairs of a time in seconds and a progress in percent.
Reports = list[tuple[float, int]]


class Session:
    def __init__(self, worker: PoolWorker) -> None:
        self.worker = worker
        self.stopped: list[str] = []

    def stop_run(self, run: Run, reason: str) -> None:
        run.state = RunState.STOPPING
        self.stopped.append(reason)


def steady(begin: float, end: float, percent: int) -> Reports:
    """Return one report per second with constant progress."""
    return [(begin + n, percent) for n in range(int(end - begin) + 1)]


@pytest.mark.parametrize(
    "reports, is_stalled",
    [
        (steady(0, 2, 40), False),
        (steady(0, 4, 40), True),
        ([(0, 40), (1, 41), (2, 42), (3, 43), (4, 44)], False),
        # The worker or its machine was paused for a while, or was unreachable.
        ([(0, 40), (3, 40)], False),
        ([(0, 40), (4, 40), (4.4, 45)], False),
        ([(0, 40), (1, 41), (5.2, 41), (6.2, 60)], False),
        ([(0, 40), (4, 40), (4.1, 41), (8.1, 41)], False),
        # The worker sends reports again, but the run makes no progress.
        ([(0, 40), *steady(4, 7, 40)], True),
        ([*steady(0, 1, 40), *steady(5, 7, 40)], True),
    ],
)
def test_a_worker_that_was_silent_keeps_its_run(
    reports: Reports, is_stalled: bool
) -> None:
    bench = Bench()
    state = PoolState(bench.clock, 1_000)
    state.workers["w"] = bench.worker
    session = Session(bench.worker)
    crashes = bench.crash_tracker(state)
    starter = RunStarter(
        state,
        bench.log,
        1,
        bench.tasks,
        lambda: True,
        lambda: None,
        crashes,
        CopyCounter("p", CopyCounts()),
    )
    processor = ReportProcessor(state, starter, None, bench.log)
    run = Run(step_run().tasks[0], 1, "w", state.now_ms())
    run.task.run = run
    state.hold(bench.worker, run)
    begun_s = bench.time.seconds()
    for at_s, percent in reports:
        bench.time.advance(begun_s + at_s - bench.time.seconds())
        processor.apply(
            session, [Listed(run, ActiveRun(run.task.name, 1, "", percent, 0))]
        )
    assert session.stopped == ["stalled"] * is_stalled
