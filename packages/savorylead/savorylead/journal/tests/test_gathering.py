"""Batching of events into entries, and splitting of large appends."""

from datetime import timedelta

import pytest

from savorylead.journal import (
    AppendTooLargeError,
    DeposedError,
    Ended,
    JournalSettings,
)
from savorylead.outcomes import Cancelled
from savorylead_standins.nodes import (
    SMALL_JOURNAL as SETTINGS,
    JournalCell as Cell,
    accepted_event as accepted,
)


def test_events_gather_while_a_write_is_in_flight():
    cell = Cell(SETTINGS._replace(entry_bytes=100_000))
    journal, _ = cell.opened("a")
    appends = [journal.append([accepted(f"r{number}")]) for number in range(50)]
    for append in appends:
        cell.run(append)
    assert journal.entries_written == 2


def test_appends_longer_than_an_entry_are_divided_and_stay_whole():
    cell = Cell()
    journal, _ = cell.opened("a")
    events = [accepted(f"r{number}", "x" * 500) for number in range(5)]
    cell.run(journal.append(events))
    assert journal.entries_written > 1
    assert cell.names() == [event.spec.id.request for event in events]


def test_divided_append_without_its_last_part_is_dropped():
    cell = Cell()
    journal, _ = cell.opened("a")
    cell.run(journal.append([accepted("before")]))
    events = [accepted(f"r{number}", "x" * 500) for number in range(5)]
    append = journal.append(events)
    results = []
    append.addErrback(results.append)
    cell.provider.advance(0.0001)
    cell.store.faults.cut.add("a")
    cell.provider.pump([0.01] * 10)
    assert journal.entries_written == 2
    successor, state = cell.opened("b")
    assert [task_id.request for task_id in state.records] == ["before"]
    cell.run(successor.append([accepted("after")]))
    assert cell.names() == ["before", "after"]
    cell.store.faults.cut.clear()
    cell.provider.pump([0.1] * 50)
    assert results[0].check(DeposedError)
    assert results[0].value.settled


@pytest.mark.parametrize("events", [[accepted("r", "x" * 3000)]])
def test_too_large_events_are_refused_at_once(events):
    cell = Cell()
    journal, _ = cell.opened("a")
    with pytest.raises(AppendTooLargeError):
        cell.run(journal.append(events))
    cell.run(journal.append([accepted("small")]))
    assert cell.names() == ["small"]


def test_gathering_writes_less_often_but_urgent_work_at_once():
    settings = SETTINGS._replace(
        min_write_interval=timedelta(milliseconds=100), entry_bytes=90_000
    )
    cell = Cell(settings)
    journal, _ = cell.opened("a")
    cell.run(journal.append([accepted("first")]))
    late = journal.append([accepted("second")])
    cell.provider.advance(0.02)
    assert not late.called
    urgent = journal.append([accepted("third", urgent=True)])
    cell.provider.advance(0.005)
    cell.provider.advance(0.005)
    assert urgent.called
    assert late.called


@pytest.mark.parametrize(
    "settings", [{"entry_bytes": 500_000}, {"entry_bytes": 0}, {"ring_slots": 7}]
)
def test_settings_that_could_not_work_are_refused(settings):
    with pytest.raises(ValueError, match="entry_bytes|ring_slots"):
        Cell(JournalSettings(**settings)).journal("a")


@pytest.mark.parametrize("urgent", [False, True])
def test_an_end_is_delayed_for_batching_unless_its_task_is_urgent(urgent):
    cell = Cell(SETTINGS._replace(max_end_delay=timedelta(milliseconds=300)))
    journal, _ = cell.opened("a")
    event = accepted("first", urgent=urgent)
    cell.run(journal.append([event]))
    cell.provider.advance(1)
    end = journal.append([Ended(event.spec.id, Cancelled(started=True), 30)])
    cell.provider.pump([0.005] * 4)
    assert end.called is urgent
    cell.provider.pump([0.005] * 60)
    assert end.called


def test_an_end_goes_along_with_the_next_start():
    cell = Cell(SETTINGS._replace(max_end_delay=timedelta(seconds=10)))
    journal, _ = cell.opened("a")
    event = accepted("first")
    cell.run(journal.append([event]))
    cell.provider.advance(1)
    end = journal.append([Ended(event.spec.id, Cancelled(started=True), 30)])
    cell.provider.advance(1)
    assert not end.called
    written = journal.entries_written
    cell.run(journal.append([accepted("second")]))
    assert end.called
    assert journal.entries_written == written + 1


def test_enough_ends_are_written_without_waiting():
    settings = SETTINGS._replace(
        max_end_delay=timedelta(seconds=10), flush_event_count=5
    )
    cell = Cell(settings)
    journal, _ = cell.opened("a")
    events = [accepted(f"r{number}") for number in range(5)]
    cell.run(journal.append(events))
    cell.provider.advance(1)
    ends = [
        journal.append([Ended(event.spec.id, Cancelled(started=True), 30)])
        for event in events
    ]
    cell.run(ends[-1], seconds=0.1)
