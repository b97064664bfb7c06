"""Messages between daemons over HTTP."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from savorylead.domains import Member
from savorylead.links import Link, LinkError, LinkRequest
from savorylead_daemon.peers import PeerCodecError, PeerError, PeerServer, PeerTransport

from ._json_resource import HttpError, JsonRequest, JsonResource, JsonResponse

#: Path to which daemons send messages to each other.
PEER_PATH = "/peer"
_OK = 200
_TIMEOUT = timedelta(seconds=5)


class HttpPeerTransport(PeerTransport):
    """Keeps one link to each daemon for messages and one for waiting calls.

    A waiting call occupies its connection, so on a shared link it would delay the
    other messages.
    """

    def __init__(
        self,
        open_link: Callable[[str], Link],
        open_waiting_link: Callable[[str], Link],
        timeout: timedelta = _TIMEOUT,
    ) -> None:
        """Create the transport; both functions return a new link to an endpoint."""
        #: Messages sent, by kind.
        self.messages: Counter[str] = Counter()
        self._open_link = open_link
        self._open_waiting_link = open_waiting_link
        self._timeout = timeout
        self._links: dict[tuple[str, bool], Link] = {}

    async def exchange(
        self, member: Member, tag: str, body: bytes, wait: timedelta
    ) -> bytes:
        """Send a message and return the answer; raises PeerError."""
        self.messages[tag] += 1
        waiting = wait > timedelta(0)
        # The link gives each attempt of an idempotent call less time than a wait may
        # take. A waiting call is not retried here; its caller sends it again.
        request = LinkRequest("POST", PEER_PATH, body, idempotent=not waiting)
        link = self._link_to(member.endpoint, waiting)
        try:
            reply = await link.call(request, wait + self._timeout)
        except LinkError as exc:
            raise PeerError(f"{member.name}: {exc}") from exc
        if reply.status != _OK:
            raise PeerError(f"{member.name}: status {reply.status}")
        return reply.body

    def keep_only(self, endpoints: frozenset[str]) -> None:
        """Close the links to all other endpoints."""
        for key in list(self._links):
            if key[0] not in endpoints:
                self._links.pop(key).close()

    def close(self) -> None:
        """Close every link; pending calls fail."""
        self.keep_only(frozenset())

    def _link_to(self, endpoint: str, waiting: bool) -> Link:
        link = self._links.get((endpoint, waiting))
        if link is None:
            open_link = self._open_waiting_link if waiting else self._open_link
            link = self._links[endpoint, waiting] = open_link(endpoint)
        return link


def peer_resource(server: PeerServer) -> JsonResource:
    """Return the resource that serves messages from peers."""

    async def handle(req: JsonRequest) -> JsonResponse:
        if req.path == "/healthz":
            return JsonResponse(_OK, b'"ok"')
        if (req.method, req.path) != ("POST", PEER_PATH):
            raise HttpError(404, "unknown_path", req.path)
        try:
            return JsonResponse(_OK, await server.answer(req.body))
        except PeerCodecError as exc:
            raise HttpError(400, "bad_message", str(exc)) from exc

    return JsonResource(handle)
