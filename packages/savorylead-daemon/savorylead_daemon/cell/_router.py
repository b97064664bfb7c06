"""Sends requests to the lead of a shard, across changes of leads."""

from __future__ import annotations

import random
from datetime import datetime, timedelta

from savorylead.clock import Clock
from savorylead.domains import Member
from savorylead_daemon.peers import (
    LeadLost,
    NotLead,
    PeerAnswer,
    PeerClient,
    PeerCodecError,
    PeerError,
    PeerMessage,
)

from ._directory import ShardDirectory
from ._message_handler import MessageHandler

#: Delay before the second round of requests to all daemons; doubles with each round.
FIRST_ROUND_DELAY = timedelta(milliseconds=200)
#: Longest delay between rounds, so that a new lead is found soon.
MAX_ROUND_DELAY = timedelta(milliseconds=800)


class NoLeadError(Exception):
    """No lead of the shard answered in time."""

    def __init__(self, shard: str, may_have_run: bool) -> None:
        super().__init__(f"no lead of {shard} answered")
        self.shard = shard
        #: Whether a daemon may have executed the request, or may execute it later.
        self.may_have_run = may_have_run


class ShardRouter:
    """Sends requests to the lead of a shard, local or at a peer, until a deadline."""

    def __init__(
        self,
        own_name: str,
        directory: ShardDirectory,
        local: MessageHandler,
        client: PeerClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own_name = own_name
        self._directory = directory
        self._local = local
        self._client = client
        self._clock = clock
        self._rng = rng

    async def ask(
        self, shard: str, message: PeerMessage, until: datetime
    ) -> PeerAnswer:
        """Return the lead's answer; raises NoLeadError after ``until``."""
        may_have_run = False
        round_delay = FIRST_ROUND_DELAY
        while True:
            for member in self._directory.candidates(shard):
                answer = await self._send_to(member, message)
                if answer is None or isinstance(answer, LeadLost):
                    may_have_run = True
                    self._directory.exclude(shard, member.name)
                elif isinstance(answer, NotLead):
                    self._directory.exclude(shard, member.name)
                else:
                    return answer
                if self._clock.now() >= until:
                    raise NoLeadError(shard, may_have_run)
            delay = round_delay * (0.5 + self._rng.random())
            round_delay = min(2 * round_delay, MAX_ROUND_DELAY)
            if self._clock.now() + delay >= until:
                raise NoLeadError(shard, may_have_run)
            await self._clock.sleep(delay)

    async def _send_to(self, member: Member, message: PeerMessage) -> PeerAnswer | None:
        """Return one daemon's answer, or None if none was received."""
        if member.name == self._own_name:
            return await self._local.handle(message)
        try:
            return await self._client.send_request(member, message)
        except (PeerError, PeerCodecError):
            return None
