"""Submitting, waiting for, cancelling and listing tasks."""

import json

import pytest
from twisted.internet.defer import CancelledError

from savorylead.contracts import TaskId
from savorylead_ctl.exit_codes import ExitCode
from savorylead_standins.console import closed_endpoint, submit_tasks
from savorylead_standins.services import (
    DISPATCH_KEY,
    ReplyFault,
)

SUBMITTED = {
    "request": "b-1",
    "workspace": "tours",
    "queue": "open",
    "kind": "batch",
    "resources": {"cores": 1},
}


@pytest.mark.parametrize(
    ("tasks", "code", "text"),
    [
        (SUBMITTED, ExitCode.OK, "admitted"),
        ([SUBMITTED, {**SUBMITTED, "request": "b-2"}], ExitCode.OK, "b-2"),
        ({**SUBMITTED, "resources": {"cores": 99}}, ExitCode.REFUSED, "impossible"),
        (
            [SUBMITTED, {**SUBMITTED, "request": "b-2", "resources": {"cores": 99}}],
            ExitCode.NOT_DONE,
            "impossible",
        ),
        ({**SUBMITTED, "colour": "red"}, ExitCode.REFUSED, "$[0].colour"),
        ({**SUBMITTED, "queue": "absent"}, ExitCode.REFUSED, "unknown_queue"),
        ([], ExitCode.REFUSED, "out_of_range"),
        ("text", ExitCode.USAGE, "neither"),
    ],
)
def test_submit_tells_by_its_code(ctl, tmp_path, tasks, code, text):
    path = tmp_path / "tasks.json"
    path.write_text(json.dumps(tasks))
    found, out, err = ctl("tasks", "submit", path, key=DISPATCH_KEY)
    assert found == code
    assert text in out + err


@pytest.mark.parametrize("fault", list(ReplyFault))
def test_a_submit_without_a_reply_is_never_said_to_have_failed(
    ctl, server, tmp_path, fault
):
    path = tmp_path / "tasks.json"
    path.write_text(json.dumps(SUBMITTED))
    server.faults["POST", "/v1/tasks"] = fault
    code, _, _ = ctl("tasks", "submit", path, key=DISPATCH_KEY)
    assert code == ExitCode.UNKNOWN
    endpoints = f"{server.endpoint},{closed_endpoint()}"
    code, _, _ = ctl("tasks", "submit", path, key=DISPATCH_KEY, endpoints=endpoints)
    assert code == ExitCode.UNKNOWN
    # Only replies were lost, so repeating the command finds the accepted task.
    server.faults.clear()
    code, out, _ = ctl("tasks", "submit", path, key=DISPATCH_KEY)
    assert code == ExitCode.OK
    assert "admitted" in out


@pytest.mark.parametrize("error", [ZeroDivisionError(), CancelledError()])
def test_a_submit_that_a_daemon_gave_up_is_never_said_to_be_refused(
    ctl, server, tmp_path, error
):
    async def failing_submit(*args):
        raise error

    path = tmp_path / "tasks.json"
    path.write_text(json.dumps([SUBMITTED]))
    server.gateway.callers.submit = failing_submit
    assert ctl("tasks", "submit", path, key=DISPATCH_KEY)[0] == ExitCode.UNKNOWN


def test_wait_shows_results_and_tells_by_its_code(ctl, server):
    submit_tasks(server, "a", "b")
    callers = server.gateway.callers
    callers.end(TaskId("dispatch", "tours", "a"), "route 7")
    code, out, _ = ctl("tasks", "wait", "tours/a", key=DISPATCH_KEY)
    assert code == ExitCode.OK
    assert "route 7" in out
    code, out, _ = ctl(
        "tasks", "wait", "tours/a", "tours/b", "--wait", 1, key=DISPATCH_KEY
    )
    assert code == ExitCode.TIMED_OUT
    code, out, _ = ctl("tasks", "cancel", "dispatch/tours/b/0", key=DISPATCH_KEY)
    assert code == ExitCode.NOT_DONE
    assert "cancelled" in out
    wait = ("tasks", "wait", "tours/a", "tours/b")
    assert ctl(*wait, key=DISPATCH_KEY)[0] == ExitCode.NOT_DONE


def test_a_damaged_result_is_not_shown(ctl, server):
    submit_tasks(server, "a")
    server.gateway.callers.end(TaskId("dispatch", "tours", "a"), "route 7", "0" * 64)
    code, out, err = ctl("tasks", "show", "tours/a", key=DISPATCH_KEY)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "damaged_answer" in err


def test_a_result_that_was_altered_on_its_way_is_not_shown(ctl, server):
    submit_tasks(server, "a")
    server.gateway.callers.end(TaskId("dispatch", "tours", "a"), "route 7")
    server.alter = lambda body: body.replace(b"route 7", b"route 8")
    code, out, err = ctl("tasks", "show", "tours/a", key=DISPATCH_KEY)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "damaged_answer" in err


def test_control_characters_of_a_result_do_not_reach_the_terminal(ctl, server):
    submit_tasks(server, "a")
    result = "\x1b[2Jgone\nTASK  forged"
    server.gateway.callers.end(TaskId("dispatch", "tours", "a"), result)
    _, out, _ = ctl("tasks", "show", "tours/a", key=DISPATCH_KEY)
    assert "\x1b" not in out
    assert len(out.splitlines()) == 2


def test_a_list_is_read_to_its_end_and_no_further(ctl, server):
    submit_tasks(server, *[f"r-{n:04}" for n in range(700)])
    _, out, err = ctl("tasks", "list", "--workspace", "tours", key=DISPATCH_KEY)
    assert (len(out.splitlines()), err) == (
        201,
        "more: --after 'dispatch/tours/r-0199/0'\n",
    )
    _, out, err = ctl("tasks", "list", "--team", "dispatch", "--limit", 1000)
    assert (len(out.splitlines()), err) == (701, "")
