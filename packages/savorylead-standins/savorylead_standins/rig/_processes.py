"""A platform and daemons as real processes on loopback."""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from twisted.internet import error
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import (
    IProcessTransport,
    IReactorProcess,
    IReactorTime,
)
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

T = TypeVar("T")

HOST = "127.0.0.1"
#: Time between the end of all processes at the limit and the end of the run.
KILL_S = 1.0


class ChildError(Exception):
    """A child process ended, or was not ready in time."""


class Child(ProcessProtocol):
    """One child process; its standard error goes to a file, its output if wanted."""

    def __init__(self, name: str, errors: Path, output: Path | None = None) -> None:
        self.name = name
        self.ended: Deferred[int] = Deferred()
        self.first_line: Deferred[bytes] = Deferred()
        self.exit_code: int | None = None
        self._errors_path = errors
        self._errors = errors.open("ab")
        self._kept_output = None if output is None else output.open("ab")
        self._output = b""

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.exit_code is None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process().pid

    def raise_if_ended(self) -> None:
        """Raise ChildError with the last line of standard error if it has ended."""
        if not self.is_running:
            lines = self._errors_path.read_text(errors="replace").splitlines()
            reason = lines[-1] if lines else "it wrote no reason"
            raise ChildError(f"{self.name} ended with {self.exit_code}: {reason}")

    def signal(self, name: str) -> None:
        """Send a signal such as "KILL"; does nothing once the process ended."""
        try:
            self._process().signalProcess(signal.Signals[f"SIG{name}"])
        except error.ProcessExitedAlready:
            return

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Take the first line of output; drop the rest unless it is kept."""
        if self._kept_output is not None:
            self._kept_output.write(data)
            self._kept_output.flush()
        if self.first_line.called:
            return
        self._output += data
        if b"\n" in self._output:
            self.first_line.callback(self._output.partition(b"\n")[0])

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep log lines."""
        self._errors.write(data)
        self._errors.flush()

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        """Note the exit code; a signal counts as its negative number."""
        status = reason.value
        code = status.exitCode
        self.exit_code = -(status.signal or 0) if code is None else code
        self._errors.close()
        if self._kept_output is not None:
            self._kept_output.close()
        if not self.first_line.called:
            # Nobody waits for the first line of a daemon.
            self.first_line.addErrback(lambda _: None)
            self.first_line.errback(ChildError(f"{self.name}: {self.exit_code}"))
        self.ended.callback(self.exit_code)

    def _process(self) -> IProcessTransport:
        return self.transport


class DaemonPorts(NamedTuple):
    """Where one daemon listens."""

    callers: int
    peers: int


class CellProcesses:
    """Starts the platform and daemons of an example, and ends all of them."""

    def __init__(
        self,
        reactor: IReactorProcess,
        example: Path,
        run_limit_s: float,
        log_level: str = "warning",
        profiles: Path | None = None,
    ) -> None:
        """Take ``profiles``, a folder for a profile of each daemon, if wanted."""
        self.platform_ports: dict[str, str] = {}
        self.daemons: dict[str, Child] = {}
        self.ports: dict[str, DaemonPorts] = {}
        #: Where settings and logs lie; removed by ``end_all``.
        self.folder = tempfile.TemporaryDirectory(prefix="savorylead-")
        self._reactor = reactor
        self._example = example
        self._run_limit_s = run_limit_s
        self._log_level = log_level
        self._profiles = profiles
        self._children: list[Child] = []
        reactor.addSystemEventTrigger("before", "shutdown", self.kill_all)
        reactor.callLater(run_limit_s, self.kill_all)

    async def start_platform(self) -> None:
        """Start the stand-ins; raises ChildError."""
        child = self._spawn(
            "platform",
            [
                "-m",
                "savorylead_standins.serve",
                "--config",
                str(self._example),
                "--run-limit-s",
                str(self._run_limit_s),
                "--until-stdin-closes",
            ],
        )
        line = await child.first_line
        if line is None:
            raise ChildError(f"{child.name}: {self.log_text(child.name)}")
        self.platform_ports = json.loads(line)

    def start_daemon(self, name: str, region: str, domain: str) -> Child:
        """Start a daemon; a name that was used before keeps its ports."""
        ports = self.ports.get(name)
        if ports is None:
            ports = self.ports[name] = DaemonPorts(free_port(), free_port())
        settings = Path(self.folder.name, f"{name}.json")
        settings.write_text(json.dumps(self._settings(name, region, domain, ports)))
        command = ["-m", "savorylead_standins.rig.run_daemon"]
        command += ["--parent", str(os.getpid()), "--config", str(settings)]
        if self._profiles is not None:
            command += ["--profile", str(self._profiles / f"{name}.prof")]
        child = self._spawn(name, command)
        self.daemons[name] = child
        return child

    def running(self) -> list[Child]:
        """Return every child that has not ended."""
        return [child for child in self._children if child.is_running]

    def log_text(self, name: str) -> str:
        """Return what a process has written to standard error."""
        path = self._log_path(name)
        return path.read_text() if path.exists() else ""

    def kill_all(self) -> None:
        """Kill every child that runs."""
        for child in self.running():
            child.signal("KILL")

    async def end_all(self) -> None:
        """Kill every child that runs, and wait for its end."""
        self.kill_all()
        for child in self.running():
            await child.ended
        self.folder.cleanup()

    def _settings(
        self, name: str, region: str, domain: str, ports: DaemonPorts
    ) -> dict[str, Any]:
        demo = json.loads(self._example.read_text())["demo"]
        return {
            "name": name,
            "region": region,
            "domain": domain,
            "listen": {
                "callers": f"{HOST}:{ports.callers}",
                "peers": f"{HOST}:{ports.peers}",
            },
            "platform": {
                "store": self.platform_ports["store"],
                "vm_list": self.platform_ports["vm_list"],
            },
            "log": {"level": self._log_level},
            "operator_key_sha256": [demo["operator_key_sha256"]],
        }

    def _spawn(self, name: str, arguments: list[str]) -> Child:
        child = Child(name, self._log_path(name))
        command = [sys.executable, *arguments]
        self._reactor.spawnProcess(child, sys.executable, command, env=None)
        self._children.append(child)
        return child

    def _log_path(self, name: str) -> Path:
        return Path(self.folder.name, f"{name}.log")


def run_with_timeout(
    reactor: IReactorTime, work: Coroutine[Any, Any, T], run_limit_s: float
) -> Deferred[T]:
    """Run ``work``; cancel it shortly after its processes were killed at the limit."""
    return Deferred.fromCoroutine(work).addTimeout(run_limit_s + KILL_S, reactor)


def free_port() -> int:
    """Return a port of loopback that nobody listens on now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]
