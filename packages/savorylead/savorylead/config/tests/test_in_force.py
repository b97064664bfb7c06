"""The configuration in force, and its changes, under the failures of the store."""

import copy
import json
import random
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.logger import globalLogPublisher

from savorylead.clock import TwistedClock
from savorylead.config import (
    ConfigEditor,
    EditApplied,
    EditConflict,
    EditRejected,
    EditUncertainError,
    InForceConfig,
    PeerSight,
)
from savorylead_standins.nodes import PausableClock, PausableStore, Pause
from savorylead_standins.store import CallFate, MemoryStore

EXAMPLES = Path(__file__).parents[5] / "examples"
MONTEVERDE = json.loads((EXAMPLES / "monteverde.json").read_text())["cell"]


def with_share(share):
    document = copy.deepcopy(MONTEVERDE)
    document["teams"]["dispatch"]["share"] = float(share)
    return document


class Daemon:
    """The configuration's part of one daemon."""

    def __init__(self, cell, name):
        self.pause = Pause()
        clock = PausableClock(cell.clock, self.pause)
        store = PausableStore(cell.store.client(name), self.pause)
        rng = random.Random(name)
        self.name = name
        self.clock = clock
        self.config = InForceConfig(store, clock, rng)
        self.editor = ConfigEditor(store, clock, rng, self.config.observe)
        self.seen = []
        self.config.add_listener(lambda current: self.seen.append(current.revision))
        self.config.start()

    def share(self):
        return self.config.current.document["teams"]["dispatch"]["share"]

    def sight(self, store_age=timedelta(seconds=10), revision=None):
        own = self.config.revision if revision is None else revision
        return PeerSight(self.name, own, self.config.age(), store_age)


class Cell:
    """A store, a fake clock and the daemons that follow it."""

    def __init__(self, names="ab"):
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryStore(self.clock, random.Random(1))
        self.daemons = [Daemon(self, name) for name in names]

    def run(self, seconds):
        self.provider.pump([0.01] * round(seconds * 100))

    def result(self, coroutine, seconds=30):
        results = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        for _ in range(round(seconds * 100)):
            if results:
                break
            self.provider.advance(0.01)
        assert results, "not done in time"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def applied(self, share, expected, daemon=0):
        editor = self.daemons[daemon].editor
        result = self.result(editor.apply(with_share(share), expected))
        assert isinstance(result, EditApplied)
        return result.revision


def test_a_change_is_in_force_everywhere_at_once_by_the_watch():
    cell = Cell("abc")
    revision = cell.applied(2, 0)
    cell.run(0.2)
    assert [daemon.config.revision for daemon in cell.daemons] == [revision] * 3
    cell.applied(3, revision)
    cell.run(0.2)
    assert [daemon.share() for daemon in cell.daemons] == [3.0] * 3


def test_with_silent_watches_a_change_is_in_force_within_four_seconds():
    cell = Cell("abcdef")
    cell.store.faults.silent = lambda client: True
    revision = cell.applied(2, 0)
    cell.run(3)
    worst = 0.0
    for share in range(3, 30):
        cell.run(0.37)
        revision = cell.applied(share, revision)
        took = 0.0
        while any(daemon.share() != share for daemon in cell.daemons):
            cell.run(0.01)
            took += 0.01
        worst = max(worst, took)
    assert 0.5 < worst <= 2.0


def test_a_paused_daemon_is_not_fresh_until_it_has_caught_up():
    cell = Cell("ab")
    cell.store.faults.silent = lambda client: True
    revision = cell.applied(2, 0)
    cell.run(3)
    daemon = cell.daemons[1]
    daemon.pause.begin()
    cell.run(1)
    cell.applied(3, revision)
    changed_at = cell.clock.now()
    while cell.clock.now() < changed_at + timedelta(seconds=20):
        cell.run(0.05)
        late = cell.clock.now() - changed_at > timedelta(seconds=4)
        assert not (late and daemon.config.is_fresh())
    daemon.pause.end()
    assert not daemon.config.is_fresh()
    cell.run(3)
    assert daemon.config.is_fresh()
    assert daemon.share() == 3.0


def test_a_cut_off_daemon_stops_being_fresh_and_comes_back():
    cell = Cell("ab")
    cell.applied(2, 0)
    cell.run(3)
    cell.store.faults.cut.add("b")
    cell.run(4)
    assert cell.daemons[0].config.is_fresh()
    assert not cell.daemons[1].config.is_fresh()
    cell.store.faults.cut.clear()
    cell.run(3)
    assert cell.daemons[1].config.is_fresh()


def test_one_lost_read_does_not_end_freshness():
    cell = Cell("a")
    cell.applied(2, 0)
    cell.run(3)
    count = 0

    def fate(call):
        nonlocal count
        count += 1
        return CallFate.LOST if count % 2 else CallFate.ANSWERED

    cell.store.faults.fate = fate
    for _ in range(600):
        cell.run(0.1)
        assert cell.daemons[0].config.is_fresh()


