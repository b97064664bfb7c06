"""A rig run is good only if no checker found anything at any time."""

import json
from collections import Counter

import pytest

from savorylead.contracts import TaskId
from savorylead.outcomes import Done, NotRun, Refusal
from savorylead.resources import Resources
from savorylead.workers import RunState
from savorylead_daemon.services import Admitted
from savorylead_standins.checkers import Answer, RunHistory, Submission, Violation
from savorylead_standins.rig._rig_report import RigReport, StepResult
from savorylead_standins.workers import Execution

DIGEST = "2689367b205c16ce32ed4200942b8b8b1e262dfc70d9bc9fbc77c49699a4f1df"
TASK = TaskId("dispatch", "tours", "urgent-1")
ROOM = Resources(1000, 100, 0, 1, 0)


def report(reply=None, answered=True, breaches=()):
    history = RunHistory({"w1": ROOM})
    history.ended_at_ms = 5_000
    history.submissions = [
        Submission(TASK, "key", False, "ok", 1_000, 1_010, reply or Admitted(TASK))
    ]
    history.executions = [
        Execution(TASK, 1, "w1", ROOM, 1_200, 1_300, RunState.DONE),
    ]
    if answered:
        history.answers = [Answer(TASK, 1_400, Done("ok", DIGEST, 1))]
    steps = [StepResult("kill", 500, 2_000, breaches)]
    return RigReport(history, {}, [], steps, Counter({503: 2}))


@pytest.mark.parametrize(
    ("changes", "good"),
    [
        ({}, True),
        ({"reply": NotRun(Refusal.NO_LEAD)}, False),
        ({"answered": False}, False),
        # What a checker found in between counts even if the end looks well.
        ({"breaches": (Violation("capacity", "w1"),)}, False),
    ],
)
def test_is_good(changes, good):
    assert report(**changes).is_good() is good


def test_steps_show_what_was_submitted_in_their_time():
    row = json.loads(report().last_line())["steps"][0]
    assert (row["submitted"], row["admitted"], row["no_reply"]) == (1, 1, 0)
    assert row["urgent_wait_ms_max"] == 200
