"""Which lead is told of a stored job."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from savorylead.clock import TwistedClock
from savorylead.jobs import JobRecord, JobSpec
from savorylead.store import KeyValue, StoreError
from savorylead_daemon.pool._cell_view import (
    LeadEntry,
    LeadRecord,
    MemberRecord,
    encode_record,
)
from savorylead_daemon.pool._job_announcer import JobAnnouncer, LeadProof
from savorylead_daemon.pool._peer_messages import LeadReply
from savorylead_daemon.settings import LogLevel

FORMER = LeadRecord(MemberRecord("former", "i", "former:1"), 1)
LATTER = LeadRecord(MemberRecord("latter", "i", "latter:1"), 2)
#: Revisions of the keys of the two leads, and of a job stored after both.
FORMER_AT, LATTER_AT, STORED_AT = 10, 20, 30
JOB = JobRecord("job", "pool", "queue", "team", 0, JobSpec("payload", ()))
NO_LEAD = LeadProof(0, None)


class Log:
    """Records logged events."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []

    def log_event(self, level: LogLevel, event: str, **details: Any) -> None:
        self.events.append({"event": event, **details})


class View:
    """A view of a cell at a revision."""

    def __init__(self, revision: int, entry: LeadEntry | None) -> None:
        self.revision = revision
        self.leads = {} if entry is None else {"pool": entry}

    def lead(self, pool: str) -> LeadRecord | None:
        entry = self.leads.get(pool)
        return None if entry is None else entry.record


class Finder:
    """Records the leads that got a message; all of them answer."""

    def __init__(self) -> None:
        self.told: list[str] = []

    async def send_to(self, pool: str, record: LeadRecord, message: Any) -> LeadReply:
        self.told.append(record.member.name)
        return LeadReply(leads=True)


class Store:
    """A store that holds the lead's key, or is unavailable."""

    def __init__(self, item: KeyValue | None, fails: bool = False) -> None:
        self._item = item
        self._fails = fails

    async def get(self, key: str) -> KeyValue | None:
        if self._fails:
            raise StoreError("no answer")
        return self._item


def told(view: View, proof: LeadProof | None, store: Store, log: Log) -> list[str]:
    """Return which leads are told of the job within ten seconds."""
    time, finder = Clock(), Finder()
    clock = TwistedClock(time, datetime(2026, 1, 1, tzinfo=UTC))
    announcer = JobAnnouncer(store, clock, log, view, finder)
    Deferred.fromCoroutine(announcer.announce(JOB, STORED_AT, proof))
    time.pump([0.1] * 100)
    return finder.told


SHOWS_FORMER = View(FORMER_AT + 1, LeadEntry(FORMER, FORMER_AT))
SHOWS_LATTER = View(LATTER_AT, LeadEntry(LATTER, LATTER_AT))
SHOWS_NEXT = View(STORED_AT + 1, LeadEntry(LATTER, STORED_AT + 1))
SHOWS_NONE_BEFORE = View(FORMER_AT - 1, None)
SHOWS_NONE_SINCE = View(STORED_AT + 1, None)
HAD_FORMER = LeadProof(FORMER_AT, FORMER)
HAD_LATTER = LeadProof(LATTER_AT, LATTER)


@pytest.mark.parametrize(
    ("view", "proof", "names", "logs"),
    [
        pytest.param(SHOWS_LATTER, HAD_LATTER, ["latter"], False, id="is current"),
        pytest.param(SHOWS_FORMER, HAD_LATTER, ["latter"], True, id="shows former"),
        pytest.param(SHOWS_FORMER, NO_LEAD, [], True, id="shows one that had ended"),
        pytest.param(SHOWS_NEXT, HAD_FORMER, ["latter"], False, id="shows the next"),
        pytest.param(SHOWS_NEXT, NO_LEAD, ["latter"], False, id="shows the first"),
        pytest.param(
            SHOWS_NONE_BEFORE, HAD_FORMER, ["former"], True, id="has not seen the lead"
        ),
        pytest.param(SHOWS_NONE_SINCE, HAD_FORMER, [], False, id="saw the lead end"),
        pytest.param(
            SHOWS_FORMER, LeadProof(LATTER_AT, None), [], True, id="is unreadable"
        ),
    ],
)
def test_only_a_lead_whose_term_was_not_over_is_told(
    view: View, proof: LeadProof, names: list[str], logs: bool
) -> None:
    # Regression: whoever the view showed was told, also a lead that had been voted out.
    log = Log()
    assert told(view, proof, Store(None, fails=True), log) == names
    assert [e["event"] for e in log.events] == ["lead_view_outdated"] * logs


@pytest.mark.parametrize(
    ("store", "names", "events"),
    [
        pytest.param(
            Store(KeyValue("key", encode_record(LATTER), LATTER_AT)),
            ["latter"],
            ["lead_view_outdated"],
            id="has a later lead",
        ),
        pytest.param(Store(None), [], ["lead_view_outdated"], id="has no lead"),
        pytest.param(Store(None, fails=True), [], ["lead_unread"], id="fails"),
    ],
)
def test_the_lead_is_read_if_nothing_is_proved(
    store: Store, names: list[str], events: list[str]
) -> None:
    # Guards against a repeated request that tells a lead that had been voted out.
    log = Log()
    assert told(SHOWS_FORMER, None, store, log) == names
    assert [e["event"] for e in log.events] == events
