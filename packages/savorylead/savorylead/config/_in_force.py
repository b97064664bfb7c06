"""The configuration in force at one daemon, and how long it may be trusted."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from savorylead.clock import Clock
from savorylead.store import (
    KeyValue,
    RetryPolicy,
    Snapshot,
    Store,
    StoreError,
    WatchedPrefix,
    WatchSettings,
)

from ._document import CellDocument
from ._keys import KeyRing
from ._stored_config import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    ConfigFormatError,
    decode_head,
    read_document,
)

_log = Logger()

#: Longest pause after a failed reading of a newer document.
DOCUMENT_RETRY_CAP = timedelta(milliseconds=300)


class InForce(NamedTuple):
    """One revision of the configuration."""

    document: CellDocument
    #: Store revision of the change; a higher one always replaces a lower one.
    revision: int
    #: The keys of this revision.
    keys: KeyRing


class PeerSight(NamedTuple):
    """What a peer answered about the configuration and the store."""

    #: Name of the peer.
    member: str
    #: Revision in force there; 0 if there is none.
    revision: int
    #: Age of its confirmation when it answered; None if it has none.
    confirmed_age: timedelta | None
    #: Time since the store last answered it; None if it never did.
    store_age: timedelta | None


class InForceSettings(NamedTuple):
    """Times of the configuration."""

    watch: WatchSettings = WatchSettings()
    #: A configuration that nothing has confirmed for this long is not fresh.
    max_age: timedelta = timedelta(milliseconds=3500)
    #: The store counts as down for a peer that it has not answered for this long.
    outage_after: timedelta = timedelta(seconds=2)


class InForceConfig:
    """Follows the configuration in the store and never goes back to a lower revision.

    While it is fresh, every change that was accepted more than ``max_age`` ago is in
    force here. A daemon whose configuration is not fresh must take no keyed work.
    Freshness counts from the sending of the read or message that confirmed it.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        settings: InForceSettings = InForceSettings(),  # noqa: B008
    ) -> None:
        #: Answers that could not be read, for metrics and alarms.
        self.unreadable = 0
        self._clock = clock
        self._store = store
        self._settings = settings
        self._retry = RetryPolicy(clock, rng, cap=DOCUMENT_RETRY_CAP)
        #: The reading of a newer document, while it lasts, and its revision.
        self._fetch: Deferred[None] | None = None
        self._fetched_revision = 0
        self._current: InForce | None = None
        self._confirmed_at: datetime | None = None
        #: Highest revision that anybody told of.
        self._known = 0
        self._listeners: list[Callable[[InForce], None]] = []
        self._watched = WatchedPrefix(
            store, CONFIG_PREFIX, clock, rng, self._take, settings.watch
        )

    @property
    def current(self) -> InForce | None:
        """The configuration in force here; None before the first read."""
        return self._current

    @property
    def revision(self) -> int:
        """The revision in force here; 0 if there is none."""
        return self._current.revision if self._current else 0

    def add_listener(self, listener: Callable[[InForce], None]) -> None:
        """Call ``listener`` with each new revision, in order, and with the present.

        Listeners are called in the order in which they were added.
        """
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    def start(self) -> None:
        """Begin to watch and to poll."""
        self._watched.start()

    def stop(self) -> None:
        """Stop following; the configuration stays and grows old."""
        self._watched.stop()
        self._stop_fetch()

    def observe(self, revision: int) -> None:
        """Take note of a revision that a peer's message carries.

        A higher one than that in force is read at once; until it is in force,
        nothing confirms the present one.
        """
        if revision > max(self.revision, self._known):
            self._known = revision
        if self._known > self.revision:
            self._watched.read_soon()

    def adopt(self, document: CellDocument, revision: int) -> None:
        """Put a change in force that this daemon has just written itself.

        The store may go down before it can be read back. An older revision than
        that in force is ignored.
        """
        if revision > self.revision:
            self._put_in_force(document, revision)

    def age(self) -> timedelta | None:
        """Return the time since the configuration was confirmed; None before."""
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    def fresh_until(self) -> datetime | None:
        """Return when the configuration stops being fresh, if nothing confirms it."""
        if self._confirmed_at is None:
            return None
        return self._confirmed_at + self._settings.max_age

    def is_fresh(self) -> bool:
        """Return whether keyed work may be taken."""
        fresh_until = self.fresh_until()
        return fresh_until is not None and self._clock.now() < fresh_until

    def confirm_by_peer(self, asked_at: datetime, sight: PeerSight) -> None:
        """Use the confirmation of a peer that was asked at ``asked_at``.

        A peer that reads the store can so keep a daemon fresh that cannot.
        """
        self.observe(sight.revision)
        if sight.confirmed_age is not None and sight.revision == self.revision:
            self._confirm(asked_at - sight.confirmed_age)

    def confirm_by_outage(
        self, asked_at: datetime, members: Iterable[str], sights: Iterable[PeerSight]
    ) -> bool:
        """Confirm the configuration if the store is down for every member.

        ``members`` are all daemons but this one, and ``sights`` what they answered to
        a question sent at ``asked_at``. A daemon that accepts a change puts it in
        force before it tells the operator. So if each member answered, none has a
        higher revision and the store answers none of them, then no change was
        accepted before ``asked_at`` that is not in force here. Returns whether so.
        """
        answered = {sight.member: sight for sight in sights}
        for sight in answered.values():
            self.observe(sight.revision)
        unanimous = all(
            name in answered and self._sees_outage(answered[name]) for name in members
        )
        own_age = self._watched.age()
        down_here = own_age is None or own_age >= self._settings.outage_after
        if not (unanimous and down_here and self._current is not None):
            return False
        return self._confirm(asked_at)

    def _sees_outage(self, sight: PeerSight) -> bool:
        if sight.revision > self.revision:
            return False
        return sight.store_age is None or sight.store_age >= self._settings.outage_after

    def _confirm(self, moment: datetime) -> bool:
        """Count the configuration as confirmed at ``moment``, unless it is behind."""
        if self._known > self.revision:
            return False
        if self._confirmed_at is None or moment > self._confirmed_at:
            self._confirmed_at = moment
        return True

    def _take(self, snapshot: Snapshot) -> None:
        for item in snapshot.items:
            if item.key != CONFIG_KEY:
                continue
            if item.revision == self.revision:
                self._confirm(self._watched.confirmed_at)
            elif item.revision > self.revision:
                self._start_fetch(item, self._watched.confirmed_at)

    def _start_fetch(self, item: KeyValue, sent_at: datetime) -> None:
        """Read the document of a newer head, in place of an older one's."""
        if self._fetch is not None and self._fetched_revision == item.revision:
            return
        self._stop_fetch()
        self._fetched_revision = item.revision
        fetch = Deferred.fromCoroutine(self._fetch_document(item, sent_at))
        fetch.addErrback(self._note_failed_fetch)
        if not fetch.called:
            self._fetch = fetch

    def _stop_fetch(self) -> None:
        fetch, self._fetch = self._fetch, None
        if fetch is not None:
            fetch.cancel()

    async def _fetch_document(self, item: KeyValue, sent_at: datetime) -> None:
        head = decode_head(item)
        pauses = self._retry.begin()
        while True:
            try:
                document = await read_document(self._store, head)
                break
            except StoreError:
                await pauses.wait()
        self._fetch = None
        if document is None:
            # Another change has replaced it; the head tells of that one.
            self._watched.read_soon()
        elif item.revision > self.revision:
            self._put_in_force(document, item.revision)
            self._confirm(sent_at)

    def _note_failed_fetch(self, failure: Failure) -> None:
        if failure.check(CancelledError):
            return
        if failure.check(ConfigFormatError):
            self.unreadable += 1
            return
        _log.failure("A listener failed", failure)

    def _put_in_force(self, document: CellDocument, revision: int) -> None:
        current = InForce(document, revision, KeyRing(document))
        self._current = current
        errors = []
        for listener in list(self._listeners):
            try:
                listener(current)
            except Exception as exc:
                errors.append(exc)
        if errors:
            raise ExceptionGroup(f"listeners of revision {revision}", errors)
