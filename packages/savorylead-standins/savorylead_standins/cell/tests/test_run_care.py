"""Failing workers and jobs, impossible requests, deadlines and cancellation."""

import json
from datetime import timedelta

import pytest

from savorylead.outcomes import Cancelled, Done, Failed, NotRun, Refusal
from savorylead_daemon.services import RequestName
from savorylead_standins.cell import CellShape, FakeCell, key_of
from savorylead_standins.checkers import check_all


def begun(**shape):
    cell = FakeCell(7, CellShape(daemons=1, domains=1, **shape))
    cell.begin()
    cell.run(5)
    return cell


def submit(cell, count, prefix="r", payload=None, **fields):
    names = [f"{prefix}{number}" for number in range(count)]
    tasks = [
        {
            "request": name,
            "workspace": "main",
            "queue": "day",
            "kind": "batch",
            "resources": {"cores": 1, "memory_mb": 100},
            "run_time_s": 0.2,
            "payload": json.dumps({"run_ms": 200, "answer": name} | (payload or {})),
            **fields,
        }
        for name in names
    ]
    callers = cell.daemons["d1"].daemon.callers
    replies = []
    cell.do(callers.submit(key_of("dispatch"), tasks), replies.extend)
    cell.run(1)
    return replies


def outcomes(cell, count, prefix="r"):
    names = [RequestName("main", f"{prefix}{number}") for number in range(count)]
    callers = cell.daemons["d1"].daemon.callers
    views = []
    cell.do(callers.answers(key_of("dispatch"), names, timedelta(0)), views.extend)
    cell.run(1)
    return [view.outcome for view in views]


def test_worker_that_fails_everything_is_avoided():
    cell = begun(workers_per_domain=4)
    bad = cell.workers["dom1-w1"]
    bad.broken = True
    submit(cell, 12)
    cell.run(20)
    assert all(isinstance(outcome, Done) for outcome in outcomes(cell, 12))
    tries = len(bad.executions)
    submit(cell, 12, prefix="later")
    cell.run(10)
    assert all(isinstance(o, Done) for o in outcomes(cell, 12, "later"))
    assert len(bad.executions) - tries <= 1
    assert check_all(cell.finish(settled=False)) == []


@pytest.mark.parametrize(("good_tasks", "attempts"), [(0, 5), (16, 3)])
def test_job_that_fails_everywhere_is_given_up_with_a_reason(good_tasks, attempts):
    # Workers that have completed other tasks show sooner that the job is at fault.
    cell = begun(workers_per_domain=4)
    submit(cell, good_tasks, prefix="good")
    cell.run(5)
    submit(cell, 1, payload={"fail": True})
    cell.run(60)
    outcome = outcomes(cell, 1)[0]
    assert isinstance(outcome, Failed)
    assert f"failed {attempts} times" in outcome.error
    runs = [e for worker in cell.workers.values() for e in worker.executions]
    assert len(runs) == good_tasks + attempts


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"resources": {"cores": 99}}, Refusal.IMPOSSIBLE),
        ({"kind": "all_at_once", "members": 20}, Refusal.OVER_LIMIT),
    ],
)
def test_hopeless_work_is_refused_at_once(fields, reason):
    cell = begun()
    reply = submit(cell, 1, **fields)[0]
    assert isinstance(reply, NotRun)
    assert reply.reason is reason
    assert outcomes(cell, 1) == [reply]


def test_waiting_work_is_refused_when_its_deadline_can_not_be_met():
    cell = begun()
    submit(cell, 8, prefix="long", payload={"run_ms": 60_000}, repeatable=False)
    submit(cell, 4, start_within_s=5)
    cell.run(8)
    reasons = {outcome.reason for outcome in outcomes(cell, 4)}
    assert reasons == {Refusal.DEADLINE_PASSED}
    assert check_all(cell.finish(settled=False)) == []


def test_cancel_wave_ends_every_waiting_task():
    cell = begun()
    submit(cell, 300, payload={"run_ms": 60_000})
    names = [RequestName("main", f"r{number}") for number in range(300)]
    callers = cell.daemons["d1"].daemon.callers
    cell.do(callers.cancel(key_of("dispatch"), names))
    cell.run(8)
    assert all(isinstance(outcome, Cancelled) for outcome in outcomes(cell, 300))
    assert check_all(cell.finish(settled=False)) == []
