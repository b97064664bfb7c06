"""A lead that answered meanwhile does not count as unreachable."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import UTC, datetime, timedelta
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.pools import Committed, LeaseGrant, Put, StoreRefusedError
from savorylead_daemon.observability import EventLog
from savorylead_daemon.pool._cell_view import LeadRecord, MemberRecord
from savorylead_daemon.pool._keys import ended_lease_key
from savorylead_daemon.pool._lead_watch import LeadWatch
from savorylead_daemon.pool._peer_messages import (
    LeadReply,
    PendingQuery,
    ReachabilityQuery,
)
from savorylead_daemon.pool._tracked_peer_calls import TrackedPeerCalls
from savorylead_standins.time import SteppedTime

POOL = "pool"
LEAD = MemberRecord("lead", "1", "10.0.0.1:1", "lease")
OTHERS = [MemberRecord(f"d{n}", "1", f"10.0.0.{n + 2}:1") for n in range(3)]
#: Time that every peer takes to answer, in seconds.
ANSWER_S = 0.1


class View:
    """A view of four daemons, one of them the lead."""

    def all_mark_ended_leases(self) -> bool:
        return True

    def lead(self, pool: str) -> LeadRecord:
        return LeadRecord(LEAD, 1)

    def others(self, *names: str) -> list[MemberRecord]:
        return [each for each in OTHERS if each.name not in names]


class Store:
    """Records which leases were ended, and the keys of marks written before."""

    def __init__(self) -> None:
        self.ended: list[str] = []
        self.marks: list[str] = []
        self.refuses_marks = False
        self.on_mark: Callable[[], None] = lambda: None

    async def grant_lease(self, ttl: timedelta) -> LeaseGrant:
        return LeaseGrant("mark", ttl)

    async def commit(
        self, expected: Mapping[str, int], puts: Sequence[Put]
    ) -> Committed:
        if self.refuses_marks:
            raise StoreRefusedError("refused")
        self.marks += [put.key for put in puts]
        self.on_mark()
        return Committed(1)

    async def end_lease(self, lease_id: str) -> None:
        self.ended.append(lease_id)


class Peers:
    """Peers that can't connect to the lead, which answers over an open connection."""

    def __init__(self, clock: TwistedClock) -> None:
        self._clock = clock

    async def send_message(self, address: str, message: object) -> LeadReply:
        return LeadReply(leads=True)

    async def send_request(self, address: str, request: object) -> bool:
        await self._clock.sleep(timedelta(seconds=ANSWER_S))
        return False


class Scenario:
    """A daemon that monitors the lead, in simulated time."""

    def __init__(self) -> None:
        self.time = SteppedTime()
        clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.peers = TrackedPeerCalls(Peers(clock), clock)  # type: ignore[arg-type]
        self.store = Store()
        stubs: Any = (self.store, clock, EventLog(clock, 1), View())
        self.watch = LeadWatch("d0", *stubs, self.peers, lambda: True)

    def answer_from_lead(self) -> None:
        """Have the lead answer a message."""
        message = PendingQuery(POOL, "")
        Deferred.fromCoroutine(self.peers.send_message(LEAD.address, message))


@pytest.mark.parametrize("has_answered", [False, True])
def test_the_lease_of_a_lead_heard_during_the_vote_is_kept(has_answered: bool) -> None:
    scenario = Scenario()
    scenario.watch.note_connect_failure(POOL, LEAD.address)
    scenario.time.advance(ANSWER_S / 2)
    if has_answered:
        scenario.answer_from_lead()
    scenario.time.advance(ANSWER_S)
    assert scenario.store.ended == ([] if has_answered else [LEAD.lease_id])
    assert scenario.watch.ended_leases == len(scenario.store.ended)


@pytest.mark.parametrize("is_marked", [False, True])
def test_no_lease_is_ended_for_its_holder_without_a_mark(is_marked: bool) -> None:
    # The next lead would not allow for acts of the former one after the end.
    scenario = Scenario()
    scenario.store.refuses_marks = not is_marked
    scenario.watch.note_connect_failure(POOL, LEAD.address)
    scenario.time.advance(2 * ANSWER_S)
    leases = [LEAD.lease_id] if is_marked else []
    assert scenario.store.marks == [ended_lease_key(each) for each in leases]
    assert scenario.store.ended == leases


def test_the_lease_of_a_lead_heard_while_it_is_marked_is_kept() -> None:
    scenario = Scenario()
    scenario.store.on_mark = scenario.answer_from_lead
    scenario.watch.note_connect_failure(POOL, LEAD.address)
    scenario.time.advance(2 * ANSWER_S)
    assert scenario.store.marks == [ended_lease_key(LEAD.lease_id)]
    assert scenario.store.ended == []


@pytest.mark.parametrize("has_answered", [False, True])
def test_a_failure_before_the_lead_was_heard_does_not_count(has_answered: bool) -> None:
    scenario = Scenario()
    scenario.watch.note_connect_failure(POOL, LEAD.address)
    scenario.time.advance(ANSWER_S / 2)
    if has_answered:
        scenario.answer_from_lead()
    answers: list[bool] = []
    call = scenario.watch.reaches(ReachabilityQuery(POOL, LEAD.address))
    Deferred.fromCoroutine(call).addCallback(answers.append)
    assert answers == [has_answered]
