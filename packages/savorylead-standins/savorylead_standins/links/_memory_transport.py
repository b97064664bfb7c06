"""Connections in memory that fail as real ones do."""

from __future__ import annotations

import enum
from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.links import (
    Connection,
    LinkBrokenError,
    LinkReply,
    LinkRequest,
    LinkUnavailableError,
    Transport,
)


class ConnectionFate(enum.Enum):
    """How connections behave; a change also befalls those that are open."""

    #: Requests arrive and replies come back.
    ANSWERS = "answers"
    #: Nothing arrives and nothing comes back, without an error.
    SILENT = "silent"
    #: Requests arrive, but nothing comes back.
    REPLIES_LOST = "replies_lost"
    #: Requests arrive, then the connection breaks before the reply.
    BREAKS = "breaks"
    #: New connections are refused; open ones break when they are used.
    REFUSED = "refused"
    #: New connections neither open nor fail; open ones are silent.
    UNREACHABLE = "unreachable"


class MemoryTransport(Transport):
    """Leads to ``serve``, a function that answers requests."""

    def __init__(
        self,
        clock: Clock,
        serve: Callable[[LinkRequest], LinkReply],
        latency: timedelta = timedelta(milliseconds=1),
    ) -> None:
        self.fate = ConnectionFate.ANSWERS
        self.latency = latency
        #: Requests that took effect, in order.
        self.served: list[LinkRequest] = []
        #: Every connection ever opened.
        self.connections: list[MemoryConnection] = []
        #: Tries to open a connection.
        self.connects = 0
        self.clock = clock
        self._serve = serve

    def connect(self) -> Deferred[Connection]:
        """Open a connection, as the fate allows."""
        self.connects += 1
        opening: Deferred[Connection] = Deferred()
        if self.fate is ConnectionFate.REFUSED:
            opening.errback(LinkUnavailableError("refused"))
        elif self.fate is not ConnectionFate.UNREACHABLE:
            conn = MemoryConnection(self)
            self.connections.append(conn)
            opening.callback(conn)
        return opening

    def heartbeat(self) -> LinkRequest:
        """Return the request of a heartbeat."""
        return LinkRequest("GET", "/healthz", idempotent=True)

    def serve(self, request: LinkRequest) -> LinkReply:
        """Let a request take effect."""
        self.served.append(request)
        return self._serve(request)

    def silence_open(self) -> None:
        """Make the connections that are open now silent, but no new ones."""
        for conn in self.connections:
            conn.silenced = True

    def open_count(self) -> int:
        """Return how many connections are open."""
        return sum(not conn.is_closed() for conn in self.connections)


class MemoryConnection(Connection):
    """One connection of a MemoryTransport."""

    def __init__(self, transport: MemoryTransport) -> None:
        #: Carries nothing any more, whatever the transport's fate.
        self.silenced = False
        self._transport = transport
        self._closed = False
        self._pending: Deferred[LinkReply] | None = None

    def call(self, request: LinkRequest) -> Deferred[LinkReply]:
        """Send the request; its reply comes two latencies later, or never."""
        if self._closed:
            raise AssertionError("a closed connection was used")
        if self._pending is not None:
            raise AssertionError("a connection carries one call at a time")
        pending: Deferred[LinkReply] = Deferred(self._give_up)
        self._pending = pending
        clock = self._transport.clock
        clock.call_later(self._transport.latency, self._arrive, pending, request)
        return pending

    def close(self) -> None:
        """Drop the connection; a pending call fails."""
        self._closed = True
        pending = self._pending
        self._pending = None
        if pending is not None and not pending.called:
            pending.errback(LinkBrokenError("closed", sent=True))

    def is_closed(self) -> bool:
        """Return whether it was closed."""
        return self._closed

    def _give_up(self, pending: Deferred[LinkReply]) -> None:
        """Close without an answer; the Deferred then tells its cancellation."""
        self._pending = None
        self.close()

    def _arrive(self, pending: Deferred[LinkReply], request: LinkRequest) -> None:
        fate = self._transport.fate
        silent = (ConnectionFate.SILENT, ConnectionFate.UNREACHABLE)
        if self.silenced or fate in silent:
            return
        if fate is ConnectionFate.REFUSED:
            self.close()
            return
        reply = self._transport.serve(request)
        if fate is ConnectionFate.BREAKS:
            self.close()
        elif fate is ConnectionFate.ANSWERS:
            clock = self._transport.clock
            clock.call_later(self._transport.latency, self._answer, pending, reply)

    def _answer(self, pending: Deferred[LinkReply], reply: LinkReply) -> None:
        if self._pending is not pending or self._closed:
            return
        self._pending = None
        pending.callback(reply)
