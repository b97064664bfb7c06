"""Connections that share the bytes a second of one machine's link."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.links import (
    Connection,
    LinkBrokenError,
    LinkReply,
    LinkRequest,
    Transport,
)

#: Bytes arrive in steps of this length.
_TICK = timedelta(milliseconds=10)
_SECOND = timedelta(seconds=1)


class LowBandwidthTransport(Transport):
    """Carries replies at a rate that all open calls divide evenly."""

    def __init__(
        self,
        clock: Clock,
        bytes_per_s: float,
        serve: Callable[[LinkRequest], LinkReply],
    ) -> None:
        self.bytes_per_s = bytes_per_s
        #: Bytes that arrived, those of calls that were given up included.
        self.received = 0
        #: While True no bytes arrive.
        self.stalled = False
        self._clock = clock
        self._serve = serve
        self._transfers: list[_Transfer] = []

    def connect(self) -> Deferred[Connection]:
        """Open a connection at once."""
        opening: Deferred[Connection] = Deferred()
        opening.callback(ThinConnection(self))
        return opening

    def heartbeat(self) -> LinkRequest:
        """Return a request that is served like any other."""
        return LinkRequest("GET", "/heartbeat", idempotent=True)

    def begin(self, request: LinkRequest) -> _Transfer:
        """Begin to carry the reply to a request."""
        transfer = _Transfer(self._serve(request))
        if not self._transfers:
            self._clock.call_later(_TICK, self._tick)
        self._transfers.append(transfer)
        return transfer

    def _tick(self) -> None:
        self._transfers = [t for t in self._transfers if not t.reply_at_hand.called]
        if not self._transfers:
            return
        part = int(self.bytes_per_s * (_TICK / _SECOND) / len(self._transfers))
        for transfer in list(self._transfers):
            if not self.stalled:
                self.received += part
                transfer.carry(part)
        self._clock.call_later(_TICK, self._tick)


class _Transfer:
    """One reply on its way."""

    def __init__(self, reply: LinkReply) -> None:
        self.reply_at_hand: Deferred[LinkReply] = Deferred()
        self.carried = 0
        self._reply = reply

    def carry(self, count: int) -> None:
        """Let bytes arrive."""
        self.carried += count
        if self.carried >= len(self._reply.body) and not self.reply_at_hand.called:
            self.reply_at_hand.callback(self._reply)


class ThinConnection(Connection):
    """One connection of a LowBandwidthTransport."""

    def __init__(self, transport: LowBandwidthTransport) -> None:
        self._transport = transport
        self._transfer: _Transfer | None = None
        self._before = 0
        self._closed = False

    def call(self, request: LinkRequest) -> Deferred[LinkReply]:
        """Return the reply once all its bytes have arrived."""
        self._before = self.received()
        self._transfer = self._transport.begin(request)
        return self._transfer.reply_at_hand

    def received(self) -> int:
        """Return how many bytes have arrived on this connection."""
        return self._before + (self._transfer.carried if self._transfer else 0)

    def close(self) -> None:
        """Give the call under way up."""
        self._closed = True
        if self._transfer is not None and not self._transfer.reply_at_hand.called:
            reply, self._transfer = self._transfer.reply_at_hand, None
            reply.errback(LinkBrokenError("closed", sent=True))

    def is_closed(self) -> bool:
        """Return whether this end closed it."""
        return self._closed
