"""PollingWatch over an in-memory link, on a fake clock."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from datetime import UTC, datetime, timedelta
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeTime

from savorylead.clock import TwistedClock
from savorylead.links import Link, LinkReply, LinkTimeoutError
from savorylead_daemon.http import PollingWatch


class _ScriptedLink(Link):
    """Answers each poll with the next of the scripted results, then never."""

    def __init__(self, time, results):
        self.counts = Counter()
        self.polled_at = []
        self.after = []
        self.cancelled_polls = 0
        self._time = time
        self._results = list(results)

    async def call(self, request, timeout):
        assert not request.idempotent
        self.polled_at.append(self._time.seconds())
        self.after.append(int(parse_qs(urlsplit(request.path).query)["after"][0]))
        if not self._results:
            return await Deferred(self._count_cancel)
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def close(self):
        pass

    def _count_cancel(self, _):
        self.cancelled_polls += 1


def _changed(revision, *keys):
    body = msgspec.json.encode({"revision": revision, "keys": keys})
    return LinkReply(200, body)


_SILENT = LinkTimeoutError("no reply", sent=True)
_DOWN = LinkReply(503, b'{"revision": 99, "keys": ["a/9"]}')
_GARBAGE = LinkReply(200, b"<html>")


class _Rig:
    def __init__(self, *results, on_change=None):
        self.time = FakeTime()
        clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.link = _ScriptedLink(self.time, results)
        self.notified = []
        self.watch = PollingWatch(
            clock, random.Random(1), self.link, "a/", on_change or self.notified.append
        )

    def advance(self, seconds):
        for _ in range(round(seconds * 100)):
            self.time.advance(0.01)


def test_each_poll_goes_on_from_the_last_answer():
    rig = _Rig(_changed(5, "a/1"), _changed(9, "a/2", "a/3"), _changed(9))
    rig.advance(1)
    assert rig.notified == ["a/1", "a/2", "a/3"]
    assert rig.link.after == [-1, 5, 9, 9]


@pytest.mark.parametrize("failure", [_SILENT, _DOWN, _GARBAGE])
def test_a_poll_that_failed_is_repeated_after_a_delay(failure):
    rig = _Rig(_changed(5), failure, failure, _changed(7, "a/1"))
    rig.advance(3)
    assert rig.notified == ["a/1"]
    assert rig.link.after == [-1, 5, 5, 5, 7]
    assert all(b - a >= 0.1 for a, b in itertools.pairwise(rig.link.polled_at))


def test_a_watch_whose_first_poll_failed_tells_the_whole_prefix():
    rig = _Rig(_SILENT, _changed(5), _changed(6))
    rig.advance(3)
    assert rig.notified == ["a/"]


def test_polls_keep_their_distance_however_fast_keys_change():
    rig = _Rig(*[_changed(revision, "a/1") for revision in range(1, 100)])
    rig.advance(1)
    assert len(rig.link.polled_at) == 10
    assert rig.link.after == [-1, *range(1, 10)]


def test_a_callback_may_cancel_its_watch():
    notified = []

    def cancel(key):
        notified.append(key)
        rig.watch.cancel()

    rig = _Rig(_changed(1), _changed(2, "a/1", "a/2"), _changed(3), on_change=cancel)
    rig.advance(2)
    assert notified == ["a/1"]
    assert len(rig.link.polled_at) == 2
    assert rig.time.getDelayedCalls() == []


def test_cancelling_gives_up_the_poll_under_way():
    rig = _Rig(_changed(1))
    rig.advance(1)
    rig.watch.cancel()
    assert rig.link.cancelled_polls == 1
    rig.advance(5)
    assert len(rig.link.polled_at) == 2
    assert rig.time.getDelayedCalls() == []


def test_a_callback_that_raises_is_called_again():
    notified = []

    def fail(key):
        notified.append(key)
        raise ValueError(key)

    rig = _Rig(_changed(1, "a/1"), _changed(2, "a/2"), on_change=fail)
    rig.advance(1)
    assert notified == ["a/1", "a/2"]
    assert rig.watch.silent_for() >= timedelta(seconds=0.8)
