"""Snapshots of a ring journal, and the log slots that they free."""

import pytest

from savorylead.journal import (
    Ended,
    Forgotten,
    JournalSettings,
    Phase,
    _codec,
    read_heads,
    replay_shard,
)
from savorylead.outcomes import Cancelled, Done, Failed, NotRun, Refusal, Unknown
from savorylead.workers import MAX_RESULT_CHARS
from savorylead_standins.nodes import (
    SMALL_JOURNAL as SETTINGS,
    JournalCell as Cell,
    accepted_event as accepted,
)
from savorylead_standins.store import CallFate


def test_many_entries_wrap_the_ring_and_keep_the_order():
    cell = Cell()
    journal, _ = cell.opened("a")
    names = [f"r{number}" for number in range(200)]
    for name in names:
        cell.run(journal.append([accepted(name)]))
    assert cell.names() == names
    slots = cell.store.peek("journal/log/s1/")
    assert len(slots) == SETTINGS.ring_slots


def test_superseded_chunks_are_deleted():
    cell = Cell()
    journal, _ = cell.opened("a")
    for number in range(100):
        cell.run(journal.append([accepted(f"r{number}")]))
    cell.provider.pump([0.01] * 200)
    keys = cell.store.peek("journal/snapshots/s1/")
    pointer = cell.run(read_heads(cell.store.client("reader")))["s1"].snapshot
    assert len(keys) == pointer.chunks > 1
    assert {key.split("/")[3] for key in keys} == {pointer.snapshot}


@pytest.mark.parametrize(
    "outcome",
    [
        Done("text", "digest", 2),
        Failed("why", 1),
        Cancelled(started=True),
        NotRun(Refusal.DEADLINE_PASSED, "late"),
        Unknown("worker lost"),
    ],
)
def test_outcomes_survive_log_and_snapshot(outcome):
    cell = Cell()
    journal, _ = cell.opened("a")
    event = accepted("r1")
    cell.run(journal.append([event, Ended(event.spec.id, outcome, 30)]))
    for number in range(20):
        cell.run(journal.append([accepted(f"more{number}")]))
    head = cell.run(read_heads(cell.store.client("reader")))["s1"]
    assert head.snapshot is not None
    found = cell.run(replay_shard(cell.store.client("reader"), "s1"))
    record = found.state.records[event.spec.id]
    assert (record.phase, record.outcome) == (Phase.ENDED, outcome)
    assert record.spec == event.spec


def test_forgotten_records_shrink_the_snapshot():
    cell = Cell()
    journal, _ = cell.opened("a")
    for number in range(60):
        event = accepted(f"r{number}", "x" * 300)
        cell.run(journal.append([event]))
        cell.run(journal.append([Forgotten((event.spec.id,))]))
    cell.provider.pump([0.5] * 10)
    assert len(cell.store.peek("journal/snapshots/s1/")) == 1
    assert cell.names() == []


def test_a_snapshot_is_not_written_twice_for_the_same_entry():
    """Parts of an incomplete append must not trigger another snapshot before it."""
    cell = Cell(SETTINGS._replace(ring_slots=128, snapshot_log_bytes=300))
    journal, _ = cell.opened("a")
    journal.append([accepted("first", "x" * 600)])
    events = [accepted(f"r{number}", "x" * 1500) for number in range(16)]
    append = journal.append(events)
    while not append.called:
        cell.provider.advance(0.001)
        head = _codec.decode_head("", cell.store.peek()["journal/heads/s1"])
        if head.snapshot is not None:
            prefix = f"journal/snapshots/s1/{head.snapshot.snapshot}/"
            assert len(cell.store.peek(prefix)) == head.snapshot.chunks
    assert head.snapshot is not None
    assert cell.names() == ["first", *(event.spec.id.request for event in events)]


def test_the_longest_payload_and_answer_fit_into_the_journal():
    """Each character of both is encoded as a six-byte escape sequence."""
    cell = Cell(JournalSettings(ring_slots=8))
    journal, _ = cell.opened("a")
    event = accepted("long", "\x01" * MAX_RESULT_CHARS)
    cell.run(journal.append([event]))
    done = Done("\x01" * MAX_RESULT_CHARS, "d" * 64, 1)
    cell.run(journal.append([Ended(event.spec.id, done, 30)]))
    for number in range(6):
        cell.run(journal.append([accepted(f"r{number}")]))
    cell.provider.pump([0.01] * 100)
    head = cell.run(read_heads(cell.store.client("reader")))["s1"]
    assert head.snapshot.size_bytes > 6 * 2 * MAX_RESULT_CHARS
    found = cell.run(replay_shard(cell.store.client("reader"), "s1"))
    assert found.state.records[event.spec.id].outcome == done


def test_a_full_ring_stalls_until_a_snapshot_makes_room():
    cell = Cell()
    journal, _ = cell.opened("a")
    cell.store.faults.fate = lambda call: (
        CallFate.REFUSED if "/snapshots/" in call.target else CallFate.ANSWERED
    )
    appends = []
    for number in range(SETTINGS.ring_slots + 5):
        appends.append(journal.append([accepted(f"r{number}")]))
        cell.provider.pump([0.01] * 5)
    assert journal.stalled
    assert not appends[-1].called
    cell.store.faults.fate = lambda call: CallFate.ANSWERED
    cell.run(appends[-1])
    assert not journal.stalled
    assert cell.names() == [f"r{number}" for number in range(len(appends))]
