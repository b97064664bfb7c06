"""savoryctl against a daemon's entrance on loopback."""

import copy
import hashlib
import json
import socket
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from twisted.internet.defer import CancelledError

from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.store import StoreTimeoutError
from savorylead_ctl.commands import COMMAND_GROUPS, BlockingClock
from savorylead_ctl.exit_codes import MEANINGS, ExitCode
from savorylead_ctl.main import build_parser, run
from savorylead_daemon.services import WorkerView
from savorylead_standins.services import (
    DISPATCH_KEY,
    OPERATOR_KEY,
    LoopbackGateway,
    MemoryGateway,
    ReplyFault,
    small_cell,
)

ROOT = Path(__file__).parents[4]
APPLY = ("POST", "/v1/operators/config")


class ManualClock(BlockingClock):
    """Time that passes only by sleeping, which may make things happen."""

    def __init__(self, on_sleep=lambda: None):
        self._now = datetime(2030, 1, 1, tzinfo=UTC)
        self._on_sleep = on_sleep

    def now(self):
        return self._now

    def sleep(self, delay):
        self._now += delay
        self._on_sleep()


@pytest.fixture
def server():
    with LoopbackGateway(MemoryGateway()) as server:
        yield server


@pytest.fixture
def ctl(server, capsys):
    """Return a function that runs a command line and returns code and streams."""

    def run_ctl(*argv, key=OPERATOR_KEY, endpoints=None, clock=None):
        environ = {
            "SAVORYLEAD_ENDPOINTS": endpoints or server.endpoint,
            "SAVORYLEAD_KEY": key,
        }
        code = run([str(a) for a in argv], environ, clock or ManualClock())
        out, err = capsys.readouterr()
        return code, out, err

    return run_ctl