def test_a_lower_revision_never_comes_back():
    cell = Cell("a")
    revision = cell.applied(2, 0)
    late = []
    old = cell.store.list("config/")
    cell.applied(3, revision)
    cell.run(2)
    real = cell.store.list
    cell.store.list = lambda prefix: late.append(1) or old
    cell.run(10)
    assert late
    assert cell.daemons[0].share() == 3.0
    assert not cell.daemons[0].config.is_fresh()
    cell.store.list = real
    cell.run(3)
    assert cell.daemons[0].config.is_fresh()
    assert cell.daemons[0].seen == sorted(cell.daemons[0].seen)


def test_an_observed_revision_is_read_at_once():
    cell = Cell("ab")
    cell.store.faults.silent = lambda client: True
    revision = cell.applied(2, 0)
    cell.run(3)
    revision = cell.applied(3, revision)
    cell.daemons[1].config.observe(revision)
    cell.run(0.1)
    assert cell.daemons[1].share() == 3.0


def test_a_daemon_that_knows_of_a_newer_revision_is_not_confirmed():
    cell = Cell("a")
    revision = cell.applied(2, 0)
    cell.run(2)
    cell.daemons[0].config.observe(revision + 100)
    cell.run(6)
    assert not cell.daemons[0].config.is_fresh()


def test_listeners_hear_each_revision_in_order_even_if_one_fails():
    cell = Cell("a")
    heard = []
    logged = []

    def broken(current):
        raise ValueError(current.revision)

    def keep(event):
        logged.append(event["log_failure"].value)

    config = cell.daemons[0].config
    config.add_listener(broken)
    config.add_listener(lambda current: heard.append(current.revision))
    globalLogPublisher.addObserver(keep)
    try:
        first = cell.applied(2, 0)
        cell.run(1)
        second = cell.applied(3, first)
        cell.run(1)
    finally:
        globalLogPublisher.removeObserver(keep)
    assert heard == [first, second]
    assert [str(error.exceptions[0]) for error in logged] == [str(first), str(second)]


LONG = timedelta(seconds=10)


@pytest.mark.parametrize(
    ("sights", "fresh"),
    [
        ({"b": LONG, "c": LONG}, True),
        ({"b": LONG, "c": None}, True),
        ({"b": LONG}, False),
        ({"b": LONG, "c": timedelta(seconds=1)}, False),
        ({}, False),
    ],
)
def test_an_outage_confirms_only_if_every_member_sees_it(sights, fresh):
    cell = Cell("abc")
    cell.applied(2, 0)
    cell.run(3)
    cell.store.faults.down = True
    cell.run(10)
    first, *others = cell.daemons
    assert not first.config.is_fresh()
    answers = [d.sight(sights[d.name]) for d in others if d.name in sights]
    asked_at = cell.clock.now()
    assert first.config.confirm_by_outage(asked_at, ["b", "c"], answers) is fresh
    assert first.config.is_fresh() is fresh
    cell.run(4)
    assert not first.config.is_fresh()


def test_an_outage_does_not_confirm_while_a_member_has_a_higher_revision():
    cell = Cell("abc")
    revision = cell.applied(2, 0)
    cell.run(3)
    cell.store.faults.down = True
    cell.run(10)
    first, b, c = cell.daemons
    sights = [b.sight(), c.sight(revision=revision + 1)]
    assert not first.config.confirm_by_outage(cell.clock.now(), ["b", "c"], sights)
    assert not first.config.is_fresh()


def test_an_outage_does_not_confirm_where_the_store_answers():
    cell = Cell("ab")
    cell.applied(2, 0)
    cell.run(3)
    first, b = cell.daemons
    assert not first.config.confirm_by_outage(cell.clock.now(), ["b"], [b.sight()])


def test_a_peer_that_reads_the_store_keeps_a_cut_off_daemon_fresh():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    cell.run(3)
    cell.store.faults.cut.add("b")
    a, b = cell.daemons
    for _ in range(20):
        cell.run(0.5)
        b.config.confirm_by_peer(cell.clock.now(), a.sight())
        assert b.config.is_fresh()
    cell.applied(3, revision)
    cell.run(0.5)
    for _ in range(8):
        cell.run(0.5)
        b.config.confirm_by_peer(cell.clock.now(), a.sight())
    assert not b.config.is_fresh()


@pytest.mark.parametrize(
    "fate", [CallFate.REPLY_LOST, CallFate.LANDS_LATE, CallFate.LOST, CallFate.REFUSED]
)
def test_a_change_survives_a_failing_write(fate):
    cell = Cell("a")
    revision = cell.applied(2, 0)
    fates = [fate]
    cell.store.faults.fate = lambda call: (
        fates.pop() if call.method == "swap" and fates else CallFate.ANSWERED
    )
    cell.applied(3, revision)
    cell.run(5)
    assert cell.daemons[0].share() == 3.0


