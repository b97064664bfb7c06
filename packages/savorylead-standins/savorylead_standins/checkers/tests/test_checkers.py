"""Each checker reports violations of its own invariant, and nothing else."""

import hashlib

import pytest

from savorylead.contracts import TaskId
from savorylead.outcomes import Cancelled, Done, NotRun, Refusal
from savorylead.resources import Resources
from savorylead.workers import RunState
from savorylead_daemon.services import Admitted
from savorylead_standins.checkers import (
    Answer,
    Departure,
    KeyWithdrawal,
    LimitChange,
    RevisionSample,
    RunHistory,
    Submission,
    check_all,
)
from savorylead_standins.workers import Execution

SMALL = Resources(1000, 0, 0, 1)
TASK = TaskId("dispatch", "bookings", "r1")
OTHER = TaskId("dispatch", "bookings", "r2")
DIGEST = hashlib.sha256(b"r1").hexdigest()


def ran(task=TASK, worker="w1", begin=1000, end=2000, resources=SMALL):
    return Execution(task, 1, worker, resources, begin, end, RunState.DONE)


def submitted(reply, task=TASK, at_ms=900, repeatable=True):
    return Submission(task, "key", repeatable, "r1", at_ms, at_ms + 5, reply)


def history(**fields):
    capacities = {"w1": Resources(1500, 10, 0, 2), "w2": Resources(1500, 10, 0, 2)}
    return RunHistory(capacities, ended_at_ms=100_000, **fields)


DONE = Answer(TASK, 2000, Done("r1", DIGEST, 1))
GOOD = {
    "executions": [ran()],
    "submissions": [submitted(Admitted(TASK))],
    "answers": [DONE],
}


@pytest.mark.parametrize(
    ("invariant", "fields"),
    [
        ("capacity", {"executions": [ran(), ran(OTHER, begin=1500)]}),
        ("capacity", {"over_capacity_refusals": {"w1": 1}}),
        ("single_run", {"executions": [ran(), ran(worker="w2", begin=1999)]}),
        (
            "keys",
            {
                "withdrawals": [KeyWithdrawal("key", 1000)],
                "submissions": [submitted(Admitted(TASK), at_ms=6001)],
                "answers": [DONE],
            },
        ),
        (
            "keys",
            {"submissions": [submitted(Admitted(TASK._replace(team="x")))]}
            | {"answers": [DONE]},
        ),
        (
            "limits",
            {
                "limits": [LimitChange("dispatch", SMALL, 0, 0)],
                "executions": [ran(), ran(OTHER, worker="w2", begin=1500)],
            },
        ),
        (
            "limits",
            {
                "limits": [
                    LimitChange("dispatch", SMALL, 0, 0),
                    LimitChange("dispatch", SMALL.times(2), 1501, 1600),
                ],
                "executions": [ran(), ran(OTHER, worker="w2", begin=1500)],
            },
        ),
        ("answers", {"answers": [DONE, Answer(TASK, 2001, Cancelled(True))]}),
        ("answers", {"answers": [Answer(TASK, 2000, Done("r1", "00", 1))]}),
        ("answers", {"answers": [Answer(OTHER, 2000, Done("r1", DIGEST, 1))]}),
        (
            "not_run",
            {
                "executions": [ran()],
                "submissions": [submitted(NotRun(Refusal.NO_LEAD))],
            },
        ),
        (
            "not_run",
            {
                "executions": [ran()],
                "answers": [Answer(TASK, 2000, Cancelled(started=False))],
            },
        ),
        (
            "at_most_once",
            {
                "executions": [ran(), ran(begin=3000, end=4000)],
                "submissions": [submitted(Admitted(TASK), repeatable=False)],
                "answers": [DONE],
            },
        ),
        (
            "departures",
            {"executions": [ran(begin=20_000, end=21_000)]}
            | {"departures": [Departure("w1", 9_000)]},
        ),
        ("planned_stops", {"submissions": [submitted(Admitted(TASK))]}),
        ("planned_stops", {"calls_cut_off": ["submit"]}),
        (
            "configuration",
            {"samples": [RevisionSample("d1", 1, 5), RevisionSample("d1", 2, 4)]},
        ),
        (
            "configuration",
            {
                "revisions_accepted": {7: 1000},
                "samples": [RevisionSample("d1", 5001, 6)],
            },
        ),
    ],
)
def test_breach_is_seen(invariant, fields):
    found = {violation.invariant for violation in check_all(history(**fields))}
    assert invariant in found


@pytest.mark.parametrize(
    "fields",
    [
        GOOD,
        {"executions": [ran(), ran(OTHER, begin=2000, end=3000)]},
        {
            "limits": [
                LimitChange("dispatch", SMALL.times(2), 0, 0),
                LimitChange("dispatch", SMALL, 1150, 1200),
            ],
            "executions": [ran(), ran(OTHER, worker="w2", begin=1500)],
        },
        {
            "limits": [
                LimitChange("dispatch", SMALL, 0, 0),
                LimitChange("dispatch", SMALL.times(2), 1400, 1600),
            ],
            "executions": [ran(), ran(OTHER, worker="w2", begin=1500)],
        },
        {
            "revisions_accepted": {7: 1000},
            "samples": [RevisionSample("d1", 4999, 6), RevisionSample("d1", 5001, 7)],
        },
    ],
)
def test_what_is_allowed_is_no_breach(fields):
    assert check_all(history(**fields)) == []
