"""Updates a pool's grants, its parts of the teams' limits, in the store."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from savorylead.clock import Clock, Wakeup, to_millis
from savorylead.pools import (
    CellStore,
    Committed,
    Conflict,
    GrantRecord,
    LimitClaim,
    PoolDemand,
    PoolGrants,
    Put,
    decode_grants,
    encode_grants,
)
from savorylead.resources import ZERO, Resources
from savorylead.store import KeyValue, StoreError
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._keys import GRANTS_KEY
from ._leadless_pools import LeadlessPools
from ._term import Term
from ._term_writes import TermWrites

#: Time between two updates, which read the grants and demands of the other pools.
UPDATE_INTERVAL = timedelta(milliseconds=800)
#: Least time between two updates for a team whose shortage has not grown.
SHORTAGE_INTERVAL = timedelta(milliseconds=300)
#: Factor by which a team's shortage must grow to trigger an update immediately.
SHORTAGE_GROWTH = 1.25
#: Time within which several triggers lead to a single update.
UPDATE_DELAY = timedelta(milliseconds=40)


class GrantUpdater:
    """Reads the record of all grants, and writes those that this pool should have.

    Between a write and its answer the smaller of the old and new grants is used, since
    a write may take effect late.
    """

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        term: Term,
        tasks: TaskSet,
        writes: TermWrites,
        grants: PoolGrants,
        leadless: LeadlessPools,
        demand: Callable[[], PoolDemand | None],
        on_change: Callable[[], None],
        on_written: Callable[[str], None],
    ) -> None:
        """``demand()`` returns what teams demand in this pool, None while unknown."""
        self._store = store
        self._clock = clock
        self._log = log
        self._term = term
        self._tasks = tasks
        self._writes = writes
        self._grants = grants
        self._leadless = leadless
        self._demand = demand
        self._on_change = on_change
        self._on_written = on_written
        self._updated_at = clock.now()
        self._lacking_cores = 0
        self._revision = 0
        self._unclear = False
        self._update_due = False
        self._read_due = True
        self._read_at = clock.now()
        self._wakeup = Wakeup(clock)

    def start(self) -> None:
        """Start to update the grants."""
        running = supervised("grant keeper", self._clock, self._run)
        self._tasks.spawn("grant keeper", running)

    def is_unclear(self) -> bool:
        """Return whether it is unknown if a write has taken effect."""
        return self._unclear

    def update_soon(self) -> None:
        """Read and update soon, since another pool has written the record."""
        self._read_due = True
        self._wake()

    def _wake(self) -> None:
        self._update_due = True
        self._wakeup.wake()

    def note_shortage(self, lacking: Resources) -> None:
        """Update soon if a team's shortage has grown since the last update."""
        is_due = self._clock.now() - self._updated_at >= SHORTAGE_INTERVAL
        has_grown = lacking.cores_milli > self._lacking_cores * SHORTAGE_GROWTH
        if has_grown or is_due:
            self._lacking_cores = max(self._lacking_cores, lacking.cores_milli)
            # No read is needed: if the known record is outdated, the write conflicts.
            self._wake()

    async def _run(self) -> None:
        while True:
            try:
                await self._update()
            except (StoreError, msgspec.DecodeError) as exc:
                self._log.log_event(
                    LogLevel.INFO,
                    "grants_unread",
                    pool=self._term.pool,
                    detail=str(exc),
                )
            if not self._update_due:
                await self._wakeup.wait(UPDATE_INTERVAL)
            self._update_due = False
            await self._clock.sleep(UPDATE_DELAY)

    async def _update(self) -> None:
        self._updated_at = self._clock.now()
        self._lacking_cores = 0
        now = self._clock.now()
        if self._read_due or now - self._read_at >= UPDATE_INTERVAL:
            self._read_due = False
            self._read_at = now
            self._apply(await self._store.get(GRANTS_KEY))
        idle = await self._leadless.idle(self._grants.other_pools())
        demand = self._demand()
        if demand is None:
            # Grants must not be returned while the runs that use them may be unknown.
            return
        wanted = self._grants.next_record(demand, to_millis(now), idle)
        if wanted is None:
            if not self._unclear:
                return
            # After this write, an earlier one without an answer can't take effect.
            wanted = self._grants.record
        before = self._grants.record
        self._grants.record = self._grants.capped_by(before, wanted)
        self._unclear = True
        expected = {GRANTS_KEY: self._revision}
        for keys in idle.values():
            expected |= keys
        result = await self._writes.commit(
            expected, [Put(GRANTS_KEY, encode_grants(wanted))]
        )
        if isinstance(result, Committed):
            self._unclear = False
            claims = self._grants.own_claims()
            self._set_record(wanted, result.revision)
            self._log_claims(claims, demand)
            self._on_written(self._term.pool)
        elif isinstance(result, Conflict):
            for pool in idle:
                self._leadless.forget(pool)
            item = result.current.get(GRANTS_KEY)
            if item is not None and item.revision != self._revision:
                self._unclear = False
            self._apply(item)
            self._wake()

    def _apply(self, item: KeyValue | None) -> None:
        if item is None or item.revision <= self._revision:
            return
        self._unclear = False
        self._set_record(decode_grants(item.value), item.revision)

    def _log_claims(self, before: Mapping[str, LimitClaim], demand: PoolDemand) -> None:
        """Log the claims that this pool has made, changed or ended."""
        after = self._grants.own_claims()
        now_ms = to_millis(self._clock.now())
        for team in sorted(before.keys() | after.keys()):
            claim = after.get(team)
            if claim == before.get(team):
                continue
            blocked = demand.blocked.get(team)
            self._log.log_event(
                LogLevel.INFO,
                "limit_claim_ended" if claim is None else "limit_claimed",
                team=team,
                pool=self._term.pool,
                claim=claim or before[team],
                held=demand.held.get(team, ZERO)[:3],
                blocked_ms=now_ms - blocked.since_ms if blocked is not None else 0,
                **self._grants.explain(team),
            )

    def _set_record(self, record: GrantRecord, revision: int) -> None:
        self._revision = revision
        if record != self._grants.record:
            self._grants.record = record
            self._on_change()
