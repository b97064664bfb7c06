"""Verdicts on reports, absent attempts and lost workers."""

import hashlib

import pytest

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.journal import Phase, RequeueReason, TaskRecord
from savorylead.outcomes import Cancelled, Done, Failed, Unknown
from savorylead.resources import Resources
from savorylead.workers import MAX_RESULT_CHARS, RunReport, RunState
from savorylead_daemon.lead._reconciler import (
    DiscardResult,
    EndWith,
    KeepWaiting,
    RequeueFor,
    ResendOrder,
    judge_absence,
    judge_lost_worker,
    judge_report,
)

TASK = TaskId("dispatch", "tours", "r1")
LONG = "x" * (MAX_RESULT_CHARS + 1)
DIGEST = hashlib.sha256(b"seat 4").hexdigest()


def placed(repeatable=True, cancelled=False, attempt=1):
    spec = TaskSpec(TASK, TaskKind.BATCH, Resources(1000), "day", repeatable)
    return TaskRecord(
        spec, Phase.PLACED, 10, attempt, "w1", "i1", 20, cancel_asked=cancelled
    )


def report(state, result="", digest=""):
    return RunReport(TASK, 1, state, result, digest)


@pytest.mark.parametrize(
    ("record", "run_report", "verdict"),
    [
        (placed(), report(RunState.RUNNING), KeepWaiting()),
        (
            placed(),
            report(RunState.DONE, "seat 4", DIGEST),
            EndWith(Done("seat 4", DIGEST, 1)),
        ),
        (placed(), report(RunState.DONE, "seat", DIGEST), DiscardResult()),
        (
            placed(),
            report(RunState.DONE, LONG, hashlib.sha256(LONG.encode()).hexdigest()),
            EndWith(Failed("the answer of 65537 characters is too long", 1)),
        ),
        (
            placed(False),
            report(RunState.FAILED, LONG),
            EndWith(Failed(LONG[:MAX_RESULT_CHARS], 1)),
        ),
        (
            # The run completed before the stop arrived.
            placed(cancelled=True),
            report(RunState.DONE, "seat 4", DIGEST),
            EndWith(Done("seat 4", DIGEST, 1)),
        ),
        (placed(), report(RunState.FAILED), RequeueFor(RequeueReason.FAILED)),
        (placed(False), report(RunState.FAILED, "boom"), EndWith(Failed("boom", 1))),
        (placed(), report(RunState.STOPPED), RequeueFor(RequeueReason.STOPPED)),
        (
            placed(False),
            report(RunState.STOPPED),
            EndWith(Unknown("interrupted: stopped")),
        ),
        (
            placed(False),
            report(RunState.NEVER_STARTED),
            RequeueFor(RequeueReason.NEVER_STARTED),
        ),
        (
            placed(cancelled=True),
            report(RunState.NEVER_STARTED),
            EndWith(Cancelled(started=False)),
        ),
        (
            placed(cancelled=True, attempt=2),
            report(RunState.NEVER_STARTED),
            EndWith(Cancelled(started=True)),
        ),
        (
            placed(cancelled=True),
            report(RunState.STOPPED),
            EndWith(Cancelled(started=True)),
        ),
        (
            placed(),
            report(RunState.CHECKPOINTED),
            RequeueFor(RequeueReason.CHECKPOINTED),
        ),
    ],
)
def test_report(record, run_report, verdict):
    assert judge_report(record, run_report) == verdict


@pytest.mark.parametrize(
    ("record", "incarnation", "unsent", "verdict"),
    [
        (placed(), "i1", False, ResendOrder()),
        (placed(False), "i1", False, ResendOrder()),
        (placed(), "i2", False, RequeueFor(RequeueReason.WORKER_RESTARTED)),
        (
            placed(False),
            "i2",
            False,
            EndWith(Unknown("interrupted: worker_restarted")),
        ),
        (placed(False), "i2", True, RequeueFor(RequeueReason.NEVER_STARTED)),
        (placed(cancelled=True), "i2", True, EndWith(Cancelled(started=False))),
    ],
)
def test_absence(record, incarnation, unsent, verdict):
    assert judge_absence(record, incarnation, unsent) == verdict


@pytest.mark.parametrize(
    ("record", "unsent", "verdict"),
    [
        (placed(), False, RequeueFor(RequeueReason.LEASE_LAPSED)),
        (placed(False), False, EndWith(Unknown("interrupted: lease_lapsed"))),
        (placed(False), True, RequeueFor(RequeueReason.NEVER_STARTED)),
        (placed(cancelled=True), False, EndWith(Cancelled(started=True))),
    ],
)
def test_lost_worker(record, unsent, verdict):
    assert judge_lost_worker(record, unsent) == verdict
