"""Daemons that take, hold and hand over shards on one store."""

import random
from collections import Counter
from datetime import UTC, datetime, timedelta

import pytest
from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock, to_millis
from savorylead.contracts import TaskId
from savorylead.domains import (
    LeadDirectory,
    Member,
    Membership,
    Shard,
    assign_leads,
    next_lead_steps,
)
from savorylead.journal import DeposedError, Forgotten, RingJournal
from savorylead.store import StoreError
from savorylead_standins.nodes import PausableClock, PausableStore, Pause
from savorylead_standins.store import CallFate, MemoryStore

SHARDS = [Shard(f"s{number}", "north", f"d{number}") for number in range(7)]
#: What the store takes in a second, as the platform states it.
WRITES_PER_S = 300
READS_PER_S = 2000
READS = ("get", "list")


class SkewedClock(PausableClock):
    """A clock that is ahead of the others, or behind them."""

    skew = timedelta(0)

    def now(self):
        return super().now() + self.skew


class Daemon:
    """Membership, lead directory and journals, as a whole daemon wires them."""

    def __init__(self, cell, name):
        self.name = name
        self.pause = Pause()
        self.clock = SkewedClock(cell.clock, self.pause)
        self.store = PausableStore(cell.store.client(name), self.pause)
        self.rng = random.Random(name)
        self.journals = {}
        self.opened = Counter()
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

    def tick(self):
        if self.running:
            self.step()
            self.clock.call_later(timedelta(milliseconds=500), self.tick)

    def step(self):
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

    def open(self, shard):
        journal = RingJournal(
            self.store,
            shard,
            self.clock,
            self.rng,
            on_over=lambda error: self.journals.pop(shard, None),
        )
        self.journals[shard] = journal
        self.opened[shard] += 1
        opening = Deferred.fromCoroutine(journal.open(self.name))
        opening.addErrback(self.not_opened, shard)

    def not_opened(self, failure, shard):
        failure.trap(StoreError, DeposedError)
        self.journals.pop(shard, None)

    def leads(self):
        return {s for s, journal in self.journals.items() if journal.epoch}

    def stop(self):
        """Die without a word."""
        self.running = False
        self.membership.stop()
        self.directory.stop()
        for journal in list(self.journals.values()):
            journal.close()


class Cell:
    """A store with the platform's rates, a fake clock and daemons."""

    def __init__(self, count):
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryStore(self.clock, random.Random(1))
        self.store.faults.fate = self.within_rates
        self.rates = Counter()
        self.refused = 0
        self.daemons = [Daemon(self, f"daemon{number}") for number in range(count)]

    def within_rates(self, call):
        """Refuse what is over the rates in the present second."""
        kind = "reads" if call.method in READS else "writes"
        slot = (int(self.provider.seconds()), kind)
        self.rates[slot] += 1
        limit = READS_PER_S if kind == "reads" else WRITES_PER_S
        if self.rates[slot] > limit:
            self.refused += 1
            return CallFate.REFUSED
        return CallFate.ANSWERED

    def peak(self, kind, since=0):
        return max(
            count
            for (second, counted), count in self.rates.items()
            if counted == kind and second >= since
        )

    def run(self, seconds, until=lambda: False):
        """Run for a time or until something holds; return the seconds taken."""
        began = self.provider.seconds()
        while self.provider.seconds() < began + seconds and not until():
            self.provider.advance(0.005)
        return self.provider.seconds() - began

    def leads(self):
        return Counter(shard for d in self.daemons for shard in d.leads())

    def all_led_once(self):
        return self.leads() == Counter(shard.name for shard in SHARDS)

    def kill(self, daemon):
        daemon.stop()
        self.daemons.remove(daemon)


def started(count):
    cell = Cell(count)
    assert cell.run(10, cell.all_led_once) < 5
    cell.run(60)
    assert cell.all_led_once()
    return cell


def test_shards_spread_evenly_over_the_daemons():
    cell = started(6)
    assert sorted(len(daemon.leads()) for daemon in cell.daemons) == [1, 1, 1, 1, 1, 2]


