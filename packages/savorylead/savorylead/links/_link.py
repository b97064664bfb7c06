"""Links, and the narrow interface to whatever carries their bytes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from datetime import timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred

from ._counts import LinkCount


class LinkRequest(NamedTuple):
    """What one call sends."""

    #: An HTTP method, or what the transport knows instead.
    method: str
    #: Path and query of the resource.
    path: str
    body: bytes = b""
    #: Whether the call may be sent again after it may already have run.
    idempotent: bool = False
    #: While the reply is arriving the call goes on beyond its timeout, up to this time;
    #: for replies whose size has no bound. None: the timeout bounds the whole reply.
    longest: timedelta | None = None


class LinkReply(NamedTuple):
    """What the other end answered, whole."""

    #: An HTTP status.
    status: int
    body: bytes


class Connection(ABC):
    """One connection, which carries one call at a time."""

    @abstractmethod
    def call(self, request: LinkRequest) -> Deferred[LinkReply]:
        """Send the request and return its reply.

        It fails with LinkBrokenError, whose ``sent`` tells whether any byte may
        have left. Cancelling it closes the connection, so that a late reply can
        never be taken for the reply to another call.
        """

    def received(self) -> int:
        """Return how many bytes have arrived so far; 0 where that is not known."""
        return 0

    @abstractmethod
    def close(self) -> None:
        """Drop the connection at once, without waiting for the other end."""

    @abstractmethod
    def is_closed(self) -> bool:
        """Return whether either end closed it, as far as this end knows."""


class Transport(ABC):
    """Opens connections to one other end."""

    @abstractmethod
    def connect(self) -> Deferred[Connection]:
        """Open a connection; fails with LinkUnavailableError. May be cancelled."""

    @abstractmethod
    def heartbeat(self) -> LinkRequest:
        """Return the cheapest idempotent request that the other end answers."""


class Link(ABC):
    """A way to call one other end."""

    #: Events since the start.
    counts: Counter[LinkCount]

    @abstractmethod
    async def call(self, request: LinkRequest, timeout: timedelta) -> LinkReply:
        """Return the reply within ``timeout``, or raise LinkError.

        With ``request.longest`` the timeout bounds the time until the reply begins to
        arrive, and each silence within it. A reply of any status is a reply. The
        error's ``sent`` tells whether the call may have run.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop all connections; calls under way fail with LinkClosedError."""
