"""ResilientLink over connections that fail, on a fake clock."""

from __future__ import annotations

import random
from datetime import UTC, datetime, timedelta

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock as FakeTime

from savorylead.clock import TwistedClock
from savorylead.links import (
    LinkBrokenError,
    LinkClosedError,
    LinkCount,
    LinkOverloadedError,
    LinkReply,
    LinkRequest,
    LinkSettings,
    LinkTimeoutError,
    LinkUnavailableError,
    ResilientLink,
    RetryBudget,
)
from savorylead_standins.links import ConnectionFate, MemoryTransport

_READ = LinkRequest("GET", "/read", idempotent=True)
_WRITE = LinkRequest("POST", "/write")
_SETTINGS = LinkSettings()


class _Rig:
    """One link, its network and its clock."""

    def __init__(self, burst: float = 10, **settings):
        self.time = FakeTime()
        clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.net = MemoryTransport(clock, lambda req: LinkReply(200, req.body))
        self.budget = RetryBudget(0.1, burst)
        self.link = ResilientLink(
            clock,
            random.Random(7),
            self.net,
            self.budget,
            _SETTINGS._replace(**settings),
        )
        self.counts = self.link.counts

    def call(self, request: LinkRequest, timeout_s: float = 5) -> Deferred[LinkReply]:
        timeout = timedelta(seconds=timeout_s)
        return Deferred.fromCoroutine(self.link.call(request, timeout))

    def advance(self, seconds: float, step_s: float = 0.01) -> None:
        for _ in range(round(seconds / step_s)):
            self.time.advance(step_s)

    def error_of(self, call: Deferred[LinkReply]) -> Exception:
        caught = []
        call.addErrback(lambda failure: caught.append(failure.value))
        assert caught, "the call has not failed"
        return caught[0]

    def warm_up(self, connections: int = 1) -> None:
        calls = [self.call(_READ) for _ in range(connections)]
        self.advance(0.05)
        assert [call.result.status for call in calls] == [200] * connections
        self.net.served.clear()


def _served(rig: _Rig, request: LinkRequest) -> int:
    return rig.net.served.count(request)


@pytest.mark.parametrize(
    ("fate", "request_", "served", "error", "refused"),
    [
        # Nothing reached the other end, but this end can't know that.
        ("SILENT", _WRITE, 0, LinkTimeoutError, "REFUSED_NOT_IDEMPOTENT"),
        ("SILENT", _READ, 0, LinkTimeoutError, "REFUSED_ATTEMPTS"),
        # Half-open: what may not be repeated ran exactly once.
        ("REPLIES_LOST", _WRITE, 1, LinkTimeoutError, "REFUSED_NOT_IDEMPOTENT"),
        ("REPLIES_LOST", _READ, 3, LinkTimeoutError, "REFUSED_ATTEMPTS"),
        ("BREAKS", _WRITE, 1, LinkBrokenError, "REFUSED_NOT_IDEMPOTENT"),
        ("BREAKS", _READ, 3, LinkBrokenError, "REFUSED_ATTEMPTS"),
        # Surely not sent, so even a write is tried again.
        ("REFUSED", _WRITE, 0, LinkUnavailableError, "REFUSED_ATTEMPTS"),
        ("UNREACHABLE", _WRITE, 0, LinkUnavailableError, "REFUSED_ATTEMPTS"),
    ],
)
def test_what_a_failing_network_does_to_a_call(fate, request_, served, error, refused):
    rig = _Rig()
    rig.net.fate = ConnectionFate[fate]
    call = rig.call(request_)
    rig.advance(5.1)
    exc = rig.error_of(call)
    assert type(exc) is error
    assert exc.sent is (fate not in ("REFUSED", "UNREACHABLE"))
    assert _served(rig, request_) == served
    assert rig.counts[LinkCount[refused]] == 1
    assert rig.net.open_count() == 0


def test_silent_connections_are_replaced_at_once_while_new_ones_work():
    rig = _Rig()
    rig.warm_up(connections=3)
    rig.net.silence_open()
    call = rig.call(_READ)
    rig.advance(1.05)
    assert call.result.status == 200
    assert rig.counts[LinkCount.RETRIED_SILENT] == 1
    # The other two were not heard either, so nobody has to find that out again.
    assert rig.counts[LinkCount.SUSPECT_CLOSED] == 2
    assert rig.net.open_count() == 1


def test_an_idle_silent_connection_is_found_and_replaced_by_heartbeat():
    rig = _Rig()
    rig.warm_up()
    rig.net.silence_open()
    rig.advance(11.2)
    assert rig.counts[LinkCount.SILENT_CLOSED] == 1
    assert rig.net.open_count() == 1
    write = rig.call(_WRITE)
    rig.advance(0.05)
    assert write.result.status == 200
    assert _served(rig, _WRITE) == 1


@pytest.mark.parametrize(("gap_s", "heartbeats"), [(1, 0), (9, 0), (25, 2)])
def test_heartbeats_are_sent_only_while_idle(gap_s, heartbeats):
    rig = _Rig()
    for _ in range(3):
        rig.warm_up()
        rig.advance(gap_s)
    assert rig.counts[LinkCount.HEARTBEATS] == 3 * heartbeats


