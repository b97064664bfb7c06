"""What most daemons of the region say about the store."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from savorylead.clock import Clock
from savorylead.domains import Member

from ._digest_poller import DigestPoller

#: A daemon that vanished without leaving counts as a voter for this long.
VOTER_MEMORY = timedelta(hours=1)


class RegionQuorum:
    """Decides by majorities of the region's daemons, also of those just vanished.

    Only these daemons can lead the region's shards. A lead goes on renewing without
    a proof of its epoch while a majority answers and sees the store down, and for a
    grace afterwards. A lead takes silent workers for lost only after a majority has
    answered and seen the store up for that grace and the time of a lapse. Two
    majorities share a daemon, so both can't be true at once.
    """

    def __init__(
        self,
        own_name: str,
        region: str,
        poller: DigestPoller,
        clock: Clock,
        grace: timedelta,
    ) -> None:
        self._own_name = own_name
        self._region = region
        self._poller = poller
        self._clock = clock
        #: Every daemon that has a vote, and when it was last on the list.
        self._voters: dict[str, datetime] = {own_name: clock.now()}
        self._grace = grace
        self._outage_seen_at: datetime | None = None
        self._store_seen_since: datetime | None = None

    def take_members(self, members: Iterable[Member]) -> None:
        """Follow the list of members; one that announced its leave has no vote."""
        now = self._clock.now()
        for member in members:
            if member.region != self._region:
                continue
            if member.leading or member.name == self._own_name:
                self._voters[member.name] = now
            else:
                self._voters.pop(member.name, None)
        self._forget_old(now)

    def bridges_outage(self) -> bool:
        """Return whether leases may be renewed without a proof of the epoch.

        That is so while most see the store down, and for the grace afterwards, in
        which leads prove their epochs and lost leads are replaced.
        """
        self.note()
        if self._outage_seen_at is None:
            return False
        return self._clock.now() - self._outage_seen_at <= self._grace

    def note(self) -> None:
        """Look at the latest sights; to be called at least once a second."""
        now = self._clock.now()
        down, up = self._count()
        if up == 0 and self._is_majority(down):
            self._outage_seen_at = now
        if not self._is_majority(up):
            self._store_seen_since = None
        elif self._store_seen_since is None:
            self._store_seen_since = now

    def store_seen_for(self) -> timedelta:
        """Return for how long a majority has seen the store up without a break."""
        if self._store_seen_since is None:
            return timedelta(0)
        return self._clock.now() - self._store_seen_since

    def _count(self) -> tuple[int, int]:
        """Return how many voters see the store down, and how many see it up."""
        sights = self._poller.sights()
        own_down = self._poller.store_is_down_here()
        down, up = int(own_down), int(not own_down)
        for name in self._voters:
            if name == self._own_name or name not in sights:
                continue
            if self._poller.sees_outage(sights[name].sight):
                down += 1
            else:
                up += 1
        return down, up

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._voters)

    def _forget_old(self, now: datetime) -> None:
        for name, seen_at in list(self._voters.items()):
            if name != self._own_name and now - seen_at > VOTER_MEMORY:
                del self._voters[name]
