"""Follows the keys below a prefix of the store by a watch and by polling."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from savorylead.clock import Clock, Timer

from ._store import Snapshot, Store, StoreError, Watch

_log = Logger()


class WatchSettings(NamedTuple):
    """How often a watched prefix is read."""

    #: Mean interval between reads while the watch reports no change.
    poll: timedelta = timedelta(milliseconds=1500)
    #: Mean delay from a failed read to the next one.
    retry: timedelta = timedelta(milliseconds=375)
    #: Fraction by which each delay varies randomly, so that readers spread out.
    jitter: float = 0.2
    #: Minimum interval between reads, however often the watch reports changes.
    min_interval: timedelta = timedelta(milliseconds=50)


class WatchedPrefix:
    """Reads a prefix after each hint of its watch, and at least every ``poll``.

    ``on_snapshot`` is called with each snapshot that is not older than the previous
    one; its exceptions are logged. ``start`` sends the first read. At most one read is
    in flight, so that polls do not pile up while the store is slow or unavailable.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        rng: random.Random,
        on_snapshot: Callable[[Snapshot], None],
        settings: WatchSettings = WatchSettings(),  # noqa: B008
    ) -> None:
        #: Store revision of the newest snapshot.
        self.revision = 0
        #: When the last read that confirmed the newest snapshot was sent; None before.
        self.confirmed_at: datetime | None = None
        #: Snapshots dropped as older than a previous one, for metrics.
        self.outdated_answers = 0
        #: Failed reads, for metrics.
        self.failures = 0
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._rng = rng
        self._on_snapshot = on_snapshot
        self._settings = settings
        self._watch: Watch | None = None
        self._timer: Timer | None = None
        self._read: Deferred[None] | None = None
        self._read_again = False
        self._sent_at = clock.now() - settings.min_interval
        self._running = False
        self._failed = False

    def start(self) -> None:
        """Start the watch and the polling; the first read is sent at once."""
        self._running = True
        self._watch = self._store.watch(self._prefix, self._on_watch_event)
        self._send()

    def stop(self) -> None:
        """Stop the watch and the polling, and cancel the read in flight."""
        self._running = False
        if self._watch is not None:
            self._watch.cancel()
        if self._timer is not None:
            self._timer.cancel()
        read, self._read = self._read, None
        if read is not None:
            read.cancel()

    def read_soon(self) -> None:
        """Read once the read in flight has ended and ``min_interval`` has passed."""
        if not self._running:
            return
        if self._read is not None:
            self._read_again = True
            return
        self._schedule(self._sent_at + self._settings.min_interval - self._clock.now())

    def age(self) -> timedelta | None:
        """Return the time since the last confirming read was sent; None before any."""
        if self.confirmed_at is None:
            return None
        return self._clock.now() - self.confirmed_at

    def _on_watch_event(self, key: str) -> None:
        self.read_soon()

    def _schedule(self, delay: timedelta) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._clock.call_later(max(delay, timedelta(0)), self._send)

    def _send(self) -> None:
        if not self._running or self._read is not None:
            return
        self._sent_at = self._clock.now()
        self._read_again = False
        read = Deferred.fromCoroutine(self._read_once(self._sent_at))
        self._read = read
        read.addErrback(_log_failure)
        read.addBoth(self._read_done)

    async def _read_once(self, sent_at: datetime) -> None:
        try:
            snapshot = await self._store.list(self._prefix)
        except StoreError:
            self.failures += 1
            self._failed = True
            return
        self._failed = False
        if snapshot.revision < self.revision:
            self.outdated_answers += 1
            return
        self.revision = snapshot.revision
        self.confirmed_at = sent_at
        self._on_snapshot(snapshot)

    def _read_done(self, result: object) -> object:
        self._read = None
        if not self._running:
            return result
        if self._read_again:
            self.read_soon()
        else:
            spread = 1 + self._settings.jitter * (2 * self._rng.random() - 1)
            pause = self._settings.retry if self._failed else self._settings.poll
            self._schedule(pause * spread)
        return result


def _log_failure(failure: Failure) -> None:
    """Log an exception of the callback; reading continues."""
    if not failure.check(CancelledError):
        _log.failure("Callback of a watched store prefix failed", failure)
