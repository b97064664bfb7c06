"""Command lines against an entrance on loopback."""

from __future__ import annotations

import contextlib
import io
import socket
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from savorylead_ctl.commands import BlockingClock
from savorylead_ctl.exit_codes import ExitCode
from savorylead_ctl.main import run
from savorylead_standins.services import DISPATCH_KEY, OPERATOR_KEY, LoopbackGateway


class ManualClock(BlockingClock):
    """Time that passes only by sleeping, which may make things happen."""

    def __init__(self, on_sleep: Callable[[], None] = lambda: None) -> None:
        self._now = datetime(2030, 1, 1, tzinfo=UTC)
        self._on_sleep = on_sleep

    def now(self) -> datetime:
        """Return the time that was slept so far, after a fixed start."""
        return self._now

    def sleep(self, delay: timedelta) -> None:
        """Let time pass at once."""
        self._now += delay
        self._on_sleep()


class ConsoleResult(NamedTuple):
    """What a command line did to the console."""

    code: ExitCode
    out: str
    err: str


class Console:
    """Runs command lines with an operator's key unless told otherwise."""

    def __init__(self, server: LoopbackGateway) -> None:
        self._server = server

    def __call__(
        self,
        *argv: Any,
        key: str = OPERATOR_KEY,
        endpoints: str = "",
        clock: BlockingClock | None = None,
    ) -> ConsoleResult:
        """Run one; raises SystemExit as argparse does."""
        environ = {
            "SAVORYLEAD_ENDPOINTS": endpoints or self._server.endpoint,
            "SAVORYLEAD_KEY": key,
        }
        out, err = io.StringIO(), io.StringIO()
        words = [str(word) for word in argv]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run(words, environ, clock or ManualClock())
        return ConsoleResult(code, out.getvalue(), err.getvalue())


def closed_endpoint() -> str:
    """Return an endpoint where nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def submit_tasks(server: LoopbackGateway, *requests: str) -> None:
    """Submit a batch task to the server's gateway for each request."""
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
    if reply.status != 200:
        raise RuntimeError(reply.body)
