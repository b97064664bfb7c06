"""The list of live daemons, and this daemon's place in it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from datetime import datetime, timedelta
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.store import (
    RetryPolicy,
    Snapshot,
    Store,
    WatchedPrefix,
    WatchSettings,
)

from ._domain import Member
from ._member_record import (
    MEMBERS_PREFIX,
    MemberFormatError,
    MemberRecord,
    decode_member,
)
from ._registration import Registration, RegistrationSettings

#: Longest pause after a failed renewal. Several tries must fit into a lease, since a
#: store that is too slow for its callers renews the lease all the same.
RENEWAL_RETRY_CAP = timedelta(milliseconds=500)


class MembershipSettings(NamedTuple):
    """Times of the membership."""

    registration: RegistrationSettings = RegistrationSettings()
    watch: WatchSettings = WatchSettings(poll=timedelta(seconds=1))
    #: A list that no read has confirmed for this long is marked stale.
    stale_after: timedelta = timedelta(seconds=4)


class MemberList(NamedTuple):
    """The members as the store told last."""

    #: Sorted by name.
    records: tuple[MemberRecord, ...]
    #: Store revision of the list; 0 before the first.
    revision: int
    #: Whether nothing may be decided by the list: no read has confirmed it lately, or
    #: it does not show this daemon as it registered last.
    stale: bool

    def names(self) -> set[str]:
        """Return the names of all members."""
        return {record.member.name for record in self.records}

    def find(self, name: str) -> Member | None:
        """Return the member of that name, or None."""
        for record in self.records:
            if record.member.name == name:
                return record.member
        return None


class Membership:
    """Registers this daemon and keeps the list of all of them.

    ``on_change`` is called with each list that differs from the one before.
    ``on_superseded`` is called once if another process registered under the same
    name, after which this daemon must stop: the other one stands in its place.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        member: Member,
        on_change: Callable[[MemberList], None],
        on_superseded: Callable[[], None],
        settings: MembershipSettings = MembershipSettings(),  # noqa: B008
    ) -> None:
        #: Keys that could not be read and were left out, for metrics.
        self.unreadable = 0
        self._clock = clock
        self._settings = settings
        self._on_change = on_change
        self._records: tuple[MemberRecord, ...] = ()
        retry = RetryPolicy(clock, rng, cap=RENEWAL_RETRY_CAP)
        self._registration = Registration(
            store, clock, retry, member, on_superseded, settings.registration
        )
        self._watched = WatchedPrefix(
            store, MEMBERS_PREFIX, clock, rng, self._take, settings.watch
        )

    @property
    def member(self) -> Member:
        """This daemon as it should be in the list."""
        return self._registration.member

    @property
    def lapses(self) -> int:
        """Times that this daemon's lease lapsed, for metrics."""
        return self._registration.lapses

    def start(self) -> None:
        """Register and begin to read the list."""
        self._registration.start()
        self._watched.start()

    def stop(self) -> None:
        """Stop at once; the list loses this daemon when its lease lapses."""
        self._registration.stop()
        self._watched.stop()

    async def leave(self) -> None:
        """Stop and take this daemon off the list; raises StoreError."""
        self._watched.stop()
        await self._registration.leave()

    def take_no_shards(self) -> None:
        """Tell the others that this daemon shuts down, and stay on the list."""
        self._registration.change(self.member._replace(leading=False))

    def current(self) -> MemberList:
        """Return the newest list."""
        return MemberList(self._records, self._watched.revision, self._is_stale())

    def store_age(self) -> timedelta | None:
        """Return the time since the newest call was sent that the store answered.

        None if it never answered. A daemon tells it to its peers, so that all of
        them know whether the store is down for everyone.
        """
        answered = [self._watched.confirmed_at, self._registration.answered_at]
        times = [moment for moment in answered if moment is not None]
        if not times:
            return None
        return self._clock.now() - max(times)

    def registered_until(self) -> datetime | None:
        """Return when the others may stop counting this daemon; None if they do."""
        return self._registration.registered_until()

    def read_soon(self) -> None:
        """Read the list again, as after a message from a daemon that isn't on it."""
        self._watched.read_soon()

    def _take(self, snapshot: Snapshot) -> None:
        records = tuple(self._readable(snapshot))
        self._registration.observe(self._find_own(records), snapshot.revision)
        if records == self._records:
            return
        self._records = records
        self._on_change(self.current())

    def _readable(self, snapshot: Snapshot) -> Iterator[MemberRecord]:
        for item in snapshot.items:
            try:
                yield decode_member(item.key, item.value)
            except MemberFormatError:
                self.unreadable += 1

    def _is_stale(self) -> bool:
        age = self._watched.age()
        if age is None or age > self._settings.stale_after:
            return True
        own_revision = self._registration.revision
        if not own_revision or self._watched.revision < own_revision:
            return True
        own = self._find_own(self._records)
        return own is None or own.member.incarnation != self.member.incarnation

    def _find_own(self, records: tuple[MemberRecord, ...]) -> MemberRecord | None:
        for record in records:
            if record.member.name == self.member.name:
                return record
        return None
