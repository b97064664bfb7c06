"""The deployment files match the daemon that they start."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from savorylead_daemon.pool import parse_pool_settings
from savorylead_daemon.pool.settings import MachineSettings, SchedulingSettings
from savorylead_platform_standin._settings_template import render

DEPLOY = Path(__file__).resolve().parents[5] / "deploy"
FIELDS: dict[str, Any] = {
    "node_name": "edge-1",
    "region": "r",
    "zone": "z",
    "listen": {"front": "10.1.0.5:8686", "readiness": "10.1.0.5:8689"},
    "ip": "10.1.0.5",
    "port_range": [7180, 7195],
    "platform": {"address": "10.200.1.7:8683"},
    "advice": "10.200.1.9:8683",
    "cloud_api": {"address": "10.200.0.50:8683"},
    "limits": {"cpu_share": 0.5, "cores": 3, "link_mbps": 100.0, "memory_mb": 300},
}
BOUNDS = {"revoke_ms": 5_000, "grace_s": 6, "status_s": 120}


@pytest.mark.parametrize(
    ("bounds", "worker_lease_ms", "scheduling"),
    [
        ({}, 6_000, SchedulingSettings()),
        ({"hold_max_ms": 4_000}, 4_000, SchedulingSettings()),
        ({"stop_ms": 900, "restore_ms": 600}, 6_000, SchedulingSettings(900, 600)),
    ],
)
def test_the_template_gives_settings_that_pass_the_check(
    bounds: dict[str, int], worker_lease_ms: int, scheduling: SchedulingSettings
) -> None:
    template = (DEPLOY / "settings.json.tmpl").read_text()
    text = render(template, {**FIELDS, "bounds": {**BOUNDS, **bounds}})
    settings = parse_pool_settings(text.encode())
    assert settings.listen.peers == "10.1.0.5:7180"
    assert settings.bounds.status_for_s == 120
    assert settings.bounds.worker_lease_ms == worker_lease_ms
    assert settings.scheduling == scheduling
    assert settings.machine == MachineSettings(0.5, 3.0, 100.0, 300)


def test_the_role_starts_the_daemon_with_the_template() -> None:
    deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    assert "savorylead_daemon.main" in role["run"]
    assert (DEPLOY.parent / role["template"]).is_file()


def test_libraries_are_pinned_as_in_the_workspace() -> None:
    pins = (DEPLOY.parent / "constraints.txt").read_text().splitlines()
    wanted = (DEPLOY / "requirements.txt").read_text().splitlines()
    assert set(wanted) <= set(pins)
    assert wanted
