"""Asks the other daemons what they lead and how they fare."""

from __future__ import annotations

from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.domains import Member
from savorylead_daemon.lead import Periodic
from savorylead_daemon.peers import (
    DigestAnswer,
    DigestMessage,
    PeerClient,
    PeerCodecError,
    PeerError,
)

from ._directory import ShardDirectory
from ._message_handler import MessageHandler


class DigestPoller:
    """Keeps the directory's digests fresh, and knows which daemons answer."""

    def __init__(
        self,
        own_name: str,
        directory: ShardDirectory,
        local: MessageHandler,
        client: PeerClient,
        clock: Clock,
        every: timedelta,
    ) -> None:
        self._own_name = own_name
        self._directory = directory
        self._local = local
        self._client = client
        self._clock = clock
        self._every = every
        self._asked: set[str] = set()
        self._series: Periodic | None = None

    def begin(self) -> None:
        """Ask everyone now, and every so often from now on."""
        self._series = Periodic(self._clock, self._every, self.poll)
        self.poll()

    def close(self) -> None:
        """Ask no more."""
        if self._series is not None:
            self._series.close()

    def poll(self) -> None:
        """Ask every daemon that has no question open."""
        self._directory.take_digest(self._local.digest(), self._clock.now())
        for member in list(self._directory.members.values()):
            if member.name != self._own_name and member.name not in self._asked:
                self._asked.add(member.name)
                Deferred.fromCoroutine(self._ask(member))

    def unreachable(self, now: datetime) -> list[str]:
        """Return the members that have not answered for three rounds."""
        oldest = now - 3 * self._every
        return [
            name
            for name in sorted(self._directory.members)
            if name != self._own_name and not self._heard_since(name, oldest)
        ]

    def store_is_down_everywhere(self, now: datetime) -> bool:
        """Return whether all members answer and none can use the store.

        Nobody can then have become a lead or changed the configuration.
        """
        if self.unreachable(now):
            return False
        digests = self._directory.digests
        peers = [name for name in self._directory.members if name != self._own_name]
        own_down = self._local.digest().store_down
        return own_down and all(digests[n].digest.store_down for n in peers)

    def _heard_since(self, name: str, oldest: datetime) -> bool:
        known = self._directory.digests.get(name)
        return known is not None and known.heard_at >= oldest

    async def _ask(self, member: Member) -> None:
        try:
            answer = await self._client.ask(member, DigestMessage(self._own_name))
        except (PeerError, PeerCodecError):
            return
        finally:
            self._asked.discard(member.name)
        if isinstance(answer, DigestAnswer):
            self._directory.take_digest(answer, self._clock.now())
