"""Opening of a daemon's listening sockets."""

from __future__ import annotations

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IListeningPort, IProtocolFactory, IReactorTCP

from savorylead_daemon._start_error import StartError

#: Length of the queue of connections that are not accepted yet.
DEFAULT_BACKLOG = 50


def listen(
    reactor: IReactorTCP,
    host: str,
    port: int,
    site: IProtocolFactory,
    backlog: int = DEFAULT_BACKLOG,
) -> IListeningPort:
    """Listen on an address; raises StartError if it is taken or not of this machine."""
    try:
        return reactor.listenTCP(port, site, backlog, host)
    except CannotListenError as exc:
        reason = f"can't listen on {host}:{port}: {exc.socketError}"
        raise StartError(reason) from exc