def test_heartbeats_keep_one_connection_of_many():
    rig = _Rig()
    rig.warm_up(connections=4)
    rig.advance(10.1)
    assert rig.net.open_count() == 1
    assert rig.counts[LinkCount.SPARE_CLOSED] == 3


def test_a_late_reply_reaches_nobody_else():
    rig = _Rig(max_connections=1)
    rig.net.latency = timedelta(seconds=0.8)
    first = rig.call(LinkRequest("POST", "/", b"first"), timeout_s=1)
    second = rig.call(LinkRequest("POST", "/", b"second"), timeout_s=4)
    rig.advance(4.1)
    assert type(rig.error_of(first)) is LinkTimeoutError
    assert second.result == LinkReply(200, b"second")


def test_an_error_after_an_earlier_attempt_was_sent_says_so():
    rig = _Rig()
    rig.net.fate = ConnectionFate.REPLIES_LOST
    call = rig.call(_READ)
    rig.advance(0.5)
    rig.net.fate = ConnectionFate.REFUSED
    rig.advance(5)
    exc = rig.error_of(call)
    assert type(exc) is LinkUnavailableError
    assert exc.sent


def test_an_outage_causes_no_storm_of_retries():
    rig = _Rig(burst=10, max_connections=64)
    rig.warm_up()
    rig.net.fate = ConnectionFate.REPLIES_LOST
    calls = [rig.call(_READ, timeout_s=30) for _ in range(200)]
    rig.advance(31)
    assert all(type(rig.error_of(call)) is LinkTimeoutError for call in calls)
    # Each call reached the other end once; the budget bounds the repeats of all.
    assert _served(rig, _READ) == 200 + rig.budget.spent
    assert rig.budget.spent == 10
    assert rig.counts[LinkCount.REFUSED_BUDGET] == rig.budget.refused == 200


@pytest.mark.parametrize("callers", [1, 100])
def test_tries_to_connect_do_not_grow_with_the_callers(callers):
    rig = _Rig()
    rig.net.fate = ConnectionFate.REFUSED
    for _ in range(20):
        calls = [rig.call(_READ, timeout_s=0.9) for _ in range(callers)]
        rig.advance(1)
        assert all(rig.error_of(call).sent is False for call in calls)
    # Four connections at most may try each time that a delay is over.
    assert rig.net.connects / 20 < 20
    rig.net.fate = ConnectionFate.ANSWERS
    rig.advance(1)
    rig.warm_up()


def test_calls_beyond_the_queue_are_refused_at_once():
    rig = _Rig(max_connections=2, max_waiting=3)
    calls = [rig.call(_WRITE) for _ in range(6)]
    exc = rig.error_of(calls[5])
    assert type(exc) is LinkOverloadedError
    assert not exc.sent
    assert rig.counts[LinkCount.REFUSED_OVERLOADED] == 1
    rig.advance(0.1)
    assert [call.result.status for call in calls[:5]] == [200] * 5
    assert rig.net.connects == 2


def test_a_caller_that_gives_up_frees_its_connection():
    rig = _Rig(max_connections=1)
    rig.net.fate = ConnectionFate.SILENT
    first, second = rig.call(_WRITE), rig.call(_WRITE)
    third = rig.call(_WRITE)
    rig.advance(0.02)
    rig.net.fate = ConnectionFate.ANSWERS
    second.cancel()
    first.cancel()
    rig.advance(0.05)
    assert type(rig.error_of(first)) is CancelledError
    assert type(rig.error_of(second)) is CancelledError
    assert third.result.status == 200
    assert _served(rig, _WRITE) == 1


@pytest.mark.parametrize(("fate", "sent"), [("SILENT", True), ("UNREACHABLE", False)])
def test_closing_the_link_fails_its_calls_truthfully(fate, sent):
    rig = _Rig(max_connections=1)
    rig.net.fate = ConnectionFate[fate]
    under_way, waiting = rig.call(_READ), rig.call(_READ)
    rig.advance(0.02)
    rig.link.close()
    assert rig.error_of(under_way).sent is sent
    exc = rig.error_of(waiting)
    assert type(exc) is LinkClosedError
    assert not exc.sent
    assert type(rig.error_of(rig.call(_READ))) is LinkClosedError
    assert rig.time.getDelayedCalls() == [] or fate == "SILENT"


def test_a_closed_link_sends_no_more_heartbeats():
    rig = _Rig()
    rig.warm_up()
    rig.advance(9.99)
    rig.net.fate = ConnectionFate.SILENT
    rig.advance(0.1)
    rig.link.close()
    rig.advance(60)
    assert rig.counts[LinkCount.HEARTBEATS] == 1
    assert rig.time.getDelayedCalls() == []


def test_a_connection_closed_by_the_other_end_while_idle_is_not_used():
    rig = _Rig()
    rig.warm_up()
    rig.net.connections[0].close()
    write = rig.call(_WRITE)
    rig.advance(0.05)
    assert write.result.status == 200
    assert rig.net.connects == 2


def test_a_call_without_time_left_is_not_sent():
    rig = _Rig(max_connections=1)
    rig.net.fate = ConnectionFate.SILENT
    rig.call(_WRITE, timeout_s=2).addErrback(lambda _: None)
    late = rig.call(_WRITE, timeout_s=1)
    rig.advance(1.1)
    exc = rig.error_of(late)
    assert (type(exc), exc.sent) == (LinkTimeoutError, False)
