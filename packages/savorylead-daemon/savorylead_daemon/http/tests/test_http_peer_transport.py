"""Messages between daemons, over loopback connections."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.domains import Member
from savorylead.links import LinkCount, LinkSettings
from savorylead_daemon.http import (
    HttpLinks,
    JsonSite,
)
from savorylead_daemon.http.peer_transport import HttpPeerTransport, peer_resource
from savorylead_daemon.peers import PeerCodecError, PeerError
from savorylead_standins.loopback import run_on_reactor

_LONG_TIMEOUT = timedelta(seconds=20)
_SHORT_TIMEOUT = timedelta(seconds=0.3)


class _Server:
    """Stub of PeerServer; the codec has its own tests."""

    def __init__(self):
        self.messages = []

    async def answer(self, body):
        self.messages.append(body)
        if body == b"bad":
            raise PeerCodecError("bad")
        if body == b"silent":
            await Deferred()
        return body[::-1]


NO_WAIT = timedelta(0)


def _run(test, timeout=_LONG_TIMEOUT):
    async def work():
        server = _Server()
        site = JsonSite(peer_resource(server))
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        endpoint = f"127.0.0.1:{port.getHost().port}"
        member = Member("d1", "r", "f", endpoint, "i")
        settings = LinkSettings(attempt_timeout=timeout / 3)
        clock = TwistedClock.starting_now(reactor)
        links = HttpLinks(reactor, clock, random.Random(1), {}, settings)
        transport = HttpPeerTransport(links.open, links.open, timeout)
        try:
            await test(transport, member, server, links)
        finally:
            transport.close()
            await port.stopListening()

    run_on_reactor(work)


def test_a_message_is_answered():
    async def test(transport, member, server, links):
        assert await transport.exchange(member, "Digest", b"abc", NO_WAIT) == b"cba"

    _run(test)


def test_a_message_that_cannot_be_read_fails_without_a_repeat():
    async def test(transport, member, server, links):
        with pytest.raises(PeerError, match="400"):
            await transport.exchange(member, "Digest", b"bad", NO_WAIT)
        assert server.messages == [b"bad"]

    _run(test)


@pytest.mark.parametrize(
    ("wait", "asked"), [(timedelta(milliseconds=1), 1), (timedelta(0), 3)]
)
def test_only_a_message_that_does_not_wait_reaches_a_silent_peer_again(wait, asked):
    async def test(transport, member, server, links):
        with pytest.raises(PeerError):
            await transport.exchange(member, "Answers", b"silent", wait)
        assert len(server.messages) <= asked
        assert (len(server.messages) > 1) is (asked > 1)

    _run(test, timeout=_SHORT_TIMEOUT)


def test_links_to_members_that_left_are_closed():
    async def test(transport, member, server, links):
        await transport.exchange(member, "Digest", b"abc", NO_WAIT)
        transport.keep_only(frozenset({member.endpoint}))
        await transport.exchange(member, "Digest", b"abc", NO_WAIT)
        assert links.counts[LinkCount.CONNECTED] == 1
        transport.keep_only(frozenset())
        await transport.exchange(member, "Digest", b"abc", NO_WAIT)
        assert links.counts[LinkCount.CONNECTED] == 2

    _run(test)
