"""An HTTP site that limits the memory and connections that clients may use."""

from __future__ import annotations

import enum
import functools
import io
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from ._traffic import Traffic, header_bytes

#: Default limit for the body of a request.
DEFAULT_MAX_BODY_BYTES = 4_000_000


class ClientLimits(NamedTuple):
    """Limits for all clients of one site together."""

    #: Total size of the bodies of all requests that are not yet answered.
    buffered_bytes: int = 64_000_000
    #: Number of open connections; further ones are closed at once.
    connections: int = 8_192
    #: A request must have arrived completely within this time after its connection
    #: was opened or the previous response was sent. A response may take any time.
    request_s: float = 90.0


_DEFAULT_LIMITS = ClientLimits()


class BodyFault(enum.Enum):
    """Why the body of a request was discarded."""

    TOO_LARGE = enum.auto()
    #: The bodies of other requests fill the site's buffers.
    BUFFERS_FULL = enum.auto()


def body_fault(request: Request) -> BodyFault | None:
    """Return why the body was discarded, or None if it is complete."""
    return getattr(request, "body_fault", None)


class _BoundedRequest(Request):
    """Buffers its body in memory within the site's limits."""

    body_fault: BodyFault | None = None

    def __init__(self, max_body_bytes: int, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._max_body_bytes = max_body_bytes
        self._remaining_bytes = max_body_bytes
        self._reserved_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for a body of ``length`` bytes, or of unknown length."""
        super().gotLength(0)
        self.content = io.BytesIO()
        if length is not None and length > self._max_body_bytes:
            self.body_fault = BodyFault.TOO_LARGE

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a part of the body."""
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < -self._max_body_bytes:
            self.channel.forceAbortClient()
            return
        if self._remaining_bytes < 0:
            self.body_fault = BodyFault.TOO_LARGE
        if self.body_fault is None and not self.channel.site.reserve_buffer(len(data)):
            self.body_fault = BodyFault.BUFFERS_FULL
        if self.body_fault is not None:
            self._drop_body()
            return
        self._reserved_bytes += len(data)
        self.content.write(data)

    def _drop_body(self) -> None:
        self._release()
        self.content = io.BytesIO()

    def finish(self) -> None:
        """End the response and release the body's buffer space."""
        self._release()
        super().finish()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Release the body's buffer space."""
        self._release()
        super().connectionLost(reason)

    def _release(self) -> None:
        if self._reserved_bytes:
            self.channel.site.release_buffer(self._reserved_bytes)
            self._reserved_bytes = 0


class _BoundedChannel(HTTPChannel):
    """A connection with one deadline for each whole request."""

    def resetTimeout(self) -> None:  # noqa: N802
        """Do nothing, so that slow sending does not keep a connection open."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and parse received bytes."""
        self.site.traffic.received += len(data)
        super().dataReceived(data)

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Count and write the status line and headers of a response."""
        head = b"%b %b %b\r\n\r\n" % (version, code, reason)
        self.site.traffic.sent += len(head) + header_bytes(headers)
        super().writeHeaders(version, code, reason, headers)

    def write(self, data: bytes) -> None:
        """Count and write a part of a body."""
        self.site.traffic.sent += len(data)
        super().write(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Remove the connection from the site's open ones."""
        self.site.connection_ended(self)
        super().connectionLost(reason)

    def end(self) -> None:
        """Close after the response in progress, or now if there is none."""
        self.persistent = False
        if not self.requests:
            # The rest of the last response is still written before the close.
            self.transport.loseConnection()


class JsonSite(Site):
    """A site with limits for its clients and without an access log.

    A request whose body exceeds the limit is answered with 413, and a connection
    that sends more than twice the limit is aborted.
    """

    protocol = _BoundedChannel

    def __init__(
        self,
        resource: Resource,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        limits: ClientLimits = _DEFAULT_LIMITS,
    ) -> None:
        factory = functools.partial(_BoundedRequest, max_body_bytes)
        super().__init__(resource, factory, timeout=limits.request_s)
        self.displayTracebacks = False
        #: The pending results of the handlers that are running.
        self.pending_results: set[Deferred[Any]] = set()
        #: The pending results of the handlers that are running.
        self.pending_results: set[Deferred[Any]] = set()
        #: Bytes transferred on all connections.
        self.traffic = Traffic()
        self._limits = limits
        self._buffered_bytes = 0
        self._channels: set[_BoundedChannel] = set()

    @property
    def buffered_bytes(self) -> int:
        """Total size of the bodies that are buffered now."""
        return self._buffered_bytes

    @property
    def connections(self) -> int:
        """Connections that are open now."""
        return len(self._channels)

    def buildProtocol(self, addr: IAddress | None) -> _BoundedChannel | None:  # noqa: N802
        """Return the protocol of a new connection, or None to close it."""
        if len(self._channels) >= self._limits.connections:
            return None
        channel = super().buildProtocol(addr)
        self._channels.add(channel)
        return channel

    def connection_ended(self, channel: _BoundedChannel) -> None:
        """Remove a connection that has closed from the open ones."""
        self._channels.discard(channel)

    def end_connections(self) -> None:
        """Close each connection once its response is written, idle ones now.

        A planned stop calls it after the site has stopped listening and waits until
        ``connections`` is 0, so that no response is truncated.
        """
        for channel in list(self._channels):
            channel.end()

    def cancel_requests(self) -> None:
        """Answer each pending request with 503 "cancelled" now.

        The response does not say whether a requested change took effect.
        """
        for answer in list(self.pending_results):
            answer.cancel()

    def reserve_buffer(self, size: int) -> bool:
        """Reserve buffer space for a part of a body; False if the limit is reached."""
        if self._buffered_bytes + size > self._limits.buffered_bytes:
            return False
        self._buffered_bytes += size
        return True

    def release_buffer(self, size: int) -> None:
        """Release reserved buffer space."""
        self._buffered_bytes -= size

    def log(self, request: Request) -> None:
        """Do nothing; metrics count the requests."""
