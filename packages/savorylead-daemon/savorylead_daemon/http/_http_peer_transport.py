"""Messages between daemons over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from savorylead.domains import Member
from savorylead.links import Link, LinkError, LinkRequest
from savorylead_daemon.peers import PeerCodecError, PeerError, PeerServer, PeerTransport

from ._json_resource import HttpError, JsonRequest, JsonResource, JsonResponse

#: Where a daemon answers its peers.
PEER_PATH = "/peer"
_OK = 200
_TIMEOUT = timedelta(seconds=5)


class HttpPeerTransport(PeerTransport):
    """Keeps one link to each member's endpoint."""

    def __init__(
        self, open_link: Callable[[str], Link], timeout: timedelta = _TIMEOUT
    ) -> None:
        """Take ``open_link``, which returns a new link to an endpoint."""
        self._open_link = open_link
        self._timeout = timeout
        self._links: dict[str, Link] = {}

    async def exchange(self, member: Member, body: bytes, idempotent: bool) -> bytes:
        """Return the answer to ``body``; raises PeerError."""
        request = LinkRequest("POST", PEER_PATH, body, idempotent)
        try:
            reply = await self._link_to(member.endpoint).call(request, self._timeout)
        except LinkError as exc:
            raise PeerError(f"{member.name}: {exc}") from exc
        if reply.status != _OK:
            raise PeerError(f"{member.name}: status {reply.status}")
        return reply.body

    def keep_only(self, endpoints: frozenset[str]) -> None:
        """Close the links to all other endpoints."""
        for endpoint in self._links.keys() - endpoints:
            self._links.pop(endpoint).close()

    def close(self) -> None:
        """Close every link; calls under way fail."""
        self.keep_only(frozenset())

    def _link_to(self, endpoint: str) -> Link:
        link = self._links.get(endpoint)
        if link is None:
            link = self._links[endpoint] = self._open_link(endpoint)
        return link


def peer_resource(server: PeerServer) -> JsonResource:
    """Return the resource through which peers reach this daemon."""

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
