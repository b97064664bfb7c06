"""Handling of failed, idle and exhausted connections by a link."""

from __future__ import annotations

import pytest
from twisted.internet.defer import CancelledError

from savorylead.links import (
    LinkClosedError,
    LinkCount,
    LinkOverloadedError,
    LinkTimeoutError,
)
from savorylead_standins.links import READ, WRITE, ConnectionFate, LinkRig


def test_silent_connections_are_replaced_at_once_while_new_ones_work():
    rig = LinkRig()
    rig.warm_up(connections=3)
    rig.net.silence_open()
    call = rig.call(READ)
    rig.advance(1.05)
    assert call.result.status == 200
    assert rig.counts[LinkCount.RETRIED_SILENT] == 1
    # The other two had no reply since either, so they are closed without a timeout.
    assert rig.counts[LinkCount.SUSPECT_CLOSED] == 2
    assert rig.net.open_count() == 1


def test_an_idle_silent_connection_is_found_and_replaced_by_heartbeat():
    rig = LinkRig()
    rig.warm_up()
    rig.net.silence_open()
    rig.advance(11.2)
    assert rig.counts[LinkCount.SILENT_CLOSED] == 1
    assert rig.net.open_count() == 1
    write = rig.call(WRITE)
    rig.advance(0.05)
    assert write.result.status == 200
    assert rig.served(WRITE) == 1


@pytest.mark.parametrize(("gap_s", "heartbeats"), [(1, 0), (9, 0), (25, 2)])
def test_heartbeats_are_sent_only_while_idle(gap_s, heartbeats):
    rig = LinkRig()
    for _ in range(3):
        rig.warm_up()
        rig.advance(gap_s)
    assert rig.counts[LinkCount.HEARTBEATS] == 3 * heartbeats
    assert len(rig.time.getDelayedCalls()) == 1


def test_heartbeats_keep_one_connection_of_many():
    rig = LinkRig()
    rig.warm_up(connections=4)
    rig.advance(10.1)
    assert rig.net.open_count() == 1
    assert rig.counts[LinkCount.SPARE_CLOSED] == 3


def test_closing_the_link_closes_idle_connections():
    rig = LinkRig()
    rig.warm_up(connections=3)
    rig.link.close()
    assert rig.net.open_count() == 0
    assert rig.time.getDelayedCalls() == []


def test_connections_heard_since_are_not_suspect():
    rig = LinkRig()
    rig.warm_up(connections=2)
    rig.net.connections[1].silenced = True
    silent = rig.call(WRITE, timeout_s=1)
    rig.advance(0.5)
    rig.call(READ)
    rig.advance(0.6)
    assert type(rig.error_of(silent)) is LinkTimeoutError
    assert rig.counts[LinkCount.SUSPECT_CLOSED] == 0
    assert [conn.is_closed() for conn in rig.net.connections] == [False, True]


def test_only_the_first_replacement_is_tried_at_once():
    rig = LinkRig()
    rig.net.fate = ConnectionFate.BREAKS
    rig.call(READ).addErrback(lambda _: None)
    rig.advance(0.049)
    assert rig.net.connects == 2
    rig.advance(0.2)
    assert rig.net.connects == 3


def test_a_connection_that_opens_ends_the_delays():
    rig = LinkRig()
    rig.net.fate = ConnectionFate.REFUSED
    for _ in range(20):
        rig.call(READ).addErrback(lambda _: None)
        rig.advance(5)
    rig.net.fate = ConnectionFate.ANSWERS
    rig.warm_up()
    rig.net.connections[0].close()
    rig.net.fate = ConnectionFate.REFUSED
    tries = rig.net.connects
    for _ in range(5):
        rig.call(READ, timeout_s=0.1).addErrback(lambda _: None)
        rig.advance(0.15)
    assert rig.net.connects - tries > 1


@pytest.mark.parametrize("callers", [1, 100])
def test_tries_to_connect_do_not_grow_with_the_callers(callers):
    rig = LinkRig()
    rig.net.fate = ConnectionFate.REFUSED
    for _ in range(20):
        calls = [rig.call(READ, timeout_s=0.9) for _ in range(callers)]
        rig.advance(1)
        assert all(rig.error_of(call).sent is False for call in calls)
    # At most four connection attempts are made after each backoff delay.
    assert rig.net.connects / 20 < 20
    rig.net.fate = ConnectionFate.ANSWERS
    rig.advance(1)
    rig.warm_up()


def test_calls_beyond_the_queue_are_refused_at_once():
    rig = LinkRig(max_connections=2, max_waiting=3)
    calls = [rig.call(WRITE) for _ in range(6)]
    exc = rig.error_of(calls[5])
    assert type(exc) is LinkOverloadedError
    assert not exc.sent
    assert rig.counts[LinkCount.REFUSED_OVERLOADED] == 1
    rig.advance(0.1)
    assert [call.result.status for call in calls[:5]] == [200] * 5
    assert rig.net.connects == 2


def test_a_caller_that_gives_up_frees_its_connection():
    rig = LinkRig(max_connections=1)
    rig.net.fate = ConnectionFate.SILENT
    first, second = rig.call(WRITE), rig.call(WRITE)
    third = rig.call(WRITE)
    rig.advance(0.02)
    rig.net.fate = ConnectionFate.ANSWERS
    second.cancel()
    first.cancel()
    rig.advance(0.05)
    assert type(rig.error_of(first)) is CancelledError
    assert type(rig.error_of(second)) is CancelledError
    assert third.result.status == 200
    assert rig.served(WRITE) == 1


@pytest.mark.parametrize(("fate", "sent"), [("SILENT", True), ("UNREACHABLE", False)])
def test_closing_the_link_fails_its_calls_truthfully(fate, sent):
    rig = LinkRig(max_connections=1)
    rig.net.fate = ConnectionFate[fate]
    under_way, waiting = rig.call(READ), rig.call(READ)
    rig.advance(0.02)
    rig.link.close()
    assert rig.error_of(under_way).sent is sent
    exc = rig.error_of(waiting)
    assert type(exc) is LinkClosedError
    assert not exc.sent
    assert type(rig.error_of(rig.call(READ))) is LinkClosedError
    assert rig.time.getDelayedCalls() == [] or fate == "SILENT"


def test_a_closed_link_sends_no_more_heartbeats():
    rig = LinkRig()
    rig.warm_up()
    rig.net.fate = ConnectionFate.SILENT
    rig.advance(10)
    rig.link.close()
    assert rig.net.open_count() == 0
    rig.advance(60)
    assert rig.counts[LinkCount.HEARTBEATS] == 1
    assert rig.time.getDelayedCalls() == []


def test_a_connection_closed_by_the_other_end_while_idle_is_not_used():
    rig = LinkRig()
    rig.warm_up()
    rig.net.connections[0].close()
    write = rig.call(WRITE)
    rig.advance(0.05)
    assert write.result.status == 200
    assert rig.net.connects == 2


def test_callers_that_gave_up_waiting_leave_the_queue():
    rig = LinkRig(max_connections=1, max_waiting=1)
    rig.net.fate = ConnectionFate.SILENT
    rig.call(WRITE, timeout_s=9).addErrback(lambda _: None)
    for _ in range(3):
        waiting = rig.call(WRITE, timeout_s=1)
        rig.advance(1.1)
        assert type(rig.error_of(waiting)) is LinkTimeoutError
