"""The operators' configuration and evacuations in one daemon, and their freshness."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.pools import (
    CellDocument,
    CellStore,
    ConfigDecodeError,
    ConfigSource,
    HistoryLostError,
    Queue,
)
from savorylead.store import StoreError
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._evacuations import Evacuations

#: Time between two reads. A change is in force after one read and its answer, so more
#: than half of two seconds is left for a slow store.
READ_INTERVAL = timedelta(milliseconds=700)
#: After a full read, only changes are requested for this many times its duration. Thus
#: a large configuration takes at most a third of the link's capacity, and one that is
#: read quickly is always read in full, since the feed of changes may miss some.
CHANGES_ONLY_FACTOR = 2.0
#: Longest such period. A missed change is seen by the next full read, so a
#: withdrawn key is used for at most this time plus the time for which a read is fresh.
MAX_CHANGES_ONLY = timedelta(milliseconds=1_500)
#: Time until a failed read is retried.
RETRY_DELAY = timedelta(milliseconds=150)
#: Age of the last confirming read after which the store counts as unreachable: one read
#: has failed by then, and half a second of retries.
CONFIRMATION_TIMEOUT = timedelta(milliseconds=1_300)
#: Time without an answer to a read after which the store counts as unreachable. A store
#: that is 80 times slower than usual answers within half of it.
MIN_READ_TIMEOUT = timedelta(milliseconds=600)
#: A full read may take this many times as long as the previous one.
FULL_READ_TOLERANCE = 1.5


class ConfigFeed:
    """Polls what operators write, and never returns to a lower version.

    One read returns the configuration and the orders to evacuate, so the orders cost
    no call of their own and are as fresh as the configuration.
    """

    def __init__(
        self,
        store: CellStore,
        source: ConfigSource,
        clock: Clock,
        log: EventLog,
        fresh_for: timedelta,
    ) -> None:
        """``fresh_for`` is how long a confirming read counts as fresh once sent."""
        self._store = store
        self._source = source
        self._clock = clock
        self._log = log
        self._fresh_for = fresh_for
        self._confirmed_at: datetime | None = None
        #: When the periodic read in progress was sent.
        self._read_sent_at: datetime | None = None
        self._on_change: list[Callable[[CellDocument], None]] = []
        self._running: Deferred[None] | None = None
        self._teams_by_key: dict[str, str] = {}
        #: The last configuration of each queue, also of those that were removed.
        self._queues: dict[str, Queue] = {}
        #: Pools of all configurations that were in force here, the newest ones first.
        self._pools: dict[str, None] = {}
        self._was_fresh = False
        self._unreadable_revision = 0
        #: Store revision of the last decoded value; 0 if it could not be decoded.
        self._decoded_revision = 0
        #: Store revision up to which changes of the key are known.
        self._changes_revision = 0
        #: Duration of the last full read.
        self._full_read_duration = timedelta(0)
        #: Callers that wait for the read in progress.
        self._waiters: list[Deferred[bool]] = []
        self._reading: Deferred[None] | None = None
        #: Time until which only changes are requested.
        self._changes_only_until = clock.now()
        self.document: CellDocument | None = None
        #: The failure domains that operators have ordered to be evacuated.
        self.evacuations = Evacuations(source, clock, log)

    def subscribe(self, on_change: Callable[[CellDocument], None]) -> None:
        """Call ``on_change(document)`` for each version that comes into force."""
        self._on_change.append(on_change)

    def start(self) -> None:
        """Start the periodic reads."""
        running = supervised("config feed", self._clock, self._run)
        self._running = spawn("config feed", running)

    def stop(self) -> None:
        """Stop reading."""
        for running in (self._running, self._reading):
            if running is not None:
                running.cancel()

    def set_fresh_for(self, fresh_for: timedelta) -> None:
        """Set how long a confirming read counts as fresh."""
        self._fresh_for = fresh_for

    def is_fresh(self) -> bool:
        """Return whether no key can have been withdrawn for longer than allowed."""
        age = self.age()
        fresh = age is not None and age < self._fresh_for
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            event = "config_fresh" if fresh else "config_not_fresh"
            self._log.log_event(LogLevel.INFO, event, age_ms=_millis(age))
        return fresh

    def store_answers(self) -> bool:
        """Return whether the store has answered this daemon recently."""
        age = self.age()
        if age is None or age >= CONFIRMATION_TIMEOUT:
            return False
        since = self._read_sent_at
        # A large configuration takes about as long as in the previous full read.
        expected = min(
            self._full_read_duration * FULL_READ_TOLERANCE, CONFIRMATION_TIMEOUT
        )
        timeout = max(MIN_READ_TIMEOUT, expected)
        return since is None or self._clock.now() - since < timeout

    def age(self) -> timedelta | None:
        """Return the time since the last confirming read was sent; None before it."""
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    def team_of(self, key: str) -> str | None:
        """Return the team that owns the key."""
        return self._teams_by_key.get(key)

    def queue(self, name: str) -> Queue | None:
        """Return the last configuration of a queue, also of one that was removed."""
        return self._queues.get(name)

    def pools(self) -> Sequence[str]:
        """Return the pools of all configurations so far, the newest ones first."""
        return tuple(self._pools)

    def match(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix that matches the path."""
        best: Queue | None = None
        for queue in self.document.queues if self.document else ():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best

    async def read_now(self) -> bool:
        """Read once; return whether the store confirmed what is now in force.

        Calls during a read share it: each unknown key of a caller triggers one, and
        reads of a large configuration would saturate a slow link.
        """
        result: Deferred[bool] = Deferred()
        self._waiters.append(result)
        if len(self._waiters) == 1:
            self._reading = spawn("read of the configuration", self._read_for_waiters())
        return await result

    async def _read_for_waiters(self) -> None:
        try:
            # The result of a read that took too long may be outdated.
            confirmed = await self._read_once() and self.is_fresh()
        except Exception:
            self._answer_waiters(False)
            raise
        self._answer_waiters(confirmed)

    def _answer_waiters(self, confirmed: bool) -> None:
        waiters, self._waiters = self._waiters, []
        for result in waiters:
            if not result.called:
                result.callback(confirmed)

    async def _read_once(self) -> bool:
        sent_at = self._clock.now()
        try:
            if not await self._read(sent_at):
                return False
        except StoreError as exc:
            self._log.log_event(
                LogLevel.INFO,
                "config_unread",
                after_ms=_millis(self._clock.now() - sent_at),
                detail=str(exc),
            )
            return False
        if self._confirmed_at is None or sent_at > self._confirmed_at:
            self._confirmed_at = sent_at
        return True

    async def _run(self) -> None:
        while True:
            self._read_sent_at = self._clock.now()
            confirmed = await self.read_now()
            self._read_sent_at = None
            self.is_fresh()
            await self._clock.sleep(READ_INTERVAL if confirmed else RETRY_DELAY)

    async def _read(self, now: datetime) -> bool:
        """Apply the stored value; return whether it is known and can be decoded."""
        if now < self._changes_only_until:
            try:
                return await self._read_changes()
            except HistoryLostError:
                # The full read below gives the value and the revision to continue from.
                pass
        listing = await self._store.list(self._source.prefix)
        duration = self._clock.now() - now
        self._changes_revision = listing.revision
        self._full_read_duration = duration
        self._changes_only_until = self._clock.now() + min(
            CHANGES_ONLY_FACTOR * duration, MAX_CHANGES_ONLY
        )
        self.evacuations.replace(item.key for item in listing.items)
        item = next((i for i in listing.items if i.key == self._source.key), None)
        return item is not None and self._decode(item.value, item.revision)

    async def _read_changes(self) -> bool:
        changes = await self._store.changes(
            self._source.prefix, self._changes_revision, timedelta(0)
        )
        self.evacuations.apply(changes.events)
        is_readable = self._decoded_revision > 0
        for change in changes.events:
            if change.key == self._source.key and change.value is not None:
                is_readable = self._decode(change.value, change.revision)
        self._changes_revision = max(self._changes_revision, changes.revision)
        return is_readable

    def _decode(self, value: bytes, revision: int) -> bool:
        if revision == self._decoded_revision:
            return True
        try:
            document = self._source.decode(value)
        except ConfigDecodeError as exc:
            self._decoded_revision = 0
            if revision != self._unreadable_revision:
                self._unreadable_revision = revision
                self._log.log_event(
                    LogLevel.ERROR, "config_unreadable", detail=str(exc)
                )
            return False
        self._decoded_revision = revision
        if self.document is None or document.version > self.document.version:
            self._activate(document)
        return True

    def _activate(self, document: CellDocument) -> None:
        self.document = document
        self._teams_by_key = {k: t.name for t in document.teams for k in t.keys}
        self._queues.update((q.name, q) for q in document.queues)
        pools = dict.fromkeys(p.name for p in document.pools)
        self._pools = {**pools, **self._pools}
        self._log.log_event(
            LogLevel.INFO, "config_in_force", revision_in_force=document.version
        )
        for on_change in self._on_change:
            on_change(document)


def _millis(age: timedelta | None) -> int | None:
    return None if age is None else int(age.total_seconds() * 1000)
