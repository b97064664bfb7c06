"""HttpTransport against servers that misbehave, over loopback connections."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest
from twisted.internet import reactor
from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.protocol import Factory, Protocol

from savorylead.clock import TwistedClock
from savorylead.links import (
    DeadlineExceededError,
    LinkBrokenError,
    LinkReply,
    LinkRequest,
    LinkUnavailableError,
    ResilientLink,
    RetryBudget,
    within,
)
from savorylead_daemon.http import HttpEndpoint, HttpTransport, Traffic
from savorylead_standins.loopback import run_on_reactor

_POST = LinkRequest("POST", "/x?y=1", b"body")
_GET = LinkRequest("GET", "/x")
_SHORT_TIMEOUT = timedelta(seconds=0.3)
_LONG_TIMEOUT = timedelta(seconds=20)


class _ScriptedServer(Protocol):
    """Answers each request with the next of the scripted replies."""

    def connectionMade(self):  # noqa: N802 - the name is Twisted's.
        self.factory.conns.append(self)

    def connectionLost(self, reason):  # noqa: N802
        self.factory.lost += 1

    def dataReceived(self, data):  # noqa: N802
        self.factory.received.append(data)
        reply = self.factory.replies.pop(0) if self.factory.replies else None
        if reply is None:
            return
        self.transport.write(reply.rstrip(b"!"))
        if reply.endswith(b"!"):
            self.transport.loseConnection()


class _Server:
    """A listening port whose replies are scripted."""

    def __init__(self, *replies):
        self.factory = Factory.forProtocol(_ScriptedServer)
        self.factory.conns = []
        self.factory.lost = 0
        self.factory.received = []
        self.factory.replies = list(replies)
        self.port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.endpoint = f"127.0.0.1:{self.port.getHost().port}"
        self.clock = TwistedClock.starting_now(reactor)

    async def connect(self, **options):
        transport = HttpTransport(reactor, f"{self.endpoint}/p", **options)
        return await within(self.clock, _LONG_TIMEOUT, transport.connect())

    async def call(self, conn, request=_POST, limit=_LONG_TIMEOUT):
        return await within(self.clock, limit, conn.call(request))

    async def stop(self):
        for conn in self.factory.conns:
            conn.transport.abortConnection()
        await maybeDeferred(self.port.stopListening)


def _run(test, *replies):
    async def work():
        server = _Server(*replies)
        try:
            return await test(server)
        finally:
            await server.stop()

    return run_on_reactor(work)


def _reply(body: bytes, status: bytes = b"200 OK", **headers: str) -> bytes:
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body)]
    lines += [f"{name}: {value}".encode() for name, value in headers.items()]
    return b"\r\n".join([*lines, b"", body])


def test_one_connection_carries_many_requests():
    async def test(server):
        conn = await server.connect(headers={"x-client": "d1"})
        replies = [await server.call(conn), await server.call(conn, _GET)]
        assert replies == [LinkReply(200, b"one"), LinkReply(503, b"")]
        assert len(server.factory.conns) == 1
        assert not conn.is_closed()
        head, _, body = server.factory.received[0].partition(b"\r\n\r\n")
        assert head.startswith(b"POST /p/x?y=1 HTTP/1.1\r\n")
        assert b"x-client: d1" in head.lower()
        assert body == b"body"

    _run(test, _reply(b"one"), _reply(b"", b"503 Down"))


def test_bytes_of_a_reply_count_before_it_is_whole():
    async def test(server):
        conn = await server.connect()
        calling = conn.call(_GET)
        while conn.received() < len(_reply(b"12345")) - 1:
            await server.clock.sleep(timedelta(milliseconds=10))
        assert not calling.called
        calling.addErrback(lambda failure: failure.trap(LinkBrokenError))
        conn.close()

    _run(test, _reply(b"12345")[:-1])


def test_a_chunked_reply_arrives_whole():
    async def test(server):
        conn = await server.connect()
        assert (await server.call(conn)).body == b"abcdef"
        assert (await server.call(conn)).body == b"next"

    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    _run(test, chunked + b"3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n", _reply(b"next"))


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(b"!", id="closed before the reply"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-!", id="cut in the head"),
        pytest.param(_reply(b"12345")[:-1] + b"!", id="cut in the body"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab!",
            id="cut in a chunk",
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\nall of it?!", id="length not stated"),
        pytest.param(b"no HTTP at all\r\n\r\n", id="garbage"),
        pytest.param(_reply(b"x" * 101), id="length over the limit"),
        pytest.param(
            _reply(b"x" * 101)[:-101], id="length over the limit, body not sent"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n",
            id="chunks over the limit",
        ),
    ],
)
def test_a_reply_that_is_not_whole_breaks_the_connection(reply):
    async def test(server):
        conn = await server.connect(max_reply_bytes=100)
        with pytest.raises(LinkBrokenError) as caught:
            await server.call(conn)
        assert caught.value.sent
        assert conn.is_closed()

    _run(test, reply)


@pytest.mark.parametrize(
    "reply", [None, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"]
)
def test_giving_up_a_silent_connection_closes_it(reply):
    async def test(server):
        conn = await server.connect()
        with pytest.raises(DeadlineExceededError):
            await server.call(conn, limit=_SHORT_TIMEOUT)
        assert conn.is_closed()
        while not server.factory.lost:
            await server.clock.sleep(timedelta(milliseconds=5))

    _run(test, reply)


def test_a_connection_that_the_server_closed_while_idle_says_so():
    async def test(server):
        conn = await server.connect()
        await server.call(conn)
        server.factory.conns[0].transport.loseConnection()
        while not conn.is_closed():
            await server.clock.sleep(timedelta(milliseconds=5))

    _run(test, _reply(b""))


def test_a_server_that_closes_after_its_reply_is_not_asked_again():
    async def test(server):
        conn = await server.connect()
        assert (await server.call(conn)).body == b"last"
        assert conn.is_closed()

    _run(test, _reply(b"last", Connection="close"))


def test_a_refused_connection_is_told_as_not_sent():
    async def test(server):
        await server.port.stopListening()
        with pytest.raises(LinkUnavailableError) as caught:
            await server.connect()
        assert not caught.value.sent

    _run(test)


def test_a_call_that_is_cancelled_while_its_connection_opens_is_never_sent():
    # Guards against counting the cancellation as a failure to connect, which made the
    # link retry the call.
    async def test(server):
        link = ResilientLink(
            server.clock,
            random.Random(1),
            HttpTransport(reactor, server.endpoint),
            RetryBudget(0.1, 1.0),
        )
        calling = Deferred.fromCoroutine(link.call(_POST, _LONG_TIMEOUT))
        calling.cancel()
        with pytest.raises(CancelledError):
            await within(server.clock, _SHORT_TIMEOUT, calling)
        await server.clock.sleep(_SHORT_TIMEOUT)
        link.close()
        assert server.factory.received == []

    _run(test, _reply(b""))


def test_closing_a_connection_fails_its_call():
    async def test(server):
        conn = await server.connect()
        call = conn.call(_POST)
        conn.close()
        with pytest.raises(LinkBrokenError):
            await within(server.clock, _LONG_TIMEOUT, call)

    _run(test)


@pytest.mark.parametrize(
    ("text", "endpoint"),
    [
        ("10.0.0.1:80", ("10.0.0.1", 80, "")),
        ("[::1]:8080/workers/w-1", ("::1", 8080, "/workers/w-1")),
        ("10.0.0.1:80/", ("10.0.0.1", 80, "")),
    ],
)
def test_endpoints(text, endpoint):
    assert HttpEndpoint.parse(text) == endpoint


@pytest.mark.parametrize("text", ["", "10.0.0.1", "10.0.0.1:x", ":80"])
def test_what_is_no_endpoint_is_refused(text):
    with pytest.raises(ValueError, match=r"IP:port|port|Port"):
        HttpEndpoint.parse(text)


@pytest.mark.parametrize("request_", [_POST, _GET])
def test_traffic_is_what_went_over_the_connection(request_):
    traffic = Traffic()
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

    async def test(server):
        conn = await server.connect(headers={"x-client": "a"}, traffic=traffic)
        await server.call(conn, request_)
        return b"".join(server.factory.received)

    received = _run(test, reply)
    assert traffic.sent == len(received)
    assert traffic.received == len(reply)