def test_a_lost_reply_that_another_change_followed_is_still_found():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    fates = [CallFate.REPLY_LOST]
    cell.store.faults.fate = lambda call: (
        fates.pop()
        if call.method == "swap" and call.client == "a" and fates
        else CallFate.ANSWERED
    )
    results = []
    first = cell.daemons[0].editor.apply(with_share(3), revision)
    Deferred.fromCoroutine(first).addBoth(results.append)
    cell.run(0.3)
    between = cell.store.get("config/cell").revision
    cell.applied(4, between, daemon=1)
    cell.run(3)
    assert results == [EditApplied(between)]


def test_of_two_racing_operators_one_wins_and_the_other_is_told():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    results = []
    for daemon, share in zip(cell.daemons, (3, 4), strict=True):
        edit = daemon.editor.apply(with_share(share), revision, by=daemon.name)
        Deferred.fromCoroutine(edit).addBoth(results.append)
    cell.run(5)
    applied = [r for r in results if isinstance(r, EditApplied)]
    conflicts = [r for r in results if isinstance(r, EditConflict)]
    assert len(applied) == len(conflicts) == 1
    assert conflicts[0].revision == applied[0].revision
    assert [record["paths"] for record in conflicts[0].since] == [
        ["$.teams.dispatch.share"]
    ]
    assert [change.path for change in conflicts[0].difference] == [
        "$.teams.dispatch.share"
    ]


async def raise_share(daemon, times):
    """Add 1 to a share ``times`` times, starting over after each lost race."""
    conflicts = 0
    for number in range(times):
        while True:
            current = daemon.config.current
            document = copy.deepcopy(current.document)
            document["teams"]["dispatch"]["share"] += 1
            edit = f"{daemon.name}-{number}-{current.revision}"
            result = await apply_for_certain(
                daemon.editor, document, current.revision, edit
            )
            if isinstance(result, EditApplied):
                break
            conflicts += 1
            daemon.config.observe(result.revision)
            while daemon.config.revision < result.revision:
                await daemon.clock.sleep(timedelta(milliseconds=10))
    return conflicts


async def apply_for_certain(editor, document, revision, edit):
    """Apply with the same edit id until the store tells what became of it."""
    while True:
        try:
            return await editor.apply(document, revision, edit=edit)
        except EditUncertainError:
            continue


@pytest.mark.parametrize("seed", range(4))
def test_operators_racing_over_a_lossy_store_lose_and_double_no_change(seed):
    cell = Cell("abc")
    cell.applied(2, 0)
    cell.run(2)
    rng = random.Random(seed)
    bad = [fate for fate in CallFate if fate is not CallFate.ANSWERED]
    cell.store.faults.fate = lambda call: (
        rng.choice(bad) if rng.random() < 0.3 else CallFate.ANSWERED
    )
    results = []
    for daemon in cell.daemons:
        Deferred.fromCoroutine(raise_share(daemon, 5)).addBoth(results.append)
    while len(results) < 3:
        cell.run(1)
    assert all(isinstance(conflicts, int) for conflicts in results)
    assert sum(results) > 0
    cell.store.faults.fate = lambda call: CallFate.ANSWERED
    cell.run(5)
    assert [daemon.share() for daemon in cell.daemons] == [17.0] * 3
    for daemon in cell.daemons:
        assert daemon.seen == sorted(set(daemon.seen))


def test_a_repeated_edit_is_applied_once():
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    first = cell.daemons[0].editor.apply(with_share(3), revision, edit="e1")
    second = cell.daemons[1].editor.apply(with_share(3), revision, edit="e1")
    assert cell.result(first) == cell.result(second)


def test_the_fate_of_a_change_that_the_store_never_tells_is_uncertain():
    cell = Cell("a")
    revision = cell.applied(2, 0)
    cell.store.faults.down = True
    with pytest.raises(EditUncertainError):
        cell.result(cell.daemons[0].editor.apply(with_share(3), revision))


def test_an_invalid_document_is_not_written():
    cell = Cell("a")
    result = cell.result(cell.daemons[0].editor.apply(with_share(-1), 0))
    assert isinstance(result, EditRejected)
    assert [fault.path for fault in result.faults] == ["$.teams.dispatch.share"]
    assert cell.store.peek() == {}


def test_a_document_that_is_too_long_is_not_written():
    cell = Cell("a")
    document = copy.deepcopy(MONTEVERDE)
    names = [f"queue{number}" for number in range(20_000)]
    document["queues"] = dict.fromkeys(names, MONTEVERDE["queues"]["nightly"])
    result = cell.result(cell.daemons[0].editor.apply(document, 0))
    assert [fault.path for fault in result.faults] == ["$"]
