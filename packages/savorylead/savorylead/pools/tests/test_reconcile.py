"""Conclusions from a worker's report when answers arrive out of order."""

from __future__ import annotations

import pytest

from savorylead.jobs import RunState
from savorylead.pools import (
    ActiveRun,
    Ended,
    EndedRun,
    Listed,
    RunEnd,
    UnknownRun,
    Vanished,
    WorkerReport,
    reconcile,
)

from .pool_cases import NOW_MS, run_on, step_of, worker


def report(
    active: tuple[ActiveRun, ...] = (),
    ended: tuple[EndedRun, ...] = (),
    clock_ms: int = 5_000,
    truncated: bool = False,
) -> WorkerReport:
    return WorkerReport(clock_ms, 1, active, ended, truncated)


@pytest.mark.parametrize(
    "state, confirmed_ago, stopped_ago, void_clock_ms, gone",
    [
        # Confirmed before the report was requested, and missing from it.
        (RunState.RUNNING, 10, 0, 0, True),
        # Confirmed after the request: the report may predate the run.
        (RunState.RUNNING, -10, 0, 0, False),
        # Unanswered start order: gone only once the order has expired.
        (RunState.STARTING, None, 0, 4_999, True),
        (RunState.STARTING, None, 0, 5_001, False),
        # Stop accepted before the request, or after it.
        (RunState.STOPPING, None, 10, 9_000, True),
        (RunState.STOPPING, None, -10, 9_000, False),
        (RunState.STOPPING, 50, None, 0, True),
    ],
)
def test_a_run_that_is_not_listed(
    state: RunState,
    confirmed_ago: int | None,
    stopped_ago: int | None,
    void_clock_ms: int,
    gone: bool,
) -> None:
    one = worker("w")
    run = run_on(one, step_of("j", "normal"), state=state)
    run.confirmed_at_ms = 0 if confirmed_ago is None else NOW_MS - confirmed_ago
    run.stopped_at_ms = NOW_MS - stopped_ago if stopped_ago else 0
    run.void_clock_ms = void_clock_ms
    findings = reconcile(one, report(), 0, NOW_MS)
    assert findings == ([Vanished(run)] if gone else [])


def test_a_cut_off_report_proves_nothing_of_what_it_leaves_out() -> None:
    one = worker("w")
    run_on(one, step_of("j", "normal"))
    assert reconcile(one, report(truncated=True), 0, NOW_MS) == []


def test_ends_are_told_once_and_before_what_runs() -> None:
    one = worker("w")
    step = step_of("j", "normal", count=3)
    run = run_on(one, step, 0)
    old = EndedRun(1, step.tasks[2].name, 1, RunEnd.DONE, "")
    new = EndedRun(2, run.task.name, 1, RunEnd.DONE, "")
    foreign = ActiveRun(step.tasks[1].name, 7, "", 3, 0)
    findings = reconcile(one, report((foreign,), (old, new)), 1, NOW_MS)
    assert findings == [Ended(new, run), UnknownRun(foreign)]


def test_a_listed_run_is_known() -> None:
    one = worker("w")
    run = run_on(one, step_of("j", "normal"))
    active = ActiveRun(run.task.name, 1, "saved", 40, 500)
    assert reconcile(one, report((active,)), 0, NOW_MS) == [Listed(run, active)]
