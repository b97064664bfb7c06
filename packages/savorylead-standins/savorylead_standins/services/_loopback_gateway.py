"""A daemon's entrance on a loopback port, for clients that block."""

from __future__ import annotations

import enum
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, HTTPServer
from types import TracebackType
from typing import Any

from ._memory_connection import HttpReply
from ._memory_gateway import MemoryGateway

#: Longest wait of a call, by the gateway's own time.
MAX_WAIT_S = 60
#: How often the thread looks whether it should end.
POLL_S = 0.01


class ReplyFault(enum.Enum):
    """What befalls the reply to a call that took effect."""

    #: The connection is closed before the first byte.
    LOST = enum.auto()
    #: The connection is closed half-way through the body.
    CUT = enum.auto()
    #: The body is a page of a proxy.
    NOT_JSON = enum.auto()


class LoopbackGateway:
    """Serves a MemoryGateway from one thread until the context ends.

    Time of the gateway advances only while a call waits, so no wait is real.
    """

    def __init__(self, gateway: MemoryGateway) -> None:
        self.gateway = gateway
        #: Befalls the replies to these calls, by method and path without query.
        self.faults: dict[tuple[str, str], ReplyFault] = {}
        #: Every call that was received, as (method, path).
        self.calls: list[tuple[str, str]] = []
        #: Changes the body of every reply on its way.
        self.alter: Callable[[bytes], bytes] = bytes
        self._server = HTTPServer(("127.0.0.1", 0), self._handler_class())
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(POLL_S,), daemon=True
        )

    @property
    def endpoint(self) -> str:
        """Where it listens, as "IP:port"."""
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    def __enter__(self) -> LoopbackGateway:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()

    def _handler_class(self) -> type[BaseHTTPRequestHandler]:
        serve = self._serve

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:  # noqa: N802 - the name is the library's.
                serve(self)

            def do_POST(self) -> None:  # noqa: N802 - the name is the library's.
                serve(self)

            def log_message(self, *args: Any) -> None:
                """Write no line per request."""

        return Handler

    def _serve(self, request: BaseHTTPRequestHandler) -> None:
        body = request.rfile.read(int(request.headers.get("Content-Length", 0)))
        call = (request.command, request.path.partition("?")[0])
        self.calls.append(call)
        reply = self._forward(request, body)
        fault = self.faults.get(call)
        if fault is ReplyFault.LOST:
            return
        content = self.alter(reply.body)
        if fault is ReplyFault.NOT_JSON:
            content = b"<html>Bad gateway</html>"
        request.send_response(reply.status)
        request.send_header("Content-Length", str(len(content)))
        request.end_headers()
        if fault is ReplyFault.CUT:
            content = content[: len(content) // 2]
        request.wfile.write(content)

    def _forward(self, request: BaseHTTPRequestHandler, body: bytes) -> HttpReply:
        conn = self.gateway.connect()
        key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        conn.request(request.command, request.path, body, key or None)
        for _ in range(MAX_WAIT_S):
            if conn.replies():
                break
            self.gateway.time.advance(1)
        return conn.replies()[0]
