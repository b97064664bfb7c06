"""JsonResource in a JsonSite, over in-memory transports."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from savorylead_daemon.http import (
    HttpError,
    JsonRequest,
    JsonResource,
    JsonResponse,
    JsonSite,
    json_response,
)


class _KnownError(Exception):
    pass


class _Server:
    """One connection to a site over an in-memory transport."""

    def __init__(self, handler, max_body_bytes=100):
        def mapping(exc):
            known = isinstance(exc, _KnownError)
            return json_response(409, {"known": True}) if known else None

        site = JsonSite(JsonResource(handler, mapping), max_body_bytes)
        site._reactor = Clock()
        self.conn = site.buildProtocol(None)
        self.transport = StringTransport()
        self.conn.makeConnection(self.transport)

    def send(self, data: bytes) -> None:
        self.conn.dataReceived(data)

    def replies(self) -> list[tuple[int, object]]:
        replies = []
        rest = self.transport.value()
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int({k.lower(): v for k, v in fields.items()}[b"content-length"])
            replies.append((int(head.split()[1]), json.loads(rest[:length] or "null")))
            rest = rest[length:]
        return replies


def _post(body: bytes, path: str = "/a", length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode()
        + body
    )


async def _echo(req: JsonRequest) -> JsonResponse:
    return json_response(
        200, [req.method, req.path, dict(req.query), req.headers["host"], len(req.body)]
    )


async def _raise(exc: Exception) -> JsonResponse:
    raise exc


def test_the_handler_sees_the_whole_request():
    server = _Server(_echo)
    server.send(_post(b"12345", "/a%20b/c?x=1&y=a%26b&x=2"))
    assert server.replies() == [
        (200, ["POST", "/a b/c", {"x": "2", "y": "a&b"}, "x", 5])
    ]


def test_several_requests_share_a_connection():
    server = _Server(_echo)
    server.send(_post(b"1") + _post(b"22"))
    assert [reply[1][4] for reply in server.replies()] == [1, 2]


@pytest.mark.parametrize(
    ("exc", "status", "content"),
    [
        (
            HttpError(404, "absent", "no such key", "$.key"),
            404,
            {"error": {"code": "absent", "detail": "no such key", "path": "$.key"}},
        ),
        (_KnownError(), 409, {"known": True}),
        (
            CancelledError(),
            503,
            {
                "error": {
                    "code": "cancelled",
                    "detail": "the server gave up",
                    "path": "$",
                }
            },
        ),
        (
            KeyError("secret"),
            500,
            {"error": {"code": "internal", "detail": "KeyError", "path": "$"}},
        ),
    ],
)
def test_exceptions_become_typed_answers(exc, status, content):
    server = _Server(lambda req: _raise(exc))
    server.send(_post(b""))
    assert server.replies() == [(status, content)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (_post(b"x" * 100), 200),
        (_post(b"x" * 101), 413),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n",
            413,
        ),
    ],
)
def test_a_body_over_the_limit_is_refused(data, status):
    server = _Server(_echo)
    server.send(data)
    assert [reply[0] for reply in server.replies()] == [status]


def test_a_body_far_over_the_limit_cuts_the_connection():
    server = _Server(_echo)
    server.send(_post(b"x" * 201, length=10_000_000))
    assert server.transport.disconnecting or server.transport.disconnected
    assert server.replies() == []


def test_a_disconnect_cancels_the_handler():
    events = []

    async def wait_until_cancelled(req: JsonRequest) -> JsonResponse:
        try:
            await Deferred()
        except CancelledError:
            events.append("cancelled")
            raise

    server = _Server(wait_until_cancelled)
    server.send(_post(b""))
    assert events == []
    server.conn.connectionLost(Failure(ConnectionDone()))
    assert events == ["cancelled"]
    assert server.replies() == []
