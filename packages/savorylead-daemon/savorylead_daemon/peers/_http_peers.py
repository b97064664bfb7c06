"""Messages between daemons over HTTP."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from savorylead.domains import Member
from savorylead.links import Link, LinkError, LinkRequest
from savorylead_daemon.http import (
    HttpError,
    JsonRequest,
    JsonResource,
    JsonResponse,
    JsonSite,
)

from ._codec import PeerCodecError
from ._peer import PeerError, PeerServer, PeerTransport

#: Path of the only resource that takes messages.
MESSAGES_PATH = "/messages"
#: Until an answer must have come that is not held back on purpose.
ANSWER_TIMEOUT = timedelta(seconds=4)
#: The largest message, such as an array of tasks.
MAX_MESSAGE_BYTES = 8_000_000
_OK = 200


class HttpPeerTransport(PeerTransport):
    """Keeps one link to each daemon for messages and one for waiting calls.

    A call that waits holds its connection, so on a common link it would keep the
    others waiting.
    """

    def __init__(
        self,
        open_link: Callable[[str], Link],
        open_waiting_link: Callable[[str], Link],
    ) -> None:
        #: Messages sent, by kind.
        self.messages: Counter[str] = Counter()
        self._open_link = open_link
        self._open_waiting_link = open_waiting_link
        self._links: dict[tuple[str, bool], Link] = {}

    async def exchange(
        self, member: Member, tag: str, body: bytes, wait: timedelta
    ) -> bytes:
        """Return the answer to a message; raises PeerError."""
        self.messages[tag] += 1
        waiting = wait > timedelta(0)
        link = self._link(member.endpoint, waiting)
        request = LinkRequest("POST", MESSAGES_PATH, body, idempotent=not waiting)
        try:
            reply = await link.call(request, wait + ANSWER_TIMEOUT)
        except LinkError as exc:
            raise PeerError(f"{member.name}: {exc}") from exc
        if reply.status != _OK:
            raise PeerError(f"{member.name}: status {reply.status}")
        return reply.body

    def keep_only(self, endpoints: set[str]) -> None:
        """Close the links to daemons that have left."""
        for key in list(self._links):
            if key[0] not in endpoints:
                self._links.pop(key).close()

    def _link(self, endpoint: str, waiting: bool) -> Link:
        link = self._links.get((endpoint, waiting))
        if link is None:
            open_link = self._open_waiting_link if waiting else self._open_link
            link = self._links[endpoint, waiting] = open_link(endpoint)
        return link


def build_peer_site(server: PeerServer) -> JsonSite:
    """Return the factory to listen with on the peers' endpoint."""

    async def handle(req: JsonRequest) -> JsonResponse:
        if req.path == "/healthz":
            return JsonResponse(_OK, b"{}")
        if (req.method, req.path) != ("POST", MESSAGES_PATH):
            raise HttpError(404, "unknown_path", req.path)
        try:
            return JsonResponse(_OK, await server.answer(req.body))
        except PeerCodecError as exc:
            raise HttpError(400, "bad_message", str(exc)) from exc

    return JsonSite(JsonResource(handle), MAX_MESSAGE_BYTES)
