"""The configuration in force at one daemon, and how long it counts as fresh."""

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

#: Upper bound of the retry delay after a failed read of a newer document.
DOCUMENT_RETRY_CAP = timedelta(milliseconds=300)


class InForce(NamedTuple):
    """A revision of the configuration that is in force."""

    document: CellDocument
    #: Store revision of the change; only a higher revision replaces it.
    revision: int
    #: The keys of this revision.
    keys: KeyRing


class PeerObservation(NamedTuple):
    """A peer's reply on its configuration and its contact with the store."""

    #: Name of the peer.
    member: str
    #: Revision in force there; 0 if there is none.
    revision: int
    #: Age of its last confirmation at the time of the reply; None if there was none.
    confirmed_age: timedelta | None
    #: Time since the peer's last reply from the store; None if it never had one.
    store_age: timedelta | None


class InForceSettings(NamedTuple):
    """Watch settings and timeouts of the configuration in force."""

    watch: WatchSettings = WatchSettings()
    #: Age of the last confirmation from which the configuration is not fresh.
    max_age: timedelta = timedelta(milliseconds=3500)
    #: A daemon without a reply from the store for this long counts it as down.
    outage_after: timedelta = timedelta(seconds=2)


class InForceConfig:
    """Follows the stored configuration; its revision never decreases.

    While it is fresh, every change that was accepted more than ``max_age`` ago is in
    force here. A daemon whose configuration is not fresh must not accept calls that
    need a key. Freshness counts from the time at which the confirming read or message
    was sent.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        settings: InForceSettings = InForceSettings(),  # noqa: B008
    ) -> None:
        #: Number of stored values that could not be decoded, for metrics and alerts.
        self.unreadable = 0
        self._clock = clock
        self._store = store
        self._settings = settings
        self._retry = RetryPolicy(clock, rng, cap=DOCUMENT_RETRY_CAP)
        #: The running read of a newer document, and the revision that it reads.
        self._fetch: Deferred[None] | None = None
        self._fetch_revision = 0
        self._current: InForce | None = None
        self._confirmed_at: datetime | None = None
        #: Highest revision that a peer has reported.
        self._highest_observed = 0
        self._listeners: list[Callable[[InForce], None]] = []
        self._watched = WatchedPrefix(
            store, CONFIG_PREFIX, clock, rng, self._handle_snapshot, settings.watch
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
        """Call ``listener`` with the current revision, if any, and each later one.

        Revisions arrive in order; listeners are called in the order of registration.
        """
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    def start(self) -> None:
        """Start the watch and the polls."""
        self._watched.start()

    def stop(self) -> None:
        """Stop the watch and the polls; the configuration stays and its age grows."""
        self._watched.stop()
        self._stop_fetch()

    def observe(self, revision: int) -> None:
        """Record the revision that a peer's message carries.

        If it is higher than the revision in force, the store is read at once, and the
        current revision is not confirmed until the higher one is in force.
        """
        if revision > max(self.revision, self._highest_observed):
            self._highest_observed = revision
        if self._highest_observed > self.revision:
            self._watched.read_soon()

    def adopt(self, document: CellDocument, revision: int) -> None:
        """Put a change in force that this daemon has just written.

        The change is not read back first, as the store may go down before that. A
        revision that is not higher than the one in force is ignored.
        """
        if revision > self.revision:
            self._put_in_force(document, revision)

    def age(self) -> timedelta | None:
        """Return the time since the last confirmation; None if there was none."""
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    def fresh_until(self) -> datetime | None:
        """Return when the configuration stops being fresh unless confirmed again."""
        if self._confirmed_at is None:
            return None
        return self._confirmed_at + self._settings.max_age

    def is_fresh(self) -> bool:
        """Return whether calls that need a key may be accepted."""
        fresh_until = self.fresh_until()
        return fresh_until is not None and self._clock.now() < fresh_until

    def confirm_by_peer(self, requested_at: datetime, status: PeerObservation) -> None:
        """Use the confirmation of a peer that was queried at ``asked_at``.

        A peer that can read the store thus keeps a daemon fresh that can't.
        """
        self.observe(status.revision)
        if status.confirmed_age is not None and status.revision == self.revision:
            self._confirm(requested_at - status.confirmed_age)

    def confirm_by_outage(
        self,
        requested_at: datetime,
        members: Iterable[str],
        statuses: Iterable[PeerObservation],
    ) -> bool:
        """Confirm the configuration if the store is down for every member.

        ``members`` are all other daemons, and ``statuses`` their replies to a query
        sent at ``asked_at``. A daemon that accepts a change puts it in force before it
        replies to the operator. So if every member replied, none has a higher revision
        and none gets replies from the store, then every change accepted before
        ``asked_at`` is in force here. Returns whether the configuration was confirmed.
        """
        answered = {status.member: status for status in statuses}
        for status in answered.values():
            self.observe(status.revision)
        unanimous = all(
            name in answered and self._reports_outage(answered[name])
            for name in members
        )
        own_age = self._watched.age()
        down_here = own_age is None or own_age >= self._settings.outage_after
        if not (unanimous and down_here and self._current is not None):
            return False
        return self._confirm(requested_at)

    def _reports_outage(self, status: PeerObservation) -> bool:
        if status.revision > self.revision:
            return False
        return (
            status.store_age is None or status.store_age >= self._settings.outage_after
        )

    def _confirm(self, moment: datetime) -> bool:
        """Record a confirmation at ``moment``; returns False if a peer is ahead."""
        if self._highest_observed > self.revision:
            return False
        if self._confirmed_at is None or moment > self._confirmed_at:
            self._confirmed_at = moment
        return True

    def _handle_snapshot(self, snapshot: Snapshot) -> None:
        for item in snapshot.items:
            if item.key != CONFIG_KEY:
                continue
            if item.revision == self.revision:
                self._confirm(self._watched.confirmed_at)
            elif item.revision > self.revision:
                self._start_fetch(item, self._watched.confirmed_at)

    def _start_fetch(self, item: KeyValue, sent_at: datetime) -> None:
        """Read the document of a newer head; cancels the read for an older head."""
        if self._fetch is not None and self._fetch_revision == item.revision:
            return
        self._stop_fetch()
        self._fetch_revision = item.revision
        fetch = Deferred.fromCoroutine(self._fetch_document(item, sent_at))
        fetch.addErrback(self._handle_fetch_failure)
        if not fetch.called:
            self._fetch = fetch

    def _stop_fetch(self) -> None:
        fetch, self._fetch = self._fetch, None
        if fetch is not None:
            fetch.cancel()

    async def _fetch_document(self, item: KeyValue, sent_at: datetime) -> None:
        head = decode_head(item)
        delays = self._retry.begin()
        while True:
            try:
                document = await read_document(self._store, head)
                break
            except StoreError:
                await delays.wait()
        self._fetch = None
        if document is None:
            # Another change has replaced the document; reread the head.
            self._watched.read_soon()
        elif item.revision > self.revision:
            self._put_in_force(document, item.revision)
            self._confirm(sent_at)

    def _handle_fetch_failure(self, failure: Failure) -> None:
        if failure.check(CancelledError):
            return
        if failure.check(ConfigFormatError):
            self.unreadable += 1
            return
        _log.failure("a listener of the configuration failed", failure)

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
