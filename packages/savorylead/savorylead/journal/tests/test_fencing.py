"""Claims, fencing and resignations of several leads on one ring journal."""

import random

import pytest
from twisted.internet.defer import Deferred

from savorylead.journal import (
    AlreadyOpenError,
    DeposedError,
    JournalError,
    RingJournal,
    _codec,
    read_heads,
)
from savorylead.journal._head_writer import HeadWriter
from savorylead_standins.nodes import (
    SMALL_JOURNAL as SETTINGS,
    JournalCell as Cell,
    PausableClock,
    PausableStore,
    Pause,
    accepted_event as accepted,
)
from savorylead_standins.store import CallFate


def test_older_lead_is_deposed_by_its_next_append():
    cell = Cell()
    older, _ = cell.opened("a")
    newer, _ = cell.opened("b")
    with pytest.raises(DeposedError) as caught:
        cell.run(older.append([accepted("late")]))
    assert caught.value.settled
    cell.run(newer.append([accepted("r1")]))
    assert cell.names() == ["r1"]
    assert len(cell.over) == 1


def test_older_lead_is_deposed_after_the_ring_went_round():
    cell = Cell()
    older, _ = cell.opened("a")
    newer, _ = cell.opened("b")
    for number in range(3 * SETTINGS.ring_slots):
        cell.run(newer.append([accepted(f"r{number}")]))
    with pytest.raises(DeposedError):
        cell.run(older.append([accepted("late")]))
    assert "late" not in cell.names()


def test_reply_lost_before_a_whole_lap_is_not_settled():
    cell = Cell()
    older, _ = cell.opened("a")
    lost = [CallFate.REPLY_LOST]
    cell.store.faults.fate = lambda call: (
        lost.pop()
        if lost and call.client == "a" and call.method == "swap"
        else CallFate.ANSWERED
    )
    append = older.append([accepted("mine")])
    cell.provider.advance(0.5)
    cell.store.faults.cut.add("a")
    newer, state = cell.opened("b")
    assert [task_id.request for task_id in state.records] == ["mine"]
    for number in range(2 * SETTINGS.ring_slots):
        cell.run(newer.append([accepted(f"r{number}")]))
    cell.store.faults.cut.clear()
    with pytest.raises(DeposedError) as caught:
        cell.run(append)
    assert not caught.value.settled


def test_resign_hands_over_after_everything_pending():
    cell = Cell()
    journal, _ = cell.opened("a")
    append = journal.append([accepted("r1")])
    cell.run(journal.resign())
    assert append.called
    heads = cell.run(read_heads(cell.store.client("reader")))
    assert (heads["s1"].lead, heads["s1"].epoch) == ("", 1)
    with pytest.raises(DeposedError):
        cell.run(journal.append([accepted("r2")]))
    _, state = cell.opened("b")
    assert state.epoch == 2


def test_close_fails_what_is_pending_and_says_what_is_not_settled():
    cell = Cell()
    journal, _ = cell.opened("a")
    results = []
    for name in ("in flight", "gathering"):
        journal.append([accepted(name)]).addErrback(results.append)
    cell.provider.advance(0.0001)
    journal.close()
    assert [failure.value.settled for failure in results] == [False, True]


def test_closing_from_an_answer_ends_the_journal():
    cell = Cell()
    journal, _ = cell.opened("a")
    append = journal.append([accepted("r1")])
    append.addCallback(lambda _: journal.close())
    cell.run(append)
    with pytest.raises(DeposedError):
        cell.run(journal.append([accepted("r2")]))


def test_observed_later_epoch_deposes_an_idle_lead():
    cell = Cell()
    journal, _ = cell.opened("a")
    journal.observe_epoch(1)
    assert cell.over == []
    journal.observe_epoch(2)
    assert isinstance(cell.over[0], DeposedError)


def test_journal_is_opened_once():
    cell = Cell()
    journal, _ = cell.opened("a")
    with pytest.raises(AlreadyOpenError):
        cell.run(journal.open("a"))


def paused_in_a_snapshot(cell):
    """Return a lead that is paused before it moves the pointer to a new snapshot."""
    pause = Pause()
    older = RingJournal(
        PausableStore(cell.store.client("a"), pause),
        "s1",
        PausableClock(cell.clock, pause),
        random.Random("a"),
        cell.settings,
        cell.over.append,
    )
    cell.run(older.open("a"))
    number = 0
    while not cell.store.peek("journal/snapshots/s1/"):
        number += 1
        cell.run(older.append([accepted(f"a{number}")]))
    pause.begin()
    return older, pause


def test_a_later_claim_defeats_a_pending_snapshot_pointer():
    cell = Cell(SETTINGS._replace(chunk_bytes=200))
    _, pause = paused_in_a_snapshot(cell)
    newer, _ = cell.opened("b")
    for number in range(40):
        cell.run(newer.append([accepted(f"b{number}")]))
    names = cell.names()
    pause.end()
    cell.provider.pump([0.01] * 500)
    assert cell.names() == names
    assert len(names) > 40
    assert isinstance(cell.over[0], DeposedError)


async def _change_head_without_claim_check(self, change):
    """Change the head without checking the claim."""
    current = await self._store.get(self._layout.head_key)
    head = change(_codec.decode_head(current.key, current.value))
    result = await self._store.swap(
        current.key, _codec.encode_head(head), current.revision
    )
    self.head = head
    self._revision = result.revision


def test_a_pointer_that_ignores_the_claim_loses_events(monkeypatch):
    cell = Cell(SETTINGS._replace(chunk_bytes=200))
    _, pause = paused_in_a_snapshot(cell)
    newer, _ = cell.opened("b")
    for number in range(40):
        cell.run(newer.append([accepted(f"b{number}")]))
    monkeypatch.setattr(HeadWriter, "_change", _change_head_without_claim_check)
    pause.end()
    cell.provider.pump([0.01] * 500)
    with pytest.raises(JournalError):
        cell.names()


def test_nothing_is_appended_after_a_resignation_began():
    cell = Cell()
    journal, _ = cell.opened("a")
    resigning = Deferred.fromCoroutine(journal.resign())
    late = journal.append([accepted("late")])
    cell.run(resigning)
    with pytest.raises(DeposedError):
        cell.run(late)
    assert cell.names() == []


def test_a_takeover_that_was_overtaken_while_it_read_gives_up():
    cell = Cell()
    cell.opened("a")
    pause = Pause()
    slow = RingJournal(
        PausableStore(cell.store.client("b"), pause),
        "s1",
        PausableClock(cell.clock, pause),
        random.Random("b"),
        cell.settings,
    )
    results = []
    Deferred.fromCoroutine(slow.open("b")).addBoth(results.append)
    while b'"b"' not in cell.store.peek("journal/heads/")["journal/heads/s1"]:
        cell.provider.advance(0.001)
    pause.begin()
    cell.provider.pump([0.01] * 10)
    newer, _ = cell.opened("c")
    pause.end()
    cell.provider.pump([0.01] * 100)
    assert results[0].check(DeposedError)
    cell.run(newer.append([accepted("r1")]))
    assert cell.names() == ["r1"]


def test_chunks_that_a_dead_lead_left_are_deleted():
    cell = Cell(SETTINGS._replace(chunk_bytes=200))
    paused_in_a_snapshot(cell)
    left = set(cell.store.peek("journal/snapshots/s1/"))
    newer, _ = cell.opened("b")
    for number in range(40):
        cell.run(newer.append([accepted(f"b{number}")]))
    cell.provider.pump([0.01] * 500)
    assert left
    assert not left & set(cell.store.peek("journal/snapshots/s1/"))
