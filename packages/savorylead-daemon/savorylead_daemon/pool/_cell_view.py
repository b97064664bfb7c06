"""The live daemons of the cell, and the lead of each pool."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

import msgspec
from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.pools import CellStore
from savorylead.store import KeyValue, StoreError
from savorylead_daemon.concurrency import spawn, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._candidates import Machine
from ._keys import (
    CELL_PREFIX,
    LEAD_PREFIX,
    MACHINE_PREFIX,
    MARKER_PREFIX,
    MEMBER_PREFIX,
    POOL_PREFIX,
)

#: Longest wait of one watch, after which a silent connection is detected.
WATCH_TIMEOUT = timedelta(milliseconds=2_000)
#: Time between full reads, needed since a watch may miss changes.
FULL_READ_INTERVAL = timedelta(seconds=4)
#: Time until a failed read is retried.
RETRY_DELAY = timedelta(milliseconds=200)


class MemberRecord(NamedTuple):
    """A live daemon."""

    name: str
    #: Random identifier of one run of the process.
    incarnation: str
    #: "IP:port" for messages from other daemons.
    address: str
    #: The lease under which it is registered; empty before registration.
    lease_id: str = ""


class LeadRecord(NamedTuple):
    """The lead of a pool."""

    member: MemberRecord
    #: Number of its term, which is also its fencing token.
    term: int


class LeadEntry(NamedTuple):
    """A lead and the store revision of its key."""

    record: LeadRecord
    revision: int


def encode_record(record: MemberRecord | LeadRecord | Machine) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_member(item: KeyValue) -> MemberRecord | None:
    """Return a stored member, None if the record can't be decoded."""
    try:
        return msgspec.json.decode(item.value, type=MemberRecord)
    except msgspec.DecodeError:
        return None


class CellView:
    """Watches members, their machines and the leads in the store."""

    def __init__(self, store: CellStore, clock: Clock, log: EventLog) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._on_change: list[Callable[[], None]] = []
        self._running: Deferred[None] | None = None
        self.members: dict[str, MemberRecord] = {}
        #: By the daemon's name; daemons of earlier versions have no entry.
        self.machines: dict[str, Machine] = {}
        #: Names of the members that mark leases before they end them for others.
        self.marking_members: set[str] = set()
        self.leads: dict[str, LeadEntry] = {}
        #: Pools that may hold jobs, whether or not the configuration names them.
        self.pools: set[str] = set()
        #: Store revision up to which the view is complete; 0 before the first read.
        self.revision = 0

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change()`` after each change of the view."""
        self._on_change.append(on_change)

    def start(self) -> None:
        """Start to read and watch the store."""
        running = supervised("cell view", self._clock, self._run)
        self._running = spawn("cell view", running)

    def stop(self) -> None:
        """End the watch."""
        if self._running is not None:
            self._running.cancel()

    def lead(self, pool: str) -> LeadRecord | None:
        """Return the lead of a pool, None if none is known."""
        entry = self.leads.get(pool)
        return None if entry is None else entry.record

    def all_pools(self) -> set[str]:
        """Return the pools that have a lead or may hold jobs."""
        return {*self.leads, *self.pools}

    def others(self, *names: str) -> list[MemberRecord]:
        """Return the live daemons except for the named ones."""
        return [m for name, m in self.members.items() if name not in names]

    def all_mark_ended_leases(self) -> bool:
        """Return whether every live daemon marks a lease that it ends for its holder.

        Daemons of earlier versions don't.
        """
        return self.members.keys() <= self.marking_members

    async def _run(self) -> None:
        while True:
            try:
                await self._read()
                await self._watch(self._clock.now() + FULL_READ_INTERVAL)
            except StoreError as exc:
                self._log.log_event(
                    LogLevel.INFO, "cell_view_interrupted", detail=str(exc)
                )
                await self._clock.sleep(RETRY_DELAY)

    async def _read(self) -> None:
        snapshot = await self._store.list(CELL_PREFIX)
        before = self._contents()
        self.members, self.machines, self.leads = {}, {}, {}
        self.marking_members, self.pools = set(), set()
        for item in snapshot.items:
            self._apply_put(item.key, item.value, item.revision)
        self.revision = max(self.revision, snapshot.revision)
        if self._contents() != before:
            self._notify()

    def _contents(self) -> tuple[object, ...]:
        return self.members, self.machines, self.marking_members, self.leads, self.pools

    async def _watch(self, until: datetime) -> None:
        while self._clock.now() < until:
            changes = await self._store.changes(
                CELL_PREFIX, self.revision, WATCH_TIMEOUT
            )
            for change in changes.events:
                if change.value is None:
                    self._apply_delete(change.key)
                else:
                    self._apply_put(change.key, change.value, change.revision)
            self.revision = max(self.revision, changes.revision)
            if changes.events:
                self._notify()

    def _apply_put(self, key: str, value: bytes, revision: int) -> None:
        try:
            if key.startswith(MEMBER_PREFIX):
                name = key.removeprefix(MEMBER_PREFIX)
                self.members[name] = msgspec.json.decode(value, type=MemberRecord)
            elif key.startswith(MACHINE_PREFIX):
                name = key.removeprefix(MACHINE_PREFIX)
                self.machines[name] = msgspec.json.decode(value, type=Machine)
            elif key.startswith(MARKER_PREFIX):
                self.marking_members.add(key.removeprefix(MARKER_PREFIX))
            elif key.startswith(LEAD_PREFIX):
                pool = key.removeprefix(LEAD_PREFIX)
                record = msgspec.json.decode(value, type=LeadRecord)
                self.leads[pool] = LeadEntry(record, revision)
            elif key.startswith(POOL_PREFIX):
                self.pools.add(key.removeprefix(POOL_PREFIX))
        except msgspec.DecodeError as exc:
            self._log.log_event(
                LogLevel.WARNING, "cell_record_unreadable", key=key, detail=str(exc)
            )

    def _apply_delete(self, key: str) -> None:
        if key.startswith(MEMBER_PREFIX):
            self.members.pop(key.removeprefix(MEMBER_PREFIX), None)
        elif key.startswith(MACHINE_PREFIX):
            self.machines.pop(key.removeprefix(MACHINE_PREFIX), None)
        elif key.startswith(MARKER_PREFIX):
            self.marking_members.discard(key.removeprefix(MARKER_PREFIX))
        elif key.startswith(LEAD_PREFIX):
            self.leads.pop(key.removeprefix(LEAD_PREFIX), None)
        elif key.startswith(POOL_PREFIX):
            self.pools.discard(key.removeprefix(POOL_PREFIX))

    def _notify(self) -> None:
        for on_change in self._on_change:
            on_change()
