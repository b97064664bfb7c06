"""One client's connection to a site, over a transport in memory."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.server import Site


class HttpReply(NamedTuple):
    """One whole response."""

    status: int
    #: By name in lower case.
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)


class MemoryConnection:
    """Writes requests to a site and parses what it answers, byte for byte."""

    def __init__(self, site: Site) -> None:
        #: Drives the timeouts of the connection.
        self.time = Clock()
        self._conn = site.buildProtocol(None)
        self._conn.callLater = self.time.callLater
        self._transport = StringTransport()
        self._conn.makeConnection(self._transport)

    def send(self, data: bytes) -> None:
        """Deliver bytes as they might come off the network."""
        self._conn.dataReceived(data)

    def request(
        self,
        method: str,
        path: str,
        content: Any = b"",
        key: str | None = None,
        headers: tuple[str, ...] = (),
    ) -> None:
        """Send one request; a ``content`` that is no bytes is sent as JSON."""
        body = content
        if not isinstance(content, bytes):
            body = msgspec.json.encode(content)
        lines = [f"{method} {path} HTTP/1.1", "Host: cell", *headers]
        if key is not None:
            lines.append(f"Authorization: Bearer {key}")
        lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join([*lines, "", ""]).encode() + body)

    def call(
        self,
        method: str,
        path: str,
        content: Any = b"",
        key: str | None = None,
        headers: tuple[str, ...] = (),
    ) -> HttpReply:
        """Send one request and return its reply, which must be there at once."""
        earlier = len(self.replies())
        self.request(method, path, content, key, headers)
        return self.replies()[earlier]

    def written(self) -> bytes:
        """Return every byte that the site wrote."""
        return self._transport.value()

    def replies(self) -> list[HttpReply]:
        """Return every whole response so far, in order."""
        replies = []
        rest = self._transport.value()
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            status_line, *fields = head.decode("latin-1").split("\r\n")
            headers = dict(_split_field(field) for field in fields)
            length = int(headers["content-length"])
            status = int(status_line.split()[1])
            replies.append(HttpReply(status, headers, rest[:length]))
            rest = rest[length:]
        return replies

    def is_cut(self) -> bool:
        """Return whether the site closed the connection."""
        return self._transport.disconnecting or self._transport.disconnected

    def leave(self) -> None:
        """Disconnect as a client does that gives up."""
        self._conn.connectionLost(Failure(ConnectionDone()))


def _split_field(field: str) -> tuple[str, str]:
    name, _, value = field.partition(":")
    return name.lower(), value.strip()