@pytest.mark.parametrize("killed", [1, 3, 5])
def test_every_shard_is_led_again_within_five_seconds_of_a_kill(killed):
    cell = started(6)
    for daemon in cell.daemons[:killed]:
        cell.kill(daemon)
    assert cell.run(10, cell.all_led_once) < 5
    cell.run(60)
    assert cell.all_led_once()
    assert cell.refused == 0


def test_a_daemon_that_hands_over_leaves_no_gap_of_a_lease():
    cell = started(6)
    leaving = max(cell.daemons, key=lambda daemon: len(daemon.leads()))
    leaving.membership.take_no_shards()

    def handed_over():
        return not leaving.journals and cell.all_led_once()

    assert cell.run(10, handed_over) < 1


def test_a_daemon_that_keeps_pausing_does_not_pull_shards_to_and_fro():
    cell = started(6)
    moody = max(cell.daemons, key=lambda daemon: len(daemon.leads()))
    opened_before = sum(sum(d.opened.values()) for d in cell.daemons)
    for _ in range(10):
        moody.pause.begin()
        cell.run(6)
        moody.pause.end()
        cell.run(20)
    opened = sum(sum(d.opened.values()) for d in cell.daemons) - opened_before
    assert not moody.leads()
    assert cell.all_led_once()
    # Its two shards moved away once, and at most as many others evened the load.
    assert opened <= 4


def test_a_takeover_storm_stays_within_the_rates_of_the_store():
    """Daemons die and come back every few seconds for two minutes."""
    cell = started(6)
    rng = random.Random(3)
    for number in range(30):
        victim = rng.choice(cell.daemons)
        cell.kill(victim)
        cell.run(rng.uniform(0.5, 4.0))
        cell.daemons.append(Daemon(cell, f"again{number}"))
        cell.run(rng.uniform(0.0, 2.0))
    assert cell.run(10, cell.all_led_once) < 5
    assert cell.refused == 0
    assert cell.peak("writes") < WRITES_PER_S / 2
    assert cell.peak("reads") < READS_PER_S / 2


@pytest.mark.parametrize("jump_ms", [-500, 500])
def test_a_clock_that_jumps_within_the_drift_bound_moves_no_shard(jump_ms):
    cell = started(6)
    leads_before = [daemon.leads() for daemon in cell.daemons]
    for number, daemon in enumerate(cell.daemons):
        daemon.clock.skew = timedelta(milliseconds=jump_ms * (number % 2))
        cell.run(5)
    assert [daemon.leads() for daemon in cell.daemons] == leads_before
    cell.kill(cell.daemons[0])
    assert cell.run(10, cell.all_led_once) < 5


def append_often(cell, daemon):
    """Have each lead append every 50 ms, whatever becomes of it."""
    event = Forgotten((TaskId("team", "workspace", "request"),))

    def tick():
        if not daemon.running:
            return
        for journal in list(daemon.journals.values()):
            journal.append([event]).addErrback(lambda failure: None)
        daemon.clock.call_later(timedelta(milliseconds=50), tick)

    tick()


def test_the_end_of_an_outage_brings_no_herd():
    cell = started(6)
    for daemon in cell.daemons:
        append_often(cell, daemon)
    cell.run(5)
    leads_before = [daemon.leads() for daemon in cell.daemons]
    usual_reads = cell.peak("reads", since=int(cell.provider.seconds()) - 4)
    cell.store.faults.down = True
    cell.run(30)
    assert all(d.membership.current().stale for d in cell.daemons)
    cell.store.faults.down = False
    back_at = int(cell.provider.seconds())
    cell.run(10)
    assert cell.all_led_once()
    assert [daemon.leads() for daemon in cell.daemons] == leads_before
    assert cell.refused == 0
    assert cell.peak("writes", since=back_at) < WRITES_PER_S
    assert cell.peak("reads", since=back_at) < 4 * usual_reads + 50
