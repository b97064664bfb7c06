"""The list of live daemons, and the registration of this daemon in it."""

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

#: Longest pause after a failed renewal. Several attempts must fit into a lease, since
#: a renewal that takes longer than the call's deadline still extends the lease.
RENEWAL_RETRY_CAP = timedelta(milliseconds=500)


class MembershipSettings(NamedTuple):
    """Timing of the membership."""

    registration: RegistrationSettings = RegistrationSettings()
    watch: WatchSettings = WatchSettings(poll=timedelta(seconds=1))
    #: Time without a confirming read after which the list is marked stale.
    stale_after: timedelta = timedelta(seconds=4)


class MemberList(NamedTuple):
    """The members as last read from the store."""

    #: Sorted by name.
    records: tuple[MemberRecord, ...]
    #: Store revision of the list; 0 before the first read.
    revision: int
    #: Whether the list must not be used for decisions: no read has confirmed it for
    #: ``stale_after``, or it does not contain this daemon's latest registration.
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
    """Registers this daemon and tracks the list of all daemons.

    ``on_change`` is called with each list that differs from the previous one.
    ``on_superseded`` is called once if another process has registered under the same
    name; this daemon must then stop, because the other process replaces it.
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
        #: Number of member keys skipped because they could not be decoded, for metrics.
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
            store, MEMBERS_PREFIX, clock, rng, self._apply_snapshot, settings.watch
        )

    @property
    def member(self) -> Member:
        """This daemon as it should appear in the list."""
        return self._registration.member

    @property
    def lapses(self) -> int:
        """How often this daemon's lease has lapsed, for metrics."""
        return self._registration.lapses

    def start(self) -> None:
        """Register and start watching the list."""
        self._registration.start()
        self._watched.start()

    def stop(self) -> None:
        """Stop at once; this daemon leaves the list when its lease lapses."""
        self._registration.stop()
        self._watched.stop()

    async def leave(self) -> None:
        """Stop and remove this daemon from the list; raises StoreError."""
        self._watched.stop()
        await self._registration.leave()

    def announce_shutdown(self) -> None:
        """Announce that this daemon shuts down; it remains on the list."""
        self._registration.change(self.member._replace(leading=False))

    def current(self) -> MemberList:
        """Return the newest list."""
        return MemberList(self._records, self._watched.revision, self._is_stale())

    def store_age(self) -> timedelta | None:
        """Return the time since the newest answered store call was sent.

        None if none was answered. Daemons report it to their peers, which can then
        distinguish an outage of the store from the loss of one connection to it.
        """
        answered = [self._watched.confirmed_at, self._registration.answered_at]
        times = [moment for moment in answered if moment is not None]
        if not times:
            return None
        return self._clock.now() - max(times)

    def registered_until(self) -> datetime | None:
        """Return when this daemon's lease may lapse; None if it is not registered."""
        return self._registration.registered_until()

    def read_soon(self) -> None:
        """Request another read, for example after a message from an unlisted daemon."""
        self._watched.read_soon()

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        records = tuple(self._decode_members(snapshot))
        self._registration.observe(self._find_own(records), snapshot.revision)
        if records == self._records:
            return
        self._records = records
        self._on_change(self.current())

    def _decode_members(self, snapshot: Snapshot) -> Iterator[MemberRecord]:
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
