"""Log events of the search for a lead."""

from __future__ import annotations

import random
from datetime import UTC, datetime
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from savorylead.clock import TwistedClock
from savorylead_daemon.pool._cell_view import MemberRecord
from savorylead_daemon.pool._lead_finder import LeadFinder
from savorylead_daemon.pool._peer_messages import LeadReply, PendingQuery
from savorylead_daemon.pool._peers import PeerError
from savorylead_daemon.settings import LogLevel


class Log:
    """Records logged events."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []

    def log_event(self, level: LogLevel, event: str, **details: Any) -> None:
        self.events.append({"event": event, **details})


class View:
    """A view of a cell in which the lead of term 1, if any, is ``former``."""

    def __init__(self, former: MemberRecord | None) -> None:
        self._former = former

    def lead(self, pool: str) -> Any:
        if self._former is None:
            return None
        return type("Seen", (), {"member": self._former, "term": 1})

    def others(self, *but: str) -> list[MemberRecord]:
        return [MemberRecord("peer", "i", "peer:1")]


class Peers:
    """Answers at the given addresses; calls to other ones fail."""

    def __init__(self, answers: dict[str, LeadReply]) -> None:
        self._answers = answers

    async def send_message(self, address: str, message: object) -> LeadReply:
        if address not in self._answers:
            raise PeerError("no reply in time")
        return self._answers[address]


FORMER = MemberRecord("former", "i", "former:1")
NO_LEAD = LeadReply(leads=False)
NAMES_NEXT = LeadReply(
    leads=False, lead_name="next", lead_address="next:1", lead_term=3
)
DETAIL = {"pool": "pool", "detail": "no reply in time"}
FORMER_SILENT = {"event": "lead_not_reached", "lead": "former", "term": 1, **DETAIL}
PEER_SILENT = {"event": "peer_not_reached", "peer": "peer", **DETAIL}
NEXT_SILENT = {"event": "lead_not_reached", "lead": "next", "term": 3, **DETAIL}
NAMED = {"event": "lead_named_by_peer", "pool": "pool", "peer": "peer"}


@pytest.mark.parametrize(
    ("former", "answers", "events"),
    [
        pytest.param(None, {}, [PEER_SILENT], id="no lead is known"),
        pytest.param(FORMER, {}, [FORMER_SILENT, PEER_SILENT], id="all are silent"),
        pytest.param(
            FORMER,
            {"peer:1": NAMES_NEXT},
            [FORMER_SILENT, NEXT_SILENT],
            id="the lead that a peer names is silent",
        ),
        pytest.param(
            FORMER,
            {
                "former:1": NO_LEAD,
                "peer:1": NAMES_NEXT,
                "next:1": LeadReply(leads=True),
            },
            [{**NAMED, "lead": "next", "term": 3}],
            id="a peer names the lead",
        ),
        pytest.param(
            FORMER,
            {"former:1": NO_LEAD, "peer:1": LeadReply(leads=True)},
            [{**NAMED, "lead": "peer", "term": None}],
            id="a peer leads",
        ),
    ],
)
def test_a_term_is_logged_only_of_a_daemon_that_is_known_to_lead_it(
    former: MemberRecord | None,
    answers: dict[str, LeadReply],
    events: list[dict[str, Any]],
) -> None:
    # A peer that was queried for the lead was logged as the lead of the next term.
    log = Log()
    finder = LeadFinder(
        "here",
        TwistedClock(Clock(), datetime(2026, 1, 1, tzinfo=UTC)),
        random.Random(1),
        log,
        View(former),
        Peers(answers),
        lambda _: Deferred(),
        lambda: False,
        lambda *_: None,
    )
    Deferred.fromCoroutine(finder.send("pool", PendingQuery("pool", "")))
    assert log.events == events
