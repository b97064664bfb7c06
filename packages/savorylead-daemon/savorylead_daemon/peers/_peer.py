"""Clients and servers of the messages between daemons."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from datetime import timedelta

from savorylead.domains import Member

from ._codec import decode_answer, decode_message, encode_answer, encode_message
from ._messages import PeerAnswer, PeerMessage


class PeerError(Exception):
    """No answer arrived; the message may or may not have taken effect."""


class PeerTransport(ABC):
    """Sends bytes to a daemon and returns its answer."""

    @abstractmethod
    async def exchange(
        self, member: Member, tag: str, body: bytes, wait: timedelta
    ) -> bytes:
        """Return the answer to a message; raises PeerError.

        ``tag`` names the type of message, for counters. ``wait`` is how long the
        member may intentionally delay its answer (long polling).
        """

    def keep_only(self, endpoints: frozenset[str]) -> None:  # noqa: B027
        """Release resources held for other endpoints; does nothing by default."""


class RevisionExchange(ABC):
    """Exchanges configuration revisions, which all messages and answers carry."""

    @abstractmethod
    def revision(self) -> int:
        """Return the revision in force at this daemon."""

    @abstractmethod
    def observe(self, revision: int) -> None:
        """Process the revision in force at a peer."""


class PeerClient:
    """Sends messages to other daemons. Every message is idempotent by design."""

    def __init__(self, transport: PeerTransport, revisions: RevisionExchange) -> None:
        self._transport = transport
        self._revisions = revisions

    async def send_request(self, member: Member, message: PeerMessage) -> PeerAnswer:
        """Return the member's answer; raises PeerError or PeerCodecError."""
        answer, _ = await self.send_request_with_revision(member, message)
        return answer

    async def send_request_with_revision(
        self, member: Member, message: PeerMessage
    ) -> tuple[PeerAnswer, int]:
        """Return the member's answer and the configuration revision in force there.

        Raises PeerError or PeerCodecError.
        """
        body = encode_message(message, self._revisions.revision())
        wait = timedelta(milliseconds=getattr(message, "wait_ms", 0))
        tag = type(message).__name__
        reply = await self._transport.exchange(member, tag, body, wait)
        decoded = decode_answer(reply)
        self._revisions.observe(decoded.revision)
        return decoded.content, decoded.revision


class PeerServer:
    """Handles messages from other daemons."""

    def __init__(
        self,
        handle: Callable[[PeerMessage], Awaitable[PeerAnswer]],
        revisions: RevisionExchange,
    ) -> None:
        self._handle = handle
        self._revisions = revisions

    async def answer(self, body: bytes) -> bytes:
        """Return the answer to one message; raises PeerCodecError."""
        decoded = decode_message(body)
        self._revisions.observe(decoded.revision)
        answer = await self._handle(decoded.content)
        return encode_answer(answer, self._revisions.revision())
