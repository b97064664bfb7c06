"""A real daemon process in surroundings that a test chooses."""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import twisted

from savorylead_standins.rig import HOST, free_port

WORKSPACE = Path(__file__).resolve().parents[5]
#: Folders of the workspace that hold packages of a daemon.
SOURCES = ("packages/savorylead", "packages/savorylead-daemon", "platform")
ADAPTER = "savorylead_platform"
#: Time within which the operators expect a started daemon to answer its probe.
READY_S = 15.0
#: Time within which the operators expect a build to succeed.
BUILD_S = 900.0
POLL_S = 0.05


def base_interpreter() -> str:
    """Return the interpreter that the environment of the tests was made with.

    It has packages of its own, which a virtual environment hides.
    """
    version = f"{sys.version_info.major}.{sys.version_info.minor}"
    return str(Path(sys.base_exec_prefix, "bin", f"python{version}"))


def make_bundle(folder: Path) -> Path:
    """Fill ``folder`` with links to all packages of a daemon, and seal it."""
    folder.mkdir()
    libraries = Path(twisted.__file__).parents[1]
    sources = [WORKSPACE / source for source in SOURCES]
    for parent in (libraries, *sources):
        for path in parent.iterdir():
            if path.suffix not in (".pth", ".egg-info") and path.name != "__pycache__":
                (folder / path.name).unlink(missing_ok=True)
                (folder / path.name).symlink_to(path)
    sealed = seal(folder)
    assert sealed.returncode == 0, sealed.stderr
    return folder


def seal(folder: Path) -> subprocess.CompletedProcess[str]:
    """Run ``seal_bundle`` on a folder as the build does."""
    return subprocess.run(
        [base_interpreter(), "-m", "savorylead_daemon.seal_bundle", ADAPTER],
        env={"PATH": os.environ["PATH"], "PYTHONPATH": str(folder)},
        cwd=folder.parent,
        capture_output=True,
        text=True,
        timeout=BUILD_S,
        check=False,
    )


class Probe(NamedTuple):
    """Where a daemon answers the load balancer."""

    port: int
    path: str


class Ended(NamedTuple):
    """How a process ended."""

    code: int
    errors: str


class StartedDaemon:
    """One daemon process; its platform does not answer."""

    def __init__(
        self,
        folder: Path,
        settings: dict[str, Any],
        probe: Probe,
        environment: dict[str, str],
        working_directory: Path | None = None,
        prefix: Sequence[str] = (),
    ) -> None:
        """``prefix`` is a program, with arguments, that starts the interpreter."""
        self._probe = probe
        self._errors = folder / "errors"
        path = folder / "settings.json"
        path.write_text(json.dumps(settings))
        command = [*prefix, base_interpreter(), "-m", "savorylead_daemon.main"]
        with (folder / "output").open("wb") as output, self._errors.open("wb") as log:
            self._process = subprocess.Popen(
                [*command, "--config", str(path)],
                cwd=working_directory or folder,
                env={"PATH": os.environ["PATH"], **environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
            )

    def wait_until_it_serves(self) -> None:
        """Return once the probe is answered; fails with what the daemon wrote."""
        deadline = time.monotonic() + READY_S
        while not self._answers_probe():
            code = self._process.poll()
            assert code is None, f"ended with {code}: {self._errors.read_text()}"
            assert time.monotonic() < deadline, f"not ready after {READY_S} s"
            time.sleep(POLL_S)

    def wait_until_it_ends(self) -> Ended:
        """Return the exit code and what was written to standard error."""
        code = self._process.wait(READY_S)
        return Ended(code, self._errors.read_text())

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()

    def _answers_probe(self) -> bool:
        conn = http.client.HTTPConnection(HOST, self._probe.port, timeout=1)
        try:
            conn.request("GET", self._probe.path)
            return conn.getresponse().status in (200, 503)
        except OSError:
            return False
        finally:
            conn.close()


def pool_settings() -> tuple[dict[str, Any], Probe]:
    """Return settings of a daemon for pools, and its probe."""
    addresses = {
        name: f"{HOST}:{free_port()}"
        for name in ("callers", "readiness", "peers", "metrics")
    }
    settings = {
        "name": "edge-1",
        "region": "r",
        "domain": "d",
        "listen": addresses,
        "platform": {
            "adapter": ADAPTER,
            "store": f"{HOST}:{free_port()}",
        },
    }
    port = int(addresses["readiness"].rpartition(":")[2])
    return settings, Probe(port, "/v1/readyz")


def shard_settings() -> tuple[dict[str, Any], Probe]:
    """Return settings of a daemon for shards, and its probe."""
    callers = free_port()
    settings = {
        "name": "edge-1",
        "region": "r",
        "domain": "d",
        "listen": {
            "callers": f"{HOST}:{callers}",
            "peers": f"{HOST}:{free_port()}",
        },
        "platform": {
            "store": f"{HOST}:{free_port()}",
            "vm_list": f"{HOST}:{free_port()}",
        },
    }
    return settings, Probe(callers, "/readyz")
