"""Makes this daemon lead exactly the shards that are assigned to it."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping
from datetime import datetime, timedelta

from twisted.internet.defer import CancelledError, Deferred

from savorylead.clock import Clock
from savorylead.domains import LeadSteps
from savorylead.journal import DeposedError, JournalError
from savorylead.store import StoreError
from savorylead.workers import VmListError
from savorylead_daemon.concurrency import gather
from savorylead_daemon.lead import LeadObserver, Periodic, ShardLead

#: Interval between checks of the assignment of leads.
CHECK_INTERVAL = timedelta(milliseconds=500)
#: Shortest and longest delay after a failed attempt to take a shard.
RETRY_DELAY = timedelta(milliseconds=500)
MAX_RETRY_DELAY = timedelta(seconds=8)


class LeadDuty(ABC):
    """Determines which shards this daemon should take or resign from."""

    @abstractmethod
    def steps(self, held: frozenset[str]) -> LeadSteps:
        """Return shards to open and to resign; ``held`` are led or being opened."""


class LeadSupervisor:
    """Opens, tracks and closes the leads of this daemon."""

    def __init__(
        self,
        duty: LeadDuty,
        open_lead: Callable[[str, Callable[[ShardLead], None]], Awaitable[ShardLead]],
        clock: Clock,
        rng: random.Random,
        observer: LeadObserver,
    ) -> None:
        self._observer = observer
        self._duty = duty
        self._open_lead = open_lead
        self._clock = clock
        self._rng = rng
        self._leads: dict[str, ShardLead] = {}
        self._opening: dict[str, Deferred[None]] = {}
        self._failures: dict[str, int] = {}
        self._not_before: dict[str, datetime] = {}
        self._checking = False
        self._closed = False
        self._periodic: Periodic | None = None

    @property
    def leads(self) -> Mapping[str, ShardLead]:
        """The shards that this daemon leads now."""
        return self._leads

    def begin(self) -> None:
        """Check now, and periodically from now on."""
        self._periodic = Periodic(self._clock, CHECK_INTERVAL, self.check)
        self.check()

    def check(self) -> None:
        """Take shards and resign from them as due, unless a check is running."""
        if not self._checking and not self._closed:
            self._checking = True
            Deferred.fromCoroutine(self._check()).addBoth(self._after_check)

    async def resign_all(self) -> None:
        """Take no more shards and resign from all led ones concurrently.

        A shard whose resignation can't be written is taken over after its lease has
        expired.
        """
        self._stop()
        await gather(self._resign(lead) for lead in list(self._leads.values()))

    def close(self) -> None:
        """Close every lead without resigning, as if the process had crashed."""
        self._stop()
        for lead in list(self._leads.values()):
            lead.close()
        self._leads.clear()

    def _stop(self) -> None:
        self._closed = True
        if self._periodic is not None:
            self._periodic.close()
        for opening in list(self._opening.values()):
            opening.cancel()

    def _after_check(self, result: object) -> object:
        self._checking = False
        return result

    async def _check(self) -> None:
        steps = self._duty.steps(frozenset(self._leads) | frozenset(self._opening))
        for name in steps.to_resign:
            if name in self._leads:
                await self._resign(self._leads[name])
        for name in steps.to_open:
            self._start_opening(name)

    def _start_opening(self, name: str) -> None:
        if self._closed or name in self._leads or name in self._opening:
            return
        not_before = self._not_before.get(name)
        if not_before is not None and self._clock.now() < not_before:
            return
        opening = Deferred.fromCoroutine(self._open(name))
        if not opening.called:
            self._opening[name] = opening
        opening.addErrback(lambda failure: failure.trap(CancelledError) and None)

    async def _open(self, name: str) -> None:
        try:
            lead = await self._open_lead(name, self._on_deposed)
        except (StoreError, JournalError, VmListError) as exc:
            self._observer.takeover_failed(name, type(exc).__name__)
            self._delay_next(name)
            return
        finally:
            self._opening.pop(name, None)
        if self._closed:
            await lead.resign()
            return
        self._failures.pop(name, None)
        self._leads[name] = lead

    def _delay_next(self, shard: str) -> None:
        """Delay longer after each failure, to avoid overloading a slow store."""
        failures = self._failures.get(shard, 0)
        self._failures[shard] = failures + 1
        delay = min(RETRY_DELAY * 2**failures, MAX_RETRY_DELAY)
        jittered = delay * (0.5 + self._rng.random())
        self._not_before[shard] = self._clock.now() + jittered

    def _on_deposed(self, lead: ShardLead) -> None:
        if self._leads.get(lead.shard.name) is lead:
            del self._leads[lead.shard.name]
        self._delay_next(lead.shard.name)

    async def _resign(self, lead: ShardLead) -> None:
        self._leads.pop(lead.shard.name, None)
        try:
            await lead.resign()
        except (DeposedError, StoreError):
            lead.close()
