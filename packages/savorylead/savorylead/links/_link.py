"""Interfaces of links and of the transports below them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from datetime import timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred

from ._counts import LinkCount


class LinkRequest(NamedTuple):
    """The request of one call."""

    #: An HTTP method, or the equivalent of another transport.
    method: str
    #: Path and query of the resource.
    path: str
    body: bytes = b""
    #: Whether the call may be resent when an earlier attempt may have run.
    idempotent: bool = False
    #: Upper limit of the call's duration while the reply keeps arriving after the
    #: timeout, for replies of unbounded size. None: the timeout covers the whole reply.
    max_duration: timedelta | None = None


class LinkReply(NamedTuple):
    """A complete reply."""

    #: An HTTP status.
    status: int
    body: bytes


class Connection(ABC):
    """One connection, which carries one call at a time."""

    @abstractmethod
    def call(self, request: LinkRequest) -> Deferred[LinkReply]:
        """Send the request and return its reply.

        Fails with LinkBrokenError, whose ``sent`` is true if any byte may have been
        sent. Cancelling the Deferred closes the connection, so that a late reply is
        never taken for the reply to another call.
        """

    def received(self) -> int:
        """Return the number of bytes received so far; 0 if it is not known."""
        return 0

    @abstractmethod
    def close(self) -> None:
        """Close the connection immediately, without waiting for the remote side."""

    @abstractmethod
    def is_closed(self) -> bool:
        """Return whether the connection is known to be closed by either side."""


class Transport(ABC):
    """Opens connections to one server."""

    @abstractmethod
    def connect(self) -> Deferred[Connection]:
        """Open a connection; fails with LinkUnavailableError. May be cancelled."""

    @abstractmethod
    def heartbeat(self) -> LinkRequest:
        """Return the cheapest idempotent request that the server answers."""


class Link(ABC):
    """Sends calls to one server."""

    #: Event counts since the start.
    counts: Counter[LinkCount]

    @abstractmethod
    async def call(self, request: LinkRequest, timeout: timedelta) -> LinkReply:
        """Return the reply within ``timeout``, or raise LinkError.

        With ``request.max_duration`` the timeout limits the time until the reply begins
        to arrive, and each gap within it. A reply with an error status is returned like
        any other. The error's ``sent`` is true if the call may have run.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections; calls in flight fail with LinkClosedError."""
