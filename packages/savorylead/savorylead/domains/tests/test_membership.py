"""The list of live daemons under failures of the store and paused daemons."""

import random
from datetime import UTC, datetime, timedelta

import pytest
from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.domains import Member, Membership
from savorylead_standins.nodes import PausableClock, PausableStore, Pause
from savorylead_standins.store import CallFate, MemoryStore


class Cell:
    """A store, a fake clock and daemons that register."""

    def __init__(self):
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryStore(self.clock, random.Random(1))
        self.superseded = []
        self.pauses = {}

    def start(self, name, incarnation="1"):
        client = f"{name}-{incarnation}"
        pause = self.pauses[client] = Pause()
        membership = Membership(
            PausableStore(self.store.client(client), pause),
            PausableClock(self.clock, pause),
            random.Random(client),
            Member(name, "north", "d1", "127.0.0.1:1", incarnation),
            on_change=lambda members: None,
            on_superseded=lambda: self.superseded.append(client),
        )
        membership.start()
        return membership

    def run(self, seconds):
        self.provider.pump([0.01] * round(seconds * 100))


def names(membership):
    return [record.member.name for record in membership.current().records]


def test_daemons_see_each_other_within_a_second():
    cell = Cell()
    a = cell.start("a")
    b = cell.start("b")
    cell.run(1)
    assert names(a) == names(b) == ["a", "b"]
    assert not a.current().stale


def test_a_killed_daemon_is_off_the_list_within_its_lease_and_one_poll():
    cell = Cell()
    a = cell.start("a")
    b = cell.start("b")
    cell.run(2)
    b.stop()
    cell.run(3.1)
    assert names(a) == ["a"]


@pytest.mark.parametrize("silent", [False, True])
def test_a_leaving_daemon_is_off_the_list_at_once(silent):
    cell = Cell()
    cell.store.faults.silent = lambda client: silent
    a = cell.start("a")
    b = cell.start("b")
    cell.run(2)
    b.announce_shutdown()
    cell.run(1.3 if silent else 0.1)
    assert not a.current().find("b").leading
    Deferred.fromCoroutine(b.leave())
    cell.run(1.3 if silent else 0.1)
    assert names(a) == ["a"]


def test_a_paused_daemon_registers_again_and_counts_as_unsettled():
    cell = Cell()
    a = cell.start("a")
    b = cell.start("b")
    cell.run(60)
    settled = {r.member.name: r.settled_at_ms for r in a.current().records}
    cell.pauses["b-1"].begin()
    cell.run(5)
    assert names(a) == ["a"]
    cell.pauses["b-1"].end()
    cell.run(1)
    assert names(a) == names(b) == ["a", "b"]
    again = {r.member.name: r.settled_at_ms for r in a.current().records}
    assert again["a"] == settled["a"]
    assert again["b"] - settled["b"] > 60_000
    assert b.lapses == 1


def test_repeated_lapses_lengthen_the_unsettled_time():
    cell = Cell()
    a = cell.start("a")
    cell.start("b")
    cell.run(1)
    spans = []
    for _ in range(6):
        cell.pauses["b-1"].begin()
        cell.run(5)
        cell.pauses["b-1"].end()
        cell.run(1)
        record = a.current().records[1]
        now_ms = cell.clock.now().timestamp() * 1000
        spans.append(round((record.settled_at_ms - now_ms) / 1000))
    assert spans == sorted(spans)
    assert spans[0] in (59, 60)
    assert spans[-1] in (599, 600)


def test_a_restarted_daemon_takes_the_place_of_its_predecessor():
    cell = Cell()
    a = cell.start("a")
    cell.start("b", "1")
    cell.run(1)
    cell.pauses["b-1"].begin()
    cell.start("b", "2")
    cell.run(1)
    assert a.current().find("b").incarnation == "2"
    cell.pauses["b-1"].end()
    cell.run(10)
    assert a.current().find("b").incarnation == "2"
    assert cell.superseded == ["b-1"]


def test_a_key_that_was_deleted_is_written_again():
    cell = Cell()
    a = cell.start("a")
    cell.run(1)
    revision = cell.store.get("members/a").revision
    cell.store.swap("members/a", None, revision, None)
    cell.run(2)
    assert names(a) == ["a"]


@pytest.mark.parametrize("fate", [CallFate.REPLY_LOST, CallFate.LOST, CallFate.REFUSED])
def test_registering_survives_a_lossy_store(fate):
    cell = Cell()
    rng = random.Random(5)
    cell.store.faults.fate = lambda call: (
        fate if rng.random() < 0.2 else CallFate.ANSWERED
    )
    a = cell.start("a")
    b = cell.start("b")
    cell.run(120)
    cell.store.faults.fate = lambda call: CallFate.ANSWERED
    cell.run(10)
    assert names(a) == names(b) == ["a", "b"]
    assert cell.superseded == []


def test_the_list_is_marked_stale_when_the_store_is_down():
    cell = Cell()
    a = cell.start("a")
    cell.run(5)
    cell.store.faults.down = True
    cell.run(10)
    assert a.current().stale
    assert a.store_age() >= timedelta(seconds=9)
    cell.store.faults.down = False
    cell.run(4)
    assert not a.current().stale
    assert a.store_age() < timedelta(seconds=2)
