"""The 'config' commands and 'wait-in-force'."""

import json
from datetime import timedelta

import pytest

from savorylead_ctl.exit_codes import ExitCode
from savorylead_ctl.main import run
from savorylead_standins.console import ManualClock
from savorylead_standins.services import (
    small_cell,
)

APPLY = ("POST", "/v1/operators/config")


@pytest.mark.parametrize(
    ("changes", "code", "text"),
    [
        ({}, ExitCode.OK, "no difference"),
        ({"preset": "peak"}, ExitCode.OK, '$.preset: "ordinary" -> "peak"'),
        ({"preset": "lazy"}, ExitCode.USAGE, "$.preset"),
        ({"colour": "red"}, ExitCode.USAGE, "colour"),
        ({"teams": {"dispatch": {"share": "2"}}}, ExitCode.USAGE, "$.teams.dispatch"),
    ],
)
def test_diff_checks_a_file_and_shows_what_would_change(
    ctl, server, tmp_path, changes, code, text
):
    path = tmp_path / "cell.json"
    path.write_text(json.dumps({**small_cell(), **changes}))
    found, out, err = ctl("config", "diff", path)
    assert found == code
    assert text in out + err
    assert run(["config", "check", str(path)], {}, ManualClock()) == code
    assert server.gateway.operators.applied == []


def test_apply_needs_the_revision_that_is_in_force(ctl, server, tmp_path):
    path = tmp_path / "cell.json"
    path.write_text(json.dumps({**small_cell(), "preset": "peak"}))
    code, _, err = ctl("config", "apply", path, "--expect-revision", 6)
    assert code == ExitCode.CONFLICT
    assert "revision 7" in err
    assert '"peak" -> "ordinary"' in err
    assert server.gateway.operators.applied == []
    code, out, _ = ctl("config", "apply", path, "--expect-revision", 7)
    assert code == ExitCode.OK
    assert "accepted as revision 8" in out
    with pytest.raises(SystemExit) as exit_info:
        ctl("config", "apply", path)
    assert exit_info.value.code == ExitCode.USAGE


def test_what_show_prints_can_be_applied_again(ctl, server, tmp_path):
    _, out, err = ctl("config", "show")
    assert err == "revision 7\n"
    path = tmp_path / "cell.json"
    path.write_text(out)
    assert ctl("config", "apply", path, "--expect-revision", 7)[1] == (
        "nothing to change\n"
    )
    assert server.calls.count(APPLY) == 0


def test_wait_in_force_waits_for_the_last_daemon(ctl, server):
    operators = server.gateway.operators
    operators.put({**operators.document, "preset": "peak"})
    sleeps = []

    def catch_up():
        sleeps.append(1)
        if len(sleeps) == 3:
            operators.lagging_revision = 8

    code, out, _ = ctl("wait-in-force", 8, clock=ManualClock(catch_up))
    assert (code, out) == (ExitCode.OK, "revision 8 is in force at 2 daemons\n")
    assert len(sleeps) == 3


@pytest.mark.parametrize("revision", [-1, 7])
def test_wait_in_force_names_the_daemons_that_lag(ctl, server, revision):
    operators = server.gateway.operators
    operators.put({**operators.document, "preset": "peak"})
    operators.lagging_revision = revision
    clock = ManualClock()
    code, out, err = ctl("wait-in-force", 8, "--wait", 2, clock=clock)
    assert (code, out) == (ExitCode.TIMED_OUT, "")
    assert f"entry-2 is at {revision}" in err
    assert "entry-1" not in err
    assert clock.now() - ManualClock().now() <= timedelta(seconds=2)
