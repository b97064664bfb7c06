"""Reads the platform's list of workers while this daemon leads a pool."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.pools import CellStore, WorkerEntry, WorkerListing
from savorylead.store import StoreError
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

#: Interval between two reads. It ensures that a leaving worker gets no new task after
#: two seconds.
READ_INTERVAL = timedelta(milliseconds=800)
#: Delay before a failed read is retried.
RETRY_AFTER = timedelta(milliseconds=200)


class WorkersFeed:
    """Calls ``on_list(entries)`` with each list, without undecodable entries."""

    def __init__(
        self,
        store: CellStore,
        listing: WorkerListing,
        clock: Clock,
        log: EventLog,
        is_wanted: Callable[[], bool],
        on_list: Callable[[Sequence[WorkerEntry]], None],
    ) -> None:
        """Read only while ``is_wanted()``."""
        self._store = store
        self._listing = listing
        self._clock = clock
        self._log = log
        self._is_wanted = is_wanted
        self._on_list = on_list
        self._unreadable: set[str] = set()
        #: Revision of the newest list that was passed to ``on_list``.
        self._revision = 0
        self._running: Deferred[None] | None = None

    def start(self) -> None:
        """Start reading."""
        running = supervised("list of workers", self._clock, self._run)
        self._running = spawn("list of workers", running)

    def stop(self) -> None:
        """Stop reading."""
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        while True:
            is_read = self._is_wanted() and await self.read_now()
            await self._clock.sleep(READ_INTERVAL if is_read else RETRY_AFTER)

    async def read_now(self) -> bool:
        """Read the list and pass it on; return whether the store answered.

        Also called for a new lead, which must not wait for the next periodic read.
        """
        try:
            await self._read()
        except StoreError as exc:
            self._log.log_event(LogLevel.INFO, "workers_unread", detail=str(exc))
            return False
        return True

    async def _read(self) -> None:
        snapshot = await self._store.list(self._listing.prefix)
        if snapshot.revision < self._revision:
            # A later read was answered first.
            return
        self._revision = snapshot.revision
        entries = []
        unreadable = set()
        for item in snapshot.items:
            entry = self._listing.decode(item)
            if entry is None:
                unreadable.add(item.key)
            else:
                entries.append(entry)
        for key in unreadable - self._unreadable:
            self._log.log_event(LogLevel.WARNING, "worker_entry_unreadable", key=key)
        self._unreadable = unreadable
        self._on_list(entries)
