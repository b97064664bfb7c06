"""Retries, deadlines and errors of calls when connections fail."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.links import (
    LinkBrokenError,
    LinkCount,
    LinkReply,
    LinkRequest,
    LinkTimeoutError,
    LinkUnavailableError,
)
from savorylead_standins.links import READ, WRITE, ConnectionFate, LinkRig


@pytest.mark.parametrize(
    ("fate", "request_", "served", "error", "refused"),
    [
        # The request was lost before the server, but the client cannot know that.
        ("SILENT", WRITE, 0, LinkTimeoutError, "REFUSED_NOT_IDEMPOTENT"),
        ("SILENT", READ, 0, LinkTimeoutError, "REFUSED_ATTEMPTS"),
        # Half-open connection: a call that is not idempotent runs exactly once.
        ("REPLIES_LOST", WRITE, 1, LinkTimeoutError, "REFUSED_NOT_IDEMPOTENT"),
        ("REPLIES_LOST", READ, 3, LinkTimeoutError, "REFUSED_ATTEMPTS"),
        ("BREAKS", WRITE, 1, LinkBrokenError, "REFUSED_NOT_IDEMPOTENT"),
        ("BREAKS", READ, 3, LinkBrokenError, "REFUSED_ATTEMPTS"),
        # Known not to have been sent, so even a write is retried.
        ("REFUSED", WRITE, 0, LinkUnavailableError, "REFUSED_ATTEMPTS"),
        ("UNREACHABLE", WRITE, 0, LinkUnavailableError, "REFUSED_ATTEMPTS"),
    ],
)
def test_what_a_failing_network_does_to_a_call(fate, request_, served, error, refused):
    rig = LinkRig()
    rig.net.fate = ConnectionFate[fate]
    call = rig.call(request_, timeout_s=8)
    rig.advance(8.1)
    exc = rig.error_of(call)
    assert type(exc) is error
    assert exc.sent is (fate not in ("REFUSED", "UNREACHABLE"))
    assert rig.served(request_) == served
    assert rig.counts[LinkCount[refused]] == 1
    assert rig.net.open_count() == 0


def test_a_late_reply_reaches_nobody_else():
    rig = LinkRig(max_connections=1)
    rig.net.latency = timedelta(seconds=0.8)
    first = rig.call(LinkRequest("POST", "/", b"first"), timeout_s=1)
    second = rig.call(LinkRequest("POST", "/", b"second"), timeout_s=4)
    rig.advance(4.1)
    assert type(rig.error_of(first)) is LinkTimeoutError
    assert second.result == LinkReply(200, b"second")


def test_an_error_after_an_earlier_attempt_was_sent_says_so():
    rig = LinkRig()
    rig.net.fate = ConnectionFate.REPLIES_LOST
    call = rig.call(READ)
    rig.advance(0.5)
    rig.net.fate = ConnectionFate.REFUSED
    rig.advance(5)
    exc = rig.error_of(call)
    assert type(exc) is LinkUnavailableError
    assert exc.sent


@pytest.mark.parametrize(
    ("one_way_s", "request_", "status"),
    [(0.4, READ, 200), (0.9, READ, 200), (3.0, READ, None), (2.4, WRITE, 200)],
)
def test_longer_attempts_reach_a_slow_server(one_way_s, request_, status):
    rig = LinkRig()
    rig.net.latency = timedelta(seconds=one_way_s)
    call = rig.call(request_)
    rig.advance(5.1)
    if status is None:
        assert type(rig.error_of(call)) is LinkTimeoutError
    else:
        assert call.result.status == status


def test_an_outage_causes_no_storm_of_retries():
    rig = LinkRig(burst=10, max_connections=64)
    rig.warm_up()
    rig.net.fate = ConnectionFate.REPLIES_LOST
    calls = [rig.call(READ, timeout_s=30) for _ in range(200)]
    rig.advance(31)
    assert all(type(rig.error_of(call)) is LinkTimeoutError for call in calls)
    # Each call reached the server once; the budget limits the retries of all.
    assert rig.served(READ) == 200 + rig.budget.spent
    assert rig.budget.spent == 10
    assert rig.counts[LinkCount.REFUSED_BUDGET] == rig.budget.refused == 200


def test_successes_allow_retries_again():
    rig = LinkRig(burst=1)
    for successes, retries in ((0, 1), (9, 1), (1, 2)):
        for _ in range(successes):
            rig.warm_up()
        rig.net.fate = ConnectionFate.BREAKS
        rig.error_of_soon(rig.call(READ))
        rig.net.fate = ConnectionFate.ANSWERS
        assert rig.counts[LinkCount.RETRIED_BROKEN] == retries


def test_a_call_without_time_left_is_not_sent():
    rig = LinkRig(max_connections=1)
    rig.net.fate = ConnectionFate.SILENT
    rig.call(WRITE, timeout_s=2).addErrback(lambda _: None)
    late = rig.call(WRITE, timeout_s=1)
    rig.advance(1.1)
    exc = rig.error_of(late)
    assert (type(exc), exc.sent) == (LinkTimeoutError, False)


def test_a_call_whose_turn_comes_too_late_is_not_sent():
    rig = LinkRig(max_connections=1)
    rig.call(WRITE)
    late = rig.call(WRITE, timeout_s=1)
    # After a process pause, the reply and the deadline are processed together.
    rig.time.advance(0.001)
    rig.time.advance(5)
    exc = rig.error_of(late)
    assert (type(exc), exc.sent) == (LinkTimeoutError, False)
    assert rig.served(WRITE) == 1
