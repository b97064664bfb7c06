"""Each kind of link behind a device that loses track of connections."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

import pytest
from twisted.internet import reactor

from savorylead.contracts import TaskId
from savorylead.domains import Member
from savorylead.links import LinkCount, LinkSettings
from savorylead.resources import Resources
from savorylead.store import ABSENT, StoreTimeoutError, Swapped
from savorylead.workers import StartAccepted, StartOrder
from savorylead_daemon.http import (
    HttpLinks,
    HttpStore,
    HttpVmList,
    HttpWorkerContract,
    JsonSite,
    StoreTimeouts,
    WatchSettings,
)
from savorylead_daemon.http.peer_transport import HttpPeerTransport, peer_resource
from savorylead_standins.links import ForgetfulForwarder
from savorylead_standins.serving._loopback_platform import (
    LoopbackPlatform,
    error_of,
    run_with_platform,
)

_PATIENT = timedelta(seconds=20)
#: After this long a connection counts as silent. A process that is stopped for
#: this long takes a sound connection for a silent one (0.3 s did so once).
_SILENCE = timedelta(seconds=1)
_LEASE = timedelta(seconds=15)
_ORDER = StartOrder(TaskId("dispatch", "tours", "r1"), 1, Resources(), "")


class _EchoPeer:
    async def answer(self, body):
        return body


class _Behind(NamedTuple):
    """A client whose connections go through the device."""

    device: ForgetfulForwarder
    links: HttpLinks
    #: One idempotent call, which returns something true.
    call: Callable[[], Awaitable[object]]
    close: Callable[[], None]


def _links(platform: LoopbackPlatform) -> HttpLinks:
    settings = LinkSettings(
        attempt_timeout=platform.silence, heartbeat_interval=_PATIENT
    )
    return HttpLinks(reactor, platform.clock, random.Random(5), {}, settings)


def _store_behind(platform: LoopbackPlatform, write: timedelta = _PATIENT) -> _Behind:
    device = ForgetfulForwarder(platform.ports.store)
    links = _links(platform)
    link = links.open(device.endpoint)
    store = HttpStore(
        platform.clock,
        random.Random(6),
        link,
        link,
        StoreTimeouts(_PATIENT, write, _PATIENT),
        WatchSettings(wait=timedelta(seconds=0.2), grace=_SILENCE),
    )
    behind = _Behind(device, links, lambda: store.list(""), link.close)
    platform.behind_store = store
    return behind


def _worker_behind(platform: LoopbackPlatform) -> _Behind:
    device = ForgetfulForwarder(platform.ports.workers)
    links = _links(platform)
    contract = HttpWorkerContract(links.open)
    worker = platform.server.workers[0].worker
    worker = worker._replace(endpoint=f"{device.endpoint}/workers/{worker.name}")

    async def start():
        inventory = await contract.renew(worker, 1, _LEASE)
        reply = await contract.start(worker, 1, inventory.incarnation, [_ORDER])
        return reply == [StartAccepted(_ORDER.task)]

    return _Behind(device, links, start, contract.close)


def _vm_list_behind(platform: LoopbackPlatform) -> _Behind:
    device = ForgetfulForwarder(platform.ports.vm_list)
    links = _links(platform)
    link = links.open(device.endpoint)
    return _Behind(device, links, HttpVmList(link, _PATIENT).read, link.close)


def _peer_behind(platform: LoopbackPlatform) -> _Behind:
    site = JsonSite(peer_resource(_EchoPeer()))
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    device = ForgetfulForwarder(f"127.0.0.1:{port.getHost().port}")
    links = _links(platform)
    transport = HttpPeerTransport(links.open, links.open, _PATIENT)
    member = Member("d2", "r", "f", device.endpoint, "i")

    def close():
        transport.close()
        port.stopListening()

    return _Behind(
        device,
        links,
        lambda: transport.exchange(member, "ask", b"message" * 30, timedelta(0)),
        close,
    )


_KINDS = [_store_behind, _worker_behind, _vm_list_behind, _peer_behind]


def _run(kind, test, silence=_SILENCE):
    async def work(platform):
        platform.silence = silence
        behind = kind(platform)
        try:
            await test(platform, behind)
        finally:
            behind.close()
            await behind.device.stop()

    run_with_platform(work)


@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize("fault", ["forget", "forget_replies"])
def test_a_forgotten_connection_is_replaced_within_one_call(kind, fault):
    async def test(platform, behind):
        assert await behind.call()
        getattr(behind.device, fault)()
        assert await behind.call()
        assert behind.links.counts[LinkCount.SILENT_CLOSED] == 1
        assert behind.device.connections == 2

    _run(kind, test)


@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize("reply_bytes", [0, 60, 170])
def test_a_reply_that_is_cut_is_asked_for_again(kind, reply_bytes):
    async def test(platform, behind):
        platform.server.store.swap("long", bytes(200), ABSENT, None)
        assert await behind.call()
        behind.device.cut_after(reply_bytes)
        assert await behind.call()
        assert behind.device.connections == 2
        assert behind.links.counts[LinkCount.RETRIED_BROKEN] == 1

    # No connection is silent for so long: only the cut can tell that it is lost.
    _run(kind, test, silence=_PATIENT)


@pytest.mark.parametrize(("fault", "written"), [("forget", 0), ("forget_replies", 1)])
def test_a_write_on_a_forgotten_connection_is_sent_once(fault, written):
    async def test(platform, behind):
        store = platform.behind_store
        await store.get("k")
        getattr(behind.device, fault)()
        assert await error_of(store.swap("k", b"1", ABSENT)) is StoreTimeoutError
        assert platform.server.store.calls["swap"] == written
        # The caller reads back on the new connection, then writes on.
        found = await store.get("k")
        assert (found is not None) is bool(written)
        revision = found.revision if found else ABSENT
        assert await store.swap("k", b"2", revision) == Swapped(written + 1)

    _run(lambda platform: _store_behind(platform, _SILENCE), test)


@pytest.mark.parametrize("fault", ["forget", "forget_replies"])
def test_a_watch_on_a_forgotten_connection_goes_on_where_it_was(fault):
    async def test(platform, behind):
        keys = []
        watch = platform.behind_store.watch("a/", keys.append)
        await platform.until(lambda: platform.server.store.calls["watch"] > 1)
        getattr(behind.device, fault)()
        platform.server.store.swap("a/1", b"", ABSENT, None)
        await platform.until(lambda: keys)
        assert keys == ["a/1"]
        assert behind.device.connections == 2
        watch.cancel()

    _run(_store_behind, test)


def test_an_idle_link_finds_out_by_itself():
    async def test(platform, behind):
        device = behind.device
        settings = LinkSettings(
            heartbeat_interval=timedelta(seconds=0.1), heartbeat_timeout=_SILENCE
        )
        links = HttpLinks(reactor, platform.clock, random.Random(7), {}, settings)
        link = links.open(device.endpoint)
        await HttpVmList(link, _PATIENT).read()
        device.forget()
        await platform.until(lambda: device.connections == 2)
        link.close()

    _run(_vm_list_behind, test)
