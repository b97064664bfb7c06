"""Commands that edit the configuration, including lost replies and conflicts."""

import copy
import hashlib
import json

import pytest

from savorylead.store import StoreTimeoutError
from savorylead_ctl.exit_codes import ExitCode
from savorylead_standins.services import (
    ReplyFault,
)

APPLY = ("POST", "/v1/operators/config")


def document_of(server):
    return server.gateway.operators.document


EDITS = [
    (["presets", "use", "peak"], ("preset",), "peak"),
    (["shares", "set", "dispatch", "3.5"], ("teams", "dispatch", "share"), 3.5),
    (
        ["limits", "set", "dispatch", "--memory-mb", "512"],
        ("teams", "dispatch", "limit"),
        {"cores": 64, "memory_mb": 512},
    ),
    (
        ["limits", "set", "dispatch", "--unlimited", "cores"],
        ("teams", "dispatch", "limit"),
        {},
    ),
    (
        ["teams", "add", "intake", "--share", "1", "--cores", "8"],
        ("teams", "intake"),
        {"share": 1.0, "limit": {"cores": 8.0}, "keys": {}},
    ),
    (["teams", "remove", "dispatch"], ("workspaces",), {}),
    (
        ["queues", "set", "open", "--teams", "planning,dispatch"],
        ("queues", "open"),
        {"open": False, "teams": ["dispatch", "planning"], "max_waiting": 100},
    ),
    (
        ["queues", "set", "night", "--open", "--max-waiting", "5"],
        ("queues", "night"),
        {"open": True, "teams": [], "max_waiting": 5},
    ),
    (["queues", "remove", "open"], ("queues",), {}),
    (
        ["workspaces", "set", "planning/routes", "--home-region", "monteverde"],
        ("workspaces", "planning/routes"),
        {"team": "planning", "home_region": "monteverde"},
    ),
    (["workspaces", "remove", "dispatch/tours"], ("workspaces",), {}),
]


@pytest.mark.parametrize(("argv", "path", "value"), EDITS, ids=lambda v: str(v)[:30])
def test_an_edit_changes_its_field_and_tells_the_revision(
    ctl, server, argv, path, value
):
    before = copy.deepcopy(document_of(server))
    code, out, err = ctl(*argv)
    assert (code, err) == (ExitCode.OK, "")
    assert "accepted as revision 8" in out
    found = document_of(server)
    for name in path:
        found = found[name]
    assert found == value
    # The same edit again changes nothing or is a usage error.
    code, out, err = ctl(*argv)
    assert code in (ExitCode.OK, ExitCode.USAGE)
    assert "nothing to change" in out or "there is" in err
    assert server.gateway.operators.revision == 8
    assert before != document_of(server)


def test_a_key_is_shown_once_and_only_its_hash_is_kept(ctl, server):
    code, out, _ = ctl("--json", "keys", "grant", "dispatch")
    assert code == ExitCode.OK
    key = json.loads(out)["key"]
    kept = document_of(server)["teams"]["dispatch"]["keys"][key.partition(".")[0]]
    assert kept["sha256"] == hashlib.sha256(key.encode()).hexdigest()
    assert kept["withdrawn"] is False
    assert key.partition(".")[2] not in json.dumps(document_of(server))
    assert key not in ctl("keys")[1]
    assert ctl("keys", "withdraw", key.partition(".")[0])[0] == ExitCode.OK
    kept = document_of(server)["teams"]["dispatch"]["keys"][key.partition(".")[0]]
    assert kept["withdrawn"] is True


def test_an_operator_key_is_granted_and_withdrawn_alike(ctl, server):
    _, out, _ = ctl("--json", "keys", "grant", "--operator")
    key_id = json.loads(out)["key_id"]
    assert not document_of(server)["operators"][key_id]["withdrawn"]
    assert ctl("keys", "withdraw", key_id)[0] == ExitCode.OK
    assert document_of(server)["operators"][key_id]["withdrawn"]


