"""What all commands share: help, tables, JSON, endpoints and keys."""

import json
import socket
from pathlib import Path

import pytest

from savorylead.resources import Resources
from savorylead_ctl.commands import COMMAND_GROUPS
from savorylead_ctl.exit_codes import MEANINGS, ExitCode
from savorylead_ctl.main import build_parser, run
from savorylead_daemon.services import WorkerView
from savorylead_standins.console import ManualClock, closed_endpoint
from savorylead_standins.services import (
    DISPATCH_KEY,
)

ROOT = Path(__file__).parents[4]
APPLY = ("POST", "/v1/operators/config")


def test_every_command_has_a_help_and_every_code_a_meaning(capsys):
    assert MEANINGS.keys() == set(ExitCode)
    for group in COMMAND_GROUPS:
        for command in group.commands:
            words = [group.name]
            if len(group.commands) > 1:
                words.append(command.name)
            with pytest.raises(SystemExit) as exit_info:
                build_parser().parse_args([*words, "--help"])
            assert exit_info.value.code == 0
            assert "--json" in capsys.readouterr().out


def test_the_api_page_lists_every_exit_code():
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
    (
        ["presets"],
        "PRESET       IN FORCE  SPREAD  PACKING  ACC GUARD  AGEING S  PREEMPTION"
        "  BACKFILL  RESERVATION S  BATCH  REBALANCE\n"
        "maintenance  no        1       1        1          60        yes       "
        "  yes       30             no     -\n"
        "ordinary     yes       1       1        1          60        yes       "
        "  yes       30             yes    -\n"
        "peak         no        1       1        1          60        yes       "
        "  yes       30             yes    -\n",
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


def test_an_endpoint_that_can_not_be_reached_is_passed_over(ctl, server):
    endpoints = ",".join([closed_endpoint(), server.endpoint, closed_endpoint()])
    assert ctl("presets", "use", "peak", endpoints=endpoints)[0] == ExitCode.OK
    assert server.calls.count(APPLY) == 1


def test_unreachable_endpoints_are_listed_with_each_reason(ctl):
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