def closed_endpoint():
    """Return an endpoint where nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def document_of(server):
    return server.gateway.operators.document


def submit(server, *requests):
    body = [
        {
            "request": request,
            "workspace": "tours",
            "queue": "open",
            "kind": "batch",
            "resources": {"cores": 1},
        }
        for request in requests
    ]
    reply = server.gateway.connect().call("POST", "/v1/tasks", body, DISPATCH_KEY)
    assert reply.status == 200


def test_every_command_has_a_help_and_every_code_a_meaning(capsys):
    assert MEANINGS.keys() == set(ExitCode)
    for group in COMMAND_GROUPS:
        for command in group.commands:
            words = [group.name]
            if len(group.commands) > 1:
                words.append(command.name)
            with pytest.raises(SystemExit) as caught:
                build_parser().parse_args([*words, "--help"])
            assert caught.value.code == 0
            assert "--json" in capsys.readouterr().out


def test_the_page_tells_every_exit_code():
    page = (ROOT / "docs/API.md").read_text()
    for code, meaning in MEANINGS.items():
        assert f"| {code.value} | {meaning} |" in page


TABLES = [
    (
        ["teams"],
        "TEAM      SHARE  LIMIT CORES  LIMIT MB  LIMIT ACC  GRANTED CORES  GRANTED MB"
        "  GRANTED ACC  HELD CORES  HELD MB  HELD ACC  KEYS\n"
        "dispatch  2      64           0         0          1.5            0         "
        "  0            1.5         0        0         0\n"
        "planning  1      0            0         0          1.5            0         "
        "  0            1.5         0        0         0\n",
    ),
    (
        ["shards"],
        "SHARD  REGION      DOMAIN  LEAD     EPOCH  WORKERS  RUNNING  WAITING\n"
        "mv-1   monteverde  mv-1    entry-1  3      9        4        2\n",
    ),
    (
        ["members"],
        "MEMBER   REGION      DOMAIN  ENDPOINT     REVISION\n"
        "entry-1  monteverde  mv-1    127.0.0.1:1  7\n"
        "entry-2  monteverde  mv-2    127.0.0.1:2  7\n",
    ),
    (
        ["queues"],
        "QUEUE  OPEN  TEAMS  MAX WAITING\nopen   yes   []     100\n",
    ),
    (
        ["workspaces", "list"],
        "WORKSPACE       TEAM      HOME REGION\ndispatch/tours  dispatch  monteverde\n",
    ),
    (
        ["workers", "--shard", "mv-1"],
        "WORKER  SHARD  RACK  STATE  CAPACITY CORES  CAPACITY MB  CAPACITY ACC"
        "  HELD CORES  HELD MB  HELD ACC  RUNNING\n"
        "w-1     mv-1   r-1   ready  16              1200000      0           "
        "  0.25        0        0         1\n",
    ),
    (["keys"], "KEY  TEAM  GRANTED  WITHDRAWN\n"),
]


@pytest.mark.parametrize(("argv", "table"), TABLES, ids=lambda v: str(v)[:20])
def test_tables_for_people(ctl, server, argv, table):
    server.gateway.operators.worker_views = [
        WorkerView(
            f"w-{n}",
            f"mv-{n}",
            "r-1",
            "ready",
            Resources(16_000, 1_200_000),
            Resources(250),
            1,
        )
        for n in (1, 2)
    ]
    assert ctl(*argv) == (ExitCode.OK, table, "")


@pytest.mark.parametrize(
    "argv",
    [
        *(argv for argv, _ in TABLES),
        ["presets"],
        ["shares"],
        ["limits"],
        ["tasks", "list"],
        ["config", "show"],
        ["presets", "use", "peak"],
        ["keys", "grant", "dispatch"],
        ["teams", "remove", "nobody"],
        ["wait-in-force", "7"],
        ["wait-in-force", "8", "--wait", "1"],
    ],
    ids=" ".join,
)
@pytest.mark.parametrize("place", ["before", "after"])
def test_json_everywhere_is_one_document(ctl, argv, place):
    line = ["--json", *argv] if place == "before" else [*argv, "--json"]
    _, out, _ = ctl(*line)
    assert isinstance(json.loads(out), dict)
    assert len(out.splitlines()) == 1


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
    # The same edit again changes nothing, or is told to be impossible.
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
    ("argv", "environ", "text"),
    [
        (["teams"], {"SAVORYLEAD_KEY": "a.b"}, "--endpoint"),
        (["teams"], {"SAVORYLEAD_ENDPOINTS": "127.0.0.1:1"}, "--key-file"),
        (["teams", "--endpoint", "nonsense"], {}, "HOST:PORT"),
        (["teams", "--endpoint", "127.0.0.1:٣"], {}, "HOST:PORT"),
        (["teams", "--endpoint", "127.0.0.1:1", "--key-file", "/x"], {}, "/x"),
        (["teams", "--timeout", "0", "--endpoint", "127.0.0.1:1"], {}, "--timeout"),
    ],
)
def test_what_is_missing_or_malformed_is_a_usage_fault(capsys, argv, environ, text):
    assert run(argv, environ, ManualClock()) == ExitCode.USAGE
    assert text in capsys.readouterr().err


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


def test_an_endpoint_that_can_not_be_reached_is_passed_over(ctl, server):
    endpoints = ",".join([closed_endpoint(), server.endpoint, closed_endpoint()])
    assert ctl("presets", "use", "peak", endpoints=endpoints)[0] == ExitCode.OK
    assert server.calls.count(APPLY) == 1


def test_no_endpoint_at_all_is_told_with_each_reason(ctl):
    endpoints = [closed_endpoint(), closed_endpoint()]
    code, out, err = ctl("teams", endpoints=",".join(endpoints))
    assert (code, out) == (ExitCode.UNREACHABLE, "")
    assert all(endpoint in err for endpoint in endpoints)


def test_a_silent_endpoint_is_given_up_and_passed_over(ctl, server):
    with socket.create_server(("127.0.0.1", 0)) as silent:
        endpoint = f"127.0.0.1:{silent.getsockname()[1]}"
        code, _, err = ctl("teams", "--timeout", "0.2", endpoints=endpoint)
        assert code == ExitCode.UNREACHABLE
        assert "imed out" in err
        both = f"{endpoint},{server.endpoint}"
        assert ctl("teams", "--timeout", "0.2", endpoints=both)[0] == ExitCode.OK


@pytest.mark.parametrize("key", [DISPATCH_KEY, "stranger.secret"])
def test_a_wrong_key_is_refused(ctl, key):
    code, out, err = ctl("teams", key=key)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "unknown_key" in err


def test_the_loser_of_a_race_is_told_the_revision_and_what_changed(ctl, server):
    operators = server.gateway.operators
    inner = operators.apply_config

    async def overtaken(key, document, expected_revision):
        operators.put({**operators.document, "preset": "maintenance"})
        return await inner(key, document, expected_revision)

    operators.apply_config = overtaken
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
    server.gateway.operators.apply_config = refuse_by_store
    code, out, err = ctl("presets", "use", "peak")
    assert (code, out) == (ExitCode.UNKNOWN, "")
    assert "unchanged so far" in err
    assert server.calls.count(APPLY) == 1


def test_an_edit_that_can_not_be_read_back_is_unknown(ctl, server):
    operators = server.gateway.operators
    operators.lost_reply = StoreTimeoutError()
    inner = operators.apply_config

    async def last_words(*args):
        operators.store_error = None
        try:
            return await inner(*args)
        finally:
            operators.store_error = StoreTimeoutError()

    operators.apply_config = last_words
    code, _, err = ctl("presets", "use", "peak")
    assert code == ExitCode.UNKNOWN
    assert "reading back failed" in err


def test_an_edit_that_was_overwritten_after_its_reply_was_lost_is_unknown(ctl, server):
    operators = server.gateway.operators
    inner = operators.apply_config

    async def overwritten(*args):
        await inner(*args)
        operators.put({**operators.document, "preset": "maintenance"})
        raise StoreTimeoutError

    operators.apply_config = overwritten
    code, _, err = ctl("presets", "use", "peak")
    assert code == ExitCode.UNKNOWN
    assert "holds another change" in err


async def refuse_by_store(*args):
    raise StoreTimeoutError


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
    with pytest.raises(SystemExit) as caught:
        ctl("config", "apply", path)
    assert caught.value.code == ExitCode.USAGE


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
    # Another daemon knows the task, so the same command tells in the end.
    server.faults.clear()
    code, out, _ = ctl("tasks", "submit", path, key=DISPATCH_KEY)
    assert code == ExitCode.OK
    assert "admitted" in out


@pytest.mark.parametrize("error", [ZeroDivisionError(), CancelledError()])
def test_a_submit_that_a_daemon_gave_up_is_never_said_to_be_refused(
    ctl, server, tmp_path, error
):
    async def broken(*args):
        raise error

    path = tmp_path / "tasks.json"
    path.write_text(json.dumps([SUBMITTED]))
    server.gateway.callers.submit = broken
    assert ctl("tasks", "submit", path, key=DISPATCH_KEY)[0] == ExitCode.UNKNOWN


def test_wait_shows_results_and_tells_by_its_code(ctl, server):
    submit(server, "a", "b")
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
    submit(server, "a")
    server.gateway.callers.end(TaskId("dispatch", "tours", "a"), "route 7", "0" * 64)
    code, out, err = ctl("tasks", "show", "tours/a", key=DISPATCH_KEY)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "damaged_answer" in err


def test_a_result_that_was_altered_on_its_way_is_not_shown(ctl, server):
    submit(server, "a")
    server.gateway.callers.end(TaskId("dispatch", "tours", "a"), "route 7")
    server.alter = lambda body: body.replace(b"route 7", b"route 8")
    code, out, err = ctl("tasks", "show", "tours/a", key=DISPATCH_KEY)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "damaged_answer" in err


def test_control_characters_of_a_result_do_not_reach_the_terminal(ctl, server):
    submit(server, "a")
    result = "\x1b[2Jgone\nTASK  forged"
    server.gateway.callers.end(TaskId("dispatch", "tours", "a"), result)
    _, out, _ = ctl("tasks", "show", "tours/a", key=DISPATCH_KEY)
    assert "\x1b" not in out
    assert len(out.splitlines()) == 2


def test_a_list_is_read_to_its_end_and_no_further(ctl, server):
    submit(server, *[f"r-{n:04}" for n in range(700)])
    _, out, err = ctl("tasks", "list", "--workspace", "tours", key=DISPATCH_KEY)
    assert (len(out.splitlines()), err) == (
        201,
        "more: --after 'dispatch/tours/r-0199/0'\n",
    )
    _, out, err = ctl("tasks", "list", "--team", "dispatch", "--limit", 1000)
    assert (len(out.splitlines()), err) == (701, "")
