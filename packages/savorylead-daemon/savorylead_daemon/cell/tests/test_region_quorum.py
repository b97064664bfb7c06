"""Which daemons vote on whether the store is down, and the majority's decision."""

from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from savorylead.clock import TwistedClock
from savorylead.domains import Member
from savorylead_daemon.cell import RegionQuorum

GRACE = timedelta(seconds=20)


def member(name, region="north", leading=True):
    return Member(name, region, "dom1", f"{name}:1", f"{name}-1", leading)


class Observations:
    """Stub of the poller: True for a peer that finds the store down."""

    def __init__(self):
        self.own = False
        self.peers = {}

    def store_is_down_here(self):
        return self.own

    def observations(self):
        return {
            name: SimpleNamespace(observation=down) for name, down in self.peers.items()
        }

    def sees_outage(self, observation):
        return observation


class Bench:
    def __init__(self, names="abc"):
        self.time = Clock()
        clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.observations = Observations()
        self.quorum = RegionQuorum("a", "north", self.observations, clock, GRACE)
        self.quorum.set_members([member(name) for name in names])

    def set_observations(self, own, **peers):
        self.observations.own = own
        self.observations.peers = peers

    def advance(self, seconds):
        for _ in range(int(seconds * 2)):
            self.time.advance(0.5)
            self.quorum.update()


@pytest.mark.parametrize(
    ("own", "peers", "bridges"),
    [
        (True, {"b": True, "c": True}, True),
        (True, {"b": True}, True),  # One does not answer; two of three are a majority.
        (True, {}, False),  # No peer answers.
        (True, {"b": True, "c": False}, False),  # One peer finds the store up.
        (False, {"b": True, "c": True}, False),
        (True, {"x": True, "y": True}, False),  # Other regions have no vote.
    ],
)
def test_bridging(own, peers, bridges):
    bench = Bench()
    bench.set_observations(own, **peers)
    assert bench.quorum.bridges_outage() is bridges


def test_bridging_ends_after_the_grace():
    bench = Bench()
    bench.set_observations(True, b=True, c=True)
    bench.advance(60)
    bench.set_observations(False, b=False, c=False)
    bench.advance(19)
    assert bench.quorum.bridges_outage()
    bench.advance(2)
    assert not bench.quorum.bridges_outage()


@pytest.mark.parametrize(
    ("vanished_for_s", "bridges"), [(1, False), (3500, False), (3700, True)]
)
def test_daemon_that_vanished_keeps_its_vote_for_an_hour(vanished_for_s, bridges):
    bench = Bench("ab")
    # The list has not changed for two hours when the daemon vanishes.
    bench.advance(7200)
    bench.quorum.set_members([member("a")])
    bench.set_observations(True)
    bench.time.advance(vanished_for_s)
    assert bench.quorum.bridges_outage() is bridges


def test_daemon_that_announced_its_leave_has_no_vote():
    bench = Bench("ab")
    bench.quorum.set_members([member("a"), member("b", leading=False)])
    bench.quorum.set_members([member("a")])
    bench.set_observations(True)
    assert bench.quorum.bridges_outage()


def test_store_must_be_seen_without_a_break():
    bench = Bench()
    bench.set_observations(False, b=False)
    bench.advance(30)
    assert bench.quorum.store_reachable_for() >= timedelta(seconds=29)
    bench.set_observations(False, b=True)
    bench.advance(1)
    assert bench.quorum.store_reachable_for() == timedelta(0)
    bench.set_observations(False, b=False)
    bench.advance(5)
    assert timedelta(0) < bench.quorum.store_reachable_for() <= timedelta(seconds=5)
