"""Daemons reduced to what they coordinate: members, leads and journals."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.clock import TwistedClock, to_millis
from savorylead.domains import (
    LeadDirectory,
    Member,
    Membership,
    Shard,
    assign_leads,
    next_lead_steps,
)
from savorylead.journal import DeposedError, RingJournal
from savorylead.store import StoreError
from savorylead_standins.store import CallFate, MemoryStore, StoreCall

from ._pause import PausableClock, PausableStore, Pause

#: The shards of the size to design for, all in one region.
SHARDS = [Shard(f"s{number}", "north", f"d{number}") for number in range(7)]
#: What the store takes in a second, as the platform states it.
WRITES_PER_S = 300
READS_PER_S = 2000
_READS = ("get", "list")


class SkewedClock(PausableClock):
    """A clock that is ahead of the others, or behind them."""

    skew = timedelta(0)

    def now(self) -> datetime:
        """Return the skewed time."""
        return super().now() + self.skew


class CoordinatedDaemon:
    """Membership, lead directory and journals, as a whole daemon wires them."""

    def __init__(self, cell: CoordinatedCell, name: str) -> None:
        self.name = name
        self.pause = Pause()
        self.clock = SkewedClock(cell.clock, self.pause)
        self.store = PausableStore(cell.store.client(name), self.pause)
        self.rng = random.Random(name)
        self.journals: dict[str, RingJournal] = {}
        self.opened: Counter[str] = Counter()
        self.membership = Membership(
            self.store,
            self.clock,
            self.rng,
            Member(name, "north", "d1", "127.0.0.1:1", name),
            on_change=lambda members: self.step(),
            on_superseded=self.stop,
        )
        self.directory = LeadDirectory(
            self.store, self.clock, self.rng, on_change=lambda heads: self.step()
        )
        self.running = True
        self.membership.start()
        self.directory.start()
        self.tick()

    def tick(self) -> None:
        """Look at the assignment twice a second, besides at each change."""
        if self.running:
            self.step()
            self.clock.call_later(timedelta(milliseconds=500), self.tick)

    def step(self) -> None:
        """Open and resign what the assignment says."""
        if not self.running:
            return
        members = self.membership.current()
        if members.stale or self.directory.age() is None:
            return
        leads = self.directory.leads()
        for shard, head in self.directory.heads.items():
            if shard in self.journals:
                self.journals[shard].observe_epoch(head.epoch)
        now_ms = to_millis(self.clock.now())
        assignments = assign_leads(SHARDS, members.records, leads, now_ms)
        steps = next_lead_steps(self.name, self.journals, assignments, leads)
        for shard in steps.to_open:
            self.open(shard)
        for shard in steps.to_resign:
            resigning = Deferred.fromCoroutine(self.journals[shard].resign())
            resigning.addErrback(lambda failure: failure.trap(DeposedError))

    def open(self, shard: str) -> None:
        """Take a shard."""
        journal = RingJournal(
            self.store,
            shard,
            self.clock,
            self.rng,
            on_closed=lambda error: self.journals.pop(shard, None),
        )
        self.journals[shard] = journal
        self.opened[shard] += 1
        opening = Deferred.fromCoroutine(journal.open(self.name))
        opening.addErrback(self._not_opened, shard)

    def _not_opened(self, failure: Failure, shard: str) -> None:
        failure.trap(StoreError, DeposedError)
        self.journals.pop(shard, None)

    def leads(self) -> set[str]:
        """Return the shards that it leads."""
        return {s for s, journal in self.journals.items() if journal.epoch}

    def stop(self) -> None:
        """Die without a word."""
        self.running = False
        self.membership.stop()
        self.directory.stop()
        for journal in list(self.journals.values()):
            journal.close()


class CoordinatedCell:
    """A store with the platform's rates, a fake clock and daemons."""

    def __init__(self, count: int) -> None:
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryStore(self.clock, random.Random(1))
        self.store.faults.fate = self._within_rates
        self.rates: Counter[tuple[int, str]] = Counter()
        self.refused = 0
        self.daemons = [
            CoordinatedDaemon(self, f"daemon{number}") for number in range(count)
        ]

    def _within_rates(self, call: StoreCall) -> CallFate:
        """Refuse what is over the rates in the present second."""
        kind = "reads" if call.method in _READS else "writes"
        slot = (int(self.provider.seconds()), kind)
        self.rates[slot] += 1
        limit = READS_PER_S if kind == "reads" else WRITES_PER_S
        if self.rates[slot] > limit:
            self.refused += 1
            return CallFate.REFUSED
        return CallFate.ANSWERED

    def peak(self, kind: str, since: int = 0) -> int:
        """Return the most "reads" or "writes" in a second."""
        return max(
            count
            for (second, counted), count in self.rates.items()
            if counted == kind and second >= since
        )

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Run for a time or until something holds; return the seconds taken."""
        began = self.provider.seconds()
        while self.provider.seconds() < began + seconds and not until():
            self.provider.advance(0.005)
        return self.provider.seconds() - began

    def leads(self) -> Counter[str]:
        """Return how many daemons believe to lead each shard."""
        return Counter(shard for d in self.daemons for shard in d.leads())

    def all_led_once(self) -> bool:
        """Return whether each shard has exactly one lead."""
        return self.leads() == Counter(shard.name for shard in SHARDS)

    def kill(self, daemon: CoordinatedDaemon) -> None:
        """End a daemon without a word."""
        daemon.stop()
        self.daemons.remove(daemon)
