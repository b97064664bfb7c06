"""Persistent HTTP connections that their caller owns.

Twisted's ``Agent`` hides its connections in a pool, where the caller can't close one
that has stopped responding, and takes twice the processor time per request. This
module uses the protocol on which ``Agent`` is built.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.interfaces import IConsumer, IReactorTCP
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from twisted.web.client import (
    HTTP11ClientProtocol,
    Request,
    RequestNotSent,
    Response,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from savorylead.links import (
    Connection,
    LinkBrokenError,
    LinkReply,
    LinkRequest,
    LinkUnavailableError,
    Transport,
)

from ._traffic import Traffic, header_bytes

#: Default limit for the body of a reply.
DEFAULT_MAX_REPLY_BYTES = 8_000_000
#: Limit for establishing a TCP connection.
_CONNECT_TIMEOUT_S = 10
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class HttpEndpoint(NamedTuple):
    """The address of a server."""

    #: An IP address.
    host: str
    port: int
    #: Prepended to every path; empty, or "/" and a name, without a trailing "/".
    prefix: str = ""

    @classmethod
    def parse(cls, text: str) -> HttpEndpoint:
        """Parse "IP:port" or "IP:port/prefix"; raises ValueError."""
        parts = urlsplit(f"//{text}")
        if not parts.hostname or not parts.port:
            raise ValueError(f"not an IP:port: {text!r}")
        return cls(parts.hostname, parts.port, parts.path.rstrip("/"))


class HttpTransport(Transport):
    """Opens HTTP connections to one server."""

    def __init__(
        self,
        reactor: IReactorTCP,
        endpoint: str,
        headers: Mapping[str, str] = _NO_HEADERS,
        max_reply_bytes: int = DEFAULT_MAX_REPLY_BYTES,
        traffic: Traffic | None = None,
    ) -> None:
        """Create a transport to ``endpoint``: "IP:port" or "IP:port/prefix".

        Bytes are counted in ``traffic``, which several transports may share.
        """
        self._endpoint = HttpEndpoint.parse(endpoint)
        self._headers = Headers({name: [value] for name, value in headers.items()})
        self._headers.setRawHeaders("host", [self._endpoint.host])
        self._max_reply_bytes = max_reply_bytes
        self._client = _client_endpoint(reactor, self._endpoint)
        self._traffic = traffic or Traffic()
        self._factory = _ClientFactory(self._traffic)

    def connect(self) -> Deferred[Connection]:
        """Open a connection; fails with LinkUnavailableError."""
        opening = self._client.connect(self._factory)
        opening.addCallbacks(self._connected, _fail_to_connect)
        return opening

    def heartbeat(self) -> LinkRequest:
        """Return a request that every server of the system answers."""
        return LinkRequest("GET", "/healthz", idempotent=True)

    def _connected(self, protocol: _ClientProtocol) -> Connection:
        return HttpConnection(
            protocol,
            self._endpoint.prefix,
            self._headers,
            self._max_reply_bytes,
            self._traffic,
        )


class HttpConnection(Connection):
    """One HTTP/1.1 connection, which carries one request at a time."""

    def __init__(
        self,
        protocol: _ClientProtocol,
        prefix: str,
        headers: Headers,
        max_reply_bytes: int,
        traffic: Traffic,
    ) -> None:
        self._protocol = protocol
        self._traffic = traffic
        self._header_bytes = header_bytes(headers)
        self._prefix = prefix
        self._headers = headers
        self._max_reply_bytes = max_reply_bytes

    def call(self, request: LinkRequest) -> Deferred[LinkReply]:
        """Send the request and return its complete reply."""
        exchange = _Exchange(self._protocol, self._max_reply_bytes)
        method = request.method.encode()
        path = (self._prefix + request.path).encode()
        self._traffic.sent += self._request_bytes(method, path, request.body)
        exchange.send(
            Request(
                method,
                path,
                self._headers,
                _BytesProducer(request.body) if request.body else None,
                persistent=True,
            )
        )
        return exchange.reply

    def _request_bytes(self, method: bytes, path: bytes, body: bytes) -> int:
        """Return the size of a request as Twisted writes it."""
        head = b"%b %b HTTP/1.1\r\n\r\n" % (method, path)
        if body:
            head += b"Content-Length: %d\r\n" % len(body)
        return len(head) + self._header_bytes + len(body)

    def received(self) -> int:
        """Return how many bytes have arrived on the connection."""
        return self._protocol.received

    def close(self) -> None:
        """Abort the connection."""
        self._protocol.drop()

    def is_closed(self) -> bool:
        """Return whether the connection can't carry another request."""
        return not self._protocol.is_ready


