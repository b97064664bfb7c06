"""Decoding and validation of a pool daemon's settings."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from savorylead.pools import FULL_POLICY, SchedulingPolicy
from savorylead_daemon.main import main
from savorylead_daemon.pool import is_for_pools, parse_pool_settings
from savorylead_daemon.settings import SettingsError

SETTINGS: dict[str, Any] = {
    "name": "edge-1",
    "region": "r",
    "domain": "d",
    "listen": {
        "callers": "10.1.0.5:8686",
        "readiness": "10.1.0.5:8689",
        "peers": "10.1.0.5:7180",
        "metrics": "10.1.0.5:7181",
    },
    "platform": {
        "adapter": "savorylead_platform",
        "store": "10.200.1.7:8683",
        "adviser": "",
        "machines": "10.200.0.50:8683",
    },
    "bounds": {"key_withdrawn_ms": 5000, "stop_s": 6, "status_for_s": 120},
}


def changed(path: str, value: Any) -> bytes:
    document = json.loads(json.dumps(SETTINGS))
    *sections, field = path.split(".")
    table = document
    for section in sections:
        table = table[section]
    if value is None:
        del table[field]
    else:
        table[field] = value
    return json.dumps(document).encode()


def test_settings_are_read() -> None:
    settings = parse_pool_settings(json.dumps(SETTINGS).encode())
    assert settings.platform.store == "10.200.1.7:8683"
    assert settings.bounds.stop_s == 6.0
    assert settings.log.lines_per_event_per_s == 50


@pytest.mark.parametrize(
    "path, value, expected",
    [
        ("name", "", "$.name"),
        ("name", None, "name"),
        ("listen.callers", "host", "$.listen.callers"),
        ("listen.spare", "10.1.0.5:1", "spare"),
        ("platform.store", None, "store"),
        ("bounds.key_withdrawn_ms", 0, "$.bounds.key_withdrawn_ms"),
        ("bounds.stop_s", "six", "$.bounds.stop_s"),
        ("machine", {"cores": -1}, "$.machine.cores"),
        ("machine", {"cpu_share": 0}, "$.machine.cpu_share"),
        ("machine", {"link_mbps": "wide"}, "$.machine.link_mbps"),
        ("machine", {"memory_mb": 0.5}, "$.machine.memory_mb"),
        ("machine", {"disk_mb": 1}, "disk_mb"),
        ("scheduling", {"mode": "maybe"}, "$.scheduling.mode"),
        ("scheduling", {"stop_ms": -1}, "$.scheduling.stop_ms"),
        ("scheduling", {"restore_ms": 0.5}, "$.scheduling.restore_ms"),
    ],
)
def test_a_fault_is_told_with_its_path(path: str, value: Any, expected: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_pool_settings(changed(path, value))
    assert expected in str(caught.value)


@pytest.mark.parametrize(
    "text, expected",
    [
        (json.dumps(SETTINGS).encode(), True),
        (b'{"platform": {"store": "x"}}', False),
        (b"[]", False),
        (b"no json", False),
    ],
)
def test_the_kind_of_settings_is_told_by_the_adapter(
    text: bytes, expected: bool
) -> None:
    assert is_for_pools(text) is expected


@pytest.mark.parametrize(
    "text, code", [(json.dumps(SETTINGS).encode(), 0), (changed("name", 7), 2)]
)
def test_check_config_checks_and_stops(tmp_path: Path, text: bytes, code: int) -> None:
    path = tmp_path / "node.json"
    path.write_bytes(text)
    with pytest.raises(SystemExit) as stopped:
        main(["--config", str(path), "--check-config"])
    assert stopped.value.code == code


@pytest.mark.parametrize(
    "scheduling, policy",
    [
        ({}, SchedulingPolicy()),
        ({"stop_ms": 900, "restore_ms": 100}, SchedulingPolicy()),
        ({"stop_ms": 900, "restore_ms": 101}, FULL_POLICY),
        ({"stop_ms": 900, "restore_ms": 600, "mode": "off"}, SchedulingPolicy()),
        ({"mode": "on"}, FULL_POLICY),
    ],
)
def test_optional_decisions_are_made_where_a_move_takes_over_a_second(
    scheduling: dict[str, Any], policy: SchedulingPolicy
) -> None:
    # Deployments that don't ask for them must be served as before.
    settings = parse_pool_settings(changed("scheduling", scheduling))
    assert settings.scheduling.policy() == policy
