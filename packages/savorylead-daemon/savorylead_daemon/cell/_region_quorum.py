"""Decides by majority of the region's daemons whether the store is available."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from savorylead.clock import Clock
from savorylead.domains import Member

from ._digest_poller import DigestPoller

#: A daemon that disappeared without leaving remains a voter for this long.
VOTER_RETENTION = timedelta(hours=1)


class RegionQuorum:
    """Decides by majority of the region's daemons, including recently vanished ones.

    Only these daemons can lead the region's shards. A lead continues to renew leases
    without a proof of its epoch while a majority answers and finds the store down,
    and for a grace period afterwards. A lead considers unresponsive workers lost only
    after a majority has answered and found the store up for that grace period plus
    the time in which a lease expires. Any two majorities have a daemon in common, so
    both conditions can't hold at once.
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
        #: Daemons on the list of members.
        self._present = {own_name}
        #: When daemons disappeared from the list without announcing it.
        self._vanished_at: dict[str, datetime] = {}
        self._grace = grace
        self._outage_seen_at: datetime | None = None
        self._store_seen_since: datetime | None = None

    def set_members(self, members: Iterable[Member]) -> None:
        """Update the members; one that has announced its leave has no vote."""
        now = self._clock.now()
        regional = [member for member in members if member.region == self._region]
        leaving = {member.name for member in regional if not member.leading}
        present = {member.name for member in regional} - leaving | {self._own_name}
        for name in self._present - present - leaving:
            self._vanished_at[name] = now
        for name in present | leaving:
            self._vanished_at.pop(name, None)
        self._present = present

    def bridges_outage(self) -> bool:
        """Return whether leases may be renewed without a proof of the epoch.

        True while a majority finds the store down, and for the grace period
        afterwards, in which leads prove their epochs and lost leads are replaced.
        """
        self.update()
        if self._outage_seen_at is None:
            return False
        return self._clock.now() - self._outage_seen_at <= self._grace

    def update(self) -> None:
        """Evaluate the latest observations; must be called at least once a second."""
        now = self._clock.now()
        down, up = self._count()
        if up == 0 and self._is_majority(down):
            self._outage_seen_at = now
        if not self._is_majority(up):
            self._store_seen_since = None
        elif self._store_seen_since is None:
            self._store_seen_since = now

    def store_reachable_for(self) -> timedelta:
        """Return for how long a majority has continuously found the store up."""
        if self._store_seen_since is None:
            return timedelta(0)
        return self._clock.now() - self._store_seen_since

    def _voters(self) -> set[str]:
        oldest = self._clock.now() - VOTER_RETENTION
        recent = {name for name, at in self._vanished_at.items() if at >= oldest}
        return self._present | recent

    def _count(self) -> tuple[int, int]:
        """Return how many voters find the store down, and how many find it up."""
        observations = self._poller.observations()
        own_down = self._poller.store_is_down_here()
        down, up = int(own_down), int(not own_down)
        for name in self._voters() & observations.keys() - {self._own_name}:
            if self._poller.sees_outage(observations[name].observation):
                down += 1
            else:
                up += 1
        return down, up

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._voters())
