"""Tracks when each daemon last answered, as proof that it is alive."""

from __future__ import annotations

from collections.abc import Coroutine
from datetime import datetime
from typing import Any, TypeVar

from savorylead.clock import Clock
from savorylead.pools import Advice

from ._peer_messages import LeadReply, PeerAdviceRequest
from ._peers import Message, PeerCalls, PeerError, PeerRequest

T = TypeVar("T")


class TrackedPeerCalls(PeerCalls):
    """Delegates calls to another client and records when each daemon answered.

    Load pattern: the link of a lead is saturated and drops packets that open
    connections, or its process accepts connections late, while calls over open
    connections are answered. A call that fails to connect does not count as such a
    failure if the daemon answered another call meanwhile.
    """

    def __init__(self, calls: PeerCalls, clock: Clock) -> None:
        self._calls = calls
        self._clock = clock
        self._answered_at: dict[str, datetime] = {}

    def answered_since(self, address: str, moment: datetime) -> bool:
        """Return whether a daemon has answered after ``moment``."""
        answered_at = self._answered_at.get(address)
        return answered_at is not None and answered_at > moment

    async def send_message(self, address: str, message: Message) -> LeadReply:
        """Send a message to a lead; raises PeerError."""
        return await self._record(address, self._calls.send_message(address, message))

    async def send_request(self, address: str, request: PeerRequest) -> bool:
        """Send a request to a peer and return its answer; raises PeerError."""
        return await self._record(address, self._calls.send_request(address, request))

    async def advise(self, address: str, request: PeerAdviceRequest) -> Advice:
        """Return advice through another daemon; raises AdviserError."""
        return await self._record(address, self._calls.advise(address, request))

    async def _record(self, address: str, call: Coroutine[Any, Any, T]) -> T:
        began_at = self._clock.now()
        try:
            answer = await call
        except PeerError as exc:
            if not exc.connected and self.answered_since(address, began_at):
                raise PeerError(str(exc), exc.sent, connected=True) from exc
            raise
        self._answered_at[address] = self._clock.now()
        return answer
