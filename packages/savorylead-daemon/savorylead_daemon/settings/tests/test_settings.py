import copy
import json
from datetime import timedelta

import pytest

from savorylead_daemon.main import main
from savorylead_daemon.settings import (
    Endpoint,
    LogLevel,
    SettingsError,
    load_settings,
    parse_settings,
)

MINIMAL = {
    "name": "entry-1",
    "region": "monteverde",
    "domain": "mv-1",
    "listen": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:8081"},
    "platform": {"store": "127.0.0.1:7000", "vm_list": "127.0.0.1:7001"},
}


def edited(*edits):
    """Return the minimal settings with ``(path, value)`` edits; None deletes."""
    document = copy.deepcopy(MINIMAL)
    for path, value in edits:
        *parents, last = path.split(".")
        target = document
        for parent in parents:
            target = target.setdefault(parent, {})
        if value is None:
            del target[last]
        else:
            target[last] = value
    return json.dumps(document).encode()


def faults_of(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    return caught.value.faults


def test_what_is_left_out_gets_its_default():
    settings = parse_settings(edited())
    assert settings.listen.callers == Endpoint("127.0.0.1", 8080)
    assert settings.listen.advertised_peers == settings.listen.peers
    assert settings.leases.worker == timedelta(seconds=15)
    assert settings.polls.config == timedelta(seconds=1.5)
    assert settings.log.level is LogLevel.INFO
    assert settings.log.lines_per_event_per_s == 10
    assert settings.operator_key_sha256 == frozenset()


def test_what_is_given_replaces_its_default():
    text = edited(
        ("leases.worker_s", 20),
        ("listen.advertised_peers", "[::1]:9000"),
        ("log.level", "debug"),
        ("operator_key_sha256", ["a" * 64]),
    )
    settings = parse_settings(text)
    assert settings.leases.worker == timedelta(seconds=20)
    assert settings.leases.worker_renew_every == timedelta(seconds=5)
    assert settings.listen.advertised_peers == Endpoint("::1", 9000)
    assert str(settings.listen.advertised_peers) == "[::1]:9000"
    assert settings.log.level is LogLevel.DEBUG
    assert settings.operator_key_sha256 == {"a" * 64}


@pytest.mark.parametrize(
    ("edits", "paths"),
    [
        ([("name", None)], ["$.name"]),
        ([("name", "")], ["$.name"]),
        ([("name", 7)], ["$.name"]),
        ([("colour", "red")], ["$.colour"]),
        ([("limits.body_kb", 3)], ["$.limits.body_kb"]),
        ([("limits.body_bytes", 0)], ["$.limits.body_bytes"]),
        ([("limits.body_bytes", 2000.5)], ["$.limits.body_bytes"]),
        ([("limits.answer_wait_s", -1)], ["$.limits.answer_wait_s"]),
        ([("log.level", "loud")], ["$.log.level"]),
        ([("operator_key_sha256", ["abc"])], ["$.operator_key_sha256[0]"]),
        (
            [("operator_key_sha256", ["a" * 64, "a" * 64])],
            ["$.operator_key_sha256"],
        ),
        ([("listen.callers", "localhost:80")], ["$.listen.callers"]),
        ([("listen.callers", "127.0.0.1")], ["$.listen.callers"]),
        ([("listen.callers", "127.0.0.1:http")], ["$.listen.callers"]),
        ([("listen.callers", "127.0.0.1:70000")], ["$.listen.callers"]),
        ([("listen.callers", "127.0.0.1:٣")], ["$.listen.callers"]),
        ([("listen.callers", "::1:80")], ["$.listen.callers"]),
        ([("listen.peers", "127.0.0.1:8080")], ["$.listen.peers"]),
        ([("listen.peers", "0.0.0.0:8081")], ["$.listen.advertised_peers"]),
        (
            [("listen.advertised_peers", "127.0.0.1:0")],
            ["$.listen.advertised_peers"],
        ),
        ([("platform.store", "127.0.0.1:0")], ["$.platform.store"]),
        ([("platform.vm_list", "0.0.0.0:1")], ["$.platform.vm_list"]),
        (
            [("leases.worker_renew_every_s", 8)],
            ["$.leases.worker_renew_every_s"],
        ),
        (
            [("leases.member_renew_every_s", 2)],
            ["$.leases.member_renew_every_s"],
        ),
        ([("leases.drift_bound_s", 3)], ["$.leases.drift_bound_s"]),
        ([("limits.connection_idle_s", 0)], ["$.limits.connection_idle_s"]),
        ([("limits.buffered_bytes", 3_999_999)], ["$.limits.buffered_bytes"]),
        ([("limits.connections", 0)], ["$.limits.connections"]),
        # Faults of schema, endpoints and several sections are listed together.
        (
            [
                ("name", None),
                ("listen.callers", "x"),
                ("polls.config_s", "1"),
                ("colour", "red"),
            ],
            ["$.colour", "$.listen.callers", "$.name", "$.polls.config_s"],
        ),
        # The same holds for faults that depend on several fields or parsed values.
        (
            [
                ("leases.drift_bound_s", 30),
                ("leases.worker_renew_every_s", 14),
                ("platform.store", "127.0.0.1:0"),
            ],
            [
                "$.leases.drift_bound_s",
                "$.leases.worker_renew_every_s",
                "$.platform.store",
            ],
        ),
    ],
)
def test_every_fault_is_listed_with_its_path(edits, paths):
    assert sorted(fault.path for fault in faults_of(edited(*edits))) == paths


@pytest.mark.parametrize("text", [b"", b"{", b"\xff", b"[]", b"null", b'"x"'])
def test_settings_that_are_no_object_are_one_fault_at_the_root(text):
    assert [fault.path for fault in faults_of(text)] == ["$"]


def test_an_unreadable_file_is_a_fault(tmp_path):
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "absent.json")
    assert caught.value.faults[0].path == "$"


@pytest.mark.parametrize(
    ("text", "code", "stdout", "stderr"),
    [
        (edited(), 0, ": ok\n", ""),
        (edited(("name", None)), 2, "", ": $.name: missing field\n"),
    ],
)
def test_check_config_tells_by_text_and_exit_code(
    tmp_path, capsys, text, code, stdout, stderr
):
    path = tmp_path / "entry.json"
    path.write_bytes(text)
    with pytest.raises(SystemExit) as caught:
        main(["--config", str(path), "--check-config"])
    assert caught.value.code == code
    captured = capsys.readouterr()
    assert captured.out == (f"{path}{stdout}" if stdout else "")
    assert captured.err == (f"{path}{stderr}" if stderr else "")
