"""A device between two ends that loses track of their connections."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.protocols.portforward import (
    ProxyClient,
    ProxyClientFactory,
    ProxyFactory,
    ProxyServer,
)

_HOST = "127.0.0.1"


class _Track:
    """What the device does with the bytes of one connection."""

    def __init__(self) -> None:
        self.drops_requests = False
        self.drops_replies = False
        #: The connection is cut once so many more bytes were replied.
        self.cut_after_reply_bytes: int | None = None


class _BackSide(ProxyClient):
    """The device's connection to the server."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name.
        """Pass a reply on, or drop or cut it."""
        track = self.peer.track
        if track.drops_replies:
            return
        if track.cut_after_reply_bytes is None:
            super().dataReceived(data)
            return
        super().dataReceived(data[: track.cut_after_reply_bytes])
        track.cut_after_reply_bytes -= len(data)
        if track.cut_after_reply_bytes <= 0:
            self.peer.transport.loseConnection()


class _BackSideFactory(ProxyClientFactory):
    protocol = _BackSide
    noisy = False


class _FrontSide(ProxyServer):
    """The device's connection to the client."""

    clientProtocolFactory = _BackSideFactory  # noqa: N815 - Twisted's name.

    def connectionMade(self) -> None:  # noqa: N802
        """Take notice of a new connection."""
        self.track = self.factory.new_track()
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a request on, or drop it."""
        if not self.track.drops_requests:
            super().dataReceived(data)


class ForgetfulForwarder:
    """Forwards a port on loopback; a fault befalls the connections open by then.

    New connections work, as in a network whose device was replaced.
    """

    def __init__(self, endpoint: str) -> None:
        """Forward to ``endpoint``, which is "IP:port"."""
        host, _, port = endpoint.partition(":")
        factory = ProxyFactory(host, int(port))
        factory.protocol = _FrontSide
        factory.noisy = False
        factory.new_track = self._new_track
        self._tracks: list[_Track] = []
        self._port = reactor.listenTCP(0, factory, interface=_HOST)
        #: Where clients connect, as "IP:port".
        self.endpoint = f"{_HOST}:{self._port.getHost().port}"

    @property
    def connections(self) -> int:
        """How many connections were ever opened."""
        return len(self._tracks)

    def forget(self) -> None:
        """Drop everything in both directions from now on."""
        for track in self._tracks:
            track.drops_requests = True
            track.drops_replies = True

    def forget_replies(self) -> None:
        """Drop what servers send; requests still arrive."""
        for track in self._tracks:
            track.drops_replies = True

    def cut_after(self, reply_bytes: int) -> None:
        """Cut each connection once so many bytes of replies have passed."""
        for track in self._tracks:
            track.cut_after_reply_bytes = reply_bytes

    def stop(self) -> Deferred[None]:
        """Stop listening."""
        return maybeDeferred(self._port.stopListening)

    def _new_track(self) -> _Track:
        track = _Track()
        self._tracks.append(track)
        return track
