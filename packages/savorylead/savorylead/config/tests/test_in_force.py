"""The configuration in force under store failures."""

from datetime import timedelta

import pytest
from twisted.logger import globalLogPublisher

from savorylead_standins.nodes import ConfigCell as Cell
from savorylead_standins.store import CallFate


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
    received = []
    logged = []

    def failing_listener(current):
        raise ValueError(current.revision)

    def record_failure(event):
        # Failures left to the garbage collector by other tests may be logged here too.
        failure = event.get("log_failure")
        if failure is not None and isinstance(failure.value, ExceptionGroup):
            logged.append(failure.value)

    config = cell.daemons[0].config
    config.add_listener(failing_listener)
    config.add_listener(lambda current: received.append(current.revision))
    globalLogPublisher.addObserver(record_failure)
    try:
        first = cell.applied(2, 0)
        cell.run(1)
        second = cell.applied(3, first)
        cell.run(1)
    finally:
        globalLogPublisher.removeObserver(record_failure)
    assert received == [first, second]
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


def test_frequent_hints_do_not_restart_a_slow_document_read():
    """Each hint rereads the head, which must not restart the read of the document."""
    cell = Cell("ab")
    revision = cell.applied(2, 0)
    cell.run(2)
    slow = cell.daemons[1]
    slow.config.stop()
    revision = cell.applied(3, revision)
    faults = cell.store.faults

    def fate(call):
        is_document = call.target.startswith("config-documents/")
        faults.latency = timedelta(milliseconds=600 if is_document else 3)
        return CallFate.ANSWERED

    faults.fate = fate
    slow.config.start()
    for _ in range(60):
        slow.config.observe(revision + 1)
        cell.run(0.05)
    assert slow.share() == 3.0