@pytest.mark.parametrize(
    "argv",
    [
        ["shares", "set", "nobody", "1"],
        ["limits", "set", "nobody", "--cores", "1"],
        ["limits", "set", "dispatch"],
        ["limits", "set", "dispatch", "--cores", "1", "--unlimited", "cores"],
        ["teams", "add", "dispatch", "--share", "1"],
        ["keys", "grant", "nobody"],
        ["keys", "withdraw", "nothing"],
        ["queues", "set", "new", "--open"],
        ["queues", "set", "open", "--teams", "nobody"],
        ["workspaces", "set", "dispatch", "--home-region", "monteverde"],
        ["workspaces", "set", "dispatch/a", "--home-region", "moon"],
        ["tasks", "show", "only-a-request"],
        ["tasks", "cancel", "a/b/c"],
        ["tasks", "submit", "/absent.json"],
        ["config", "check", "/absent.json"],
    ],
    ids=" ".join,
)
def test_an_impossible_edit_is_a_usage_fault_and_changes_nothing(ctl, server, argv):
    code, out, err = ctl(*argv)
    assert (code, out) == (ExitCode.USAGE, "")
    assert err.startswith("savoryctl: ")
    assert server.gateway.operators.applied == []


def test_the_loser_of_a_race_is_told_the_revision_and_what_changed(ctl, server):
    operators = server.gateway.operators
    original_apply = operators.apply_config

    async def apply_after_other_change(key, document, expected_revision):
        operators.put({**operators.document, "preset": "maintenance"})
        return await original_apply(key, document, expected_revision)

    operators.apply_config = apply_after_other_change
    code, out, err = ctl("shares", "set", "dispatch", "9")
    assert (code, out) == (ExitCode.CONFLICT, "")
    assert '$.preset: "ordinary" -> "maintenance"' in err
    assert "revision: 8" in err
    assert document_of(server)["teams"]["dispatch"]["share"] == 2.0
    assert server.calls.count(APPLY) == 1


@pytest.mark.parametrize("fault", list(ReplyFault))
def test_an_edit_whose_reply_is_lost_is_read_back_and_never_repeated(
    ctl, server, fault
):
    server.faults[APPLY] = fault
    code, out, _ = ctl("presets", "use", "peak")
    assert code == ExitCode.OK
    assert "accepted as revision 8" in out
    assert server.calls.count(APPLY) == 1
    assert server.gateway.operators.revision == 8


def test_an_edit_that_was_not_seen_to_take_effect_is_unknown(ctl, server):
    server.gateway.operators.apply_config = raise_store_timeout
    code, out, err = ctl("presets", "use", "peak")
    assert (code, out) == (ExitCode.UNKNOWN, "")
    assert "unchanged so far" in err
    assert server.calls.count(APPLY) == 1


def test_an_edit_that_can_not_be_read_back_is_unknown(ctl, server):
    operators = server.gateway.operators
    operators.lost_reply = StoreTimeoutError()
    original_apply = operators.apply_config

    async def apply_then_fail_store(*args):
        operators.store_error = None
        try:
            return await original_apply(*args)
        finally:
            operators.store_error = StoreTimeoutError()

    operators.apply_config = apply_then_fail_store
    code, _, err = ctl("presets", "use", "peak")
    assert code == ExitCode.UNKNOWN
    assert "reading back failed" in err


def test_an_edit_that_was_overwritten_after_its_reply_was_lost_is_unknown(ctl, server):
    operators = server.gateway.operators
    original_apply = operators.apply_config

    async def apply_then_overwrite(*args):
        await original_apply(*args)
        operators.put({**operators.document, "preset": "maintenance"})
        raise StoreTimeoutError

    operators.apply_config = apply_then_overwrite
    code, _, err = ctl("presets", "use", "peak")
    assert code == ExitCode.UNKNOWN
    assert "contains another change" in err


async def raise_store_timeout(*args):
    raise StoreTimeoutError
