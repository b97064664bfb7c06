"""The deployment files match the daemon that they start."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

from savorylead_daemon.pool import parse_pool_settings
from savorylead_daemon.pool.settings import MachineSettings

DEPLOY = Path(__file__).resolve().parents[5] / "deploy"
VALUES = {
    "node_name|json": '"edge-1"',
    "region|json": '"r"',
    "zone|json": '"z"',
    "listen.front|json": '"10.1.0.5:8686"',
    "listen.readiness|json": '"10.1.0.5:8689"',
    "ip": "10.1.0.5",
    "port_range.0": "7180",
    "port_range.1": "7195",
    "platform.address|json": '"10.200.1.7:8683"',
    "advice": "10.200.1.9:8683",
    "cloud_api.address": "10.200.0.50:8683",
    "limits.cpu_share|json": "0.5",
    "limits.cores|json": "3",
    "limits.link_mbps|json": "100.0",
    "limits.memory_mb|json": "300",
    "bounds.revoke_ms": "5000",
    "bounds.grace_s": "6",
    "bounds.status_s": "120",
}


def test_the_template_gives_settings_that_pass_the_check() -> None:
    template = (DEPLOY / "settings.json.tmpl").read_text()
    text = re.sub(r"\{\{([^}]*)\}\}", lambda found: VALUES[found[1]], template)
    settings = parse_pool_settings(text.encode())
    assert settings.listen.peers == "10.1.0.5:7180"
    assert settings.bounds.status_for_s == 120
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