class _ClientProtocol(HTTP11ClientProtocol):
    """Tracks whether another request can be sent, and counts received bytes."""

    def __init__(self) -> None:
        super().__init__(self._become_ready)
        self.is_ready = True
        #: Bytes that have arrived.
        self.received = 0

    def connectionMade(self) -> None:  # noqa: N802 - the name is Twisted's.
        """Disable Nagle's algorithm, which would delay small requests."""
        super().connectionMade()
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Mark the connection as unusable."""
        self.is_ready = False
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and parse received bytes."""
        self.received += len(data)
        self.factory.traffic.received += len(data)
        super().dataReceived(data)

    def drop(self) -> None:
        """Abort the connection without waiting for the peer."""
        self.is_ready = False
        self.transport.abortConnection()

    def _become_ready(self, _: HTTP11ClientProtocol) -> None:
        self.is_ready = True


class _ClientFactory(Factory):
    """Builds the protocols of one transport."""

    protocol = _ClientProtocol
    noisy = False

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic


class _Exchange:
    """One request and its reply."""

    def __init__(self, protocol: _ClientProtocol, max_reply_bytes: int) -> None:
        self.reply: Deferred[LinkReply] = Deferred(lambda _: protocol.drop())
        self._protocol = protocol
        self._max_reply_bytes = max_reply_bytes

    def send(self, request: Request) -> None:
        """Send the request; ``reply`` fires later."""
        self._protocol.is_ready = False
        sending = self._protocol.request(request)
        sending.addCallbacks(self._read_body, self._fail_to_send)
        sending.addErrback(self.fail)

    def finish(self, status: int, body: bytes) -> None:
        """Complete the call with its reply."""
        if not self.reply.called:
            self.reply.callback(LinkReply(status, body))

    def fail(self, failure: Failure) -> None:
        """Drop the connection and fail the call, which the server may have run."""
        self._break(str(failure.value), sent=True)

    def refuse_body(self) -> None:
        """Fail the call because its reply is too large."""
        self._break("the reply exceeds the size limit", sent=True)

    def _read_body(self, response: Response) -> None:
        length = response.length
        if length is not UNKNOWN_LENGTH and length > self._max_reply_bytes:
            self.refuse_body()
            return
        response.deliverBody(_BodyReader(self, response.code, self._max_reply_bytes))

    def _fail_to_send(self, failure: Failure) -> None:
        self._break(str(failure.value), sent=not failure.check(RequestNotSent))

    def _break(self, detail: str, sent: bool) -> None:
        self._protocol.drop()
        if not self.reply.called:
            self.reply.errback(LinkBrokenError(detail, sent))


class _BodyReader(Protocol):
    """Collects the body of one reply."""

    def __init__(self, exchange: _Exchange, status: int, max_bytes: int) -> None:
        self._exchange = exchange
        self._status = status
        self._remaining_bytes = max_bytes
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer a part of the body, up to the size limit."""
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            self._exchange.refuse_body()
            return
        self._parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Complete the call with the body, or fail it if the body is truncated.

        A body without a stated length that ends with the connection may be
        truncated as well, so it fails the call.
        """
        if reason.check(ResponseDone):
            self._exchange.finish(self._status, b"".join(self._parts))
        else:
            self._exchange.fail(reason)


@implementer(IBodyProducer)
class _BytesProducer:
    """Sends a body from memory in one piece."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Write the body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is already written."""


def _client_endpoint(reactor: IReactorTCP, endpoint: HttpEndpoint) -> Any:
    kind = TCP6ClientEndpoint if ":" in endpoint.host else TCP4ClientEndpoint
    return kind(reactor, endpoint.host, endpoint.port, timeout=_CONNECT_TIMEOUT_S)


def _fail_to_connect(failure: Failure) -> None:
    if failure.check(ConnectingCancelledError):
        # A cancelled call must not be retried like a failure to connect.
        raise CancelledError from failure.value
    raise LinkUnavailableError(str(failure.value)) from failure.value
