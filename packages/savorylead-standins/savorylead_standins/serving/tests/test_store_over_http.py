"""HttpStore and the store's server, over loopback connections."""

from __future__ import annotations

from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from savorylead.links import LinkCount, LinkRequest
from savorylead.store import (
    ABSENT,
    KeyValue,
    Snapshot,
    StoreLeaseLostError,
    StoreTimeoutError,
    StoreUnavailableError,
    SwapConflict,
    Swapped,
)
from savorylead_standins.serving._loopback_platform import error_of, run_with_platform


def test_store_calls():
    async def test(platform):
        store = platform.store
        value = bytes(range(256)) * 4
        assert await store.get("a/1") is None
        assert await store.swap("a/1", value, ABSENT) == Swapped(1)
        assert await store.swap("a/ä &2", b"", ABSENT) == Swapped(2)
        first, second = KeyValue("a/1", value, 1), KeyValue("a/ä &2", b"", 2)
        assert await store.get("a/1") == first
        assert await store.list("a/") == Snapshot((first, second), 2)
        assert await store.list("b/") == Snapshot((), 2)
        assert await store.swap("a/1", b"x", 7) == SwapConflict(first)
        assert await store.swap("a/3", b"x", 7) == SwapConflict(None)
        assert await store.swap("a/1", None, 1) == Swapped(3)
        assert await store.list("a/") == Snapshot((second,), 3)
        assert await error_of(store.swap("a/1", b"x" * 1_000_001, 0))
        assert await store.swap("a/1", b"x" * 1_000_000, 0) == Swapped(4)

    run_with_platform(test)


def test_store_leases():
    async def test(platform):
        store = platform.store
        lease = await store.grant_lease(timedelta(seconds=30))
        await store.swap("m/1", b"x", ABSENT, lease)
        await store.renew_lease(lease)
        await store.revoke_lease(lease)
        assert await store.get("m/1") is None
        assert await error_of(store.renew_lease(lease)) is StoreLeaseLostError
        swap = store.swap("m/1", b"x", ABSENT, lease)
        assert await error_of(swap) is StoreLeaseLostError
        lapsing = await store.grant_lease(timedelta(milliseconds=50))
        await store.swap("m/2", b"x", ABSENT, lapsing)
        await platform.until(lambda: "m/2" not in platform.server.store.peek())
        assert await error_of(store.renew_lease(lapsing)) is StoreLeaseLostError

    run_with_platform(test)


class _Heard:
    """Collects what a watch tells."""

    def __init__(self) -> None:
        self.keys: list[str] = []
        self._waiting: list[tuple[str, Deferred]] = []

    def __call__(self, key: str) -> None:
        self.keys.append(key)
        for wanted, waiting in list(self._waiting):
            if wanted == key:
                self._waiting.remove((wanted, waiting))
                waiting.callback(None)

    def wait_for(self, key: str) -> Deferred:
        """Return a Deferred that fires when ``key`` is told the next time."""
        waiting = Deferred()
        self._waiting.append((key, waiting))
        return waiting


def test_a_watch_tells_writes_and_deletions_below_its_prefix():
    async def test(platform):
        store, heard = platform.store, _Heard()
        watch = store.watch("a/", heard)
        await platform.until(lambda: platform.server.store.calls["watch"] > 1)
        told = heard.wait_for("a/1")
        await store.swap("b/1", b"", ABSENT)
        await store.swap("a/1", b"", ABSENT)
        await told
        told = heard.wait_for("a/1")
        await store.swap("a/1", None, 2)
        await told
        assert heard.keys == ["a/1", "a/1"]
        watch.cancel()
        await store.swap("a/2", b"", ABSENT)
        await platform.sleep(0.1)
        assert heard.keys == ["a/1", "a/1"]

    run_with_platform(test)


def test_a_waiting_watch_is_one_call():
    async def test(platform):
        watch = platform.store.watch("a/", _Heard())
        await platform.sleep(0.1)
        assert platform.server.store.calls["watch"] == 1
        watch.cancel()

    run_with_platform(test)


@pytest.mark.parametrize(
    "faults", [{"silent": ["daemon-1"]}, {"cut": ["daemon-1"]}, {"down_s": 5}]
)
def test_a_watch_tells_what_was_written_while_it_heard_nothing(faults):
    async def test(platform):
        heard = _Heard()
        watch = platform.store.watch("a/", heard)
        await platform.until(lambda: platform.server.store.calls["watch"] > 1)
        await platform.set_faults(**faults)
        platform.server.store.swap("a/1", b"", ABSENT, None)
        platform.server.store.swap("a/2", b"", ABSENT, None)
        await platform.sleep(0.5)
        assert heard.keys == []
        told = heard.wait_for("a/2")
        await platform.set_faults()
        await told
        assert heard.keys == ["a/1", "a/2"]
        watch.cancel()

    run_with_platform(test)


def test_a_silent_watch_is_replaced():
    async def test(platform):
        watch = platform.store.watch("a/", _Heard())
        await platform.set_faults(silent=["daemon-1"])
        counts = platform.links.counts
        await platform.until(lambda: counts[LinkCount.SILENT_CLOSED] >= 2)
        # One for the calls and a new one for each poll of the watch.
        assert counts[LinkCount.CONNECTED] >= 3
        watch.cancel()

    run_with_platform(test)


@pytest.mark.parametrize(
    ("faults", "read", "write", "takes_effect"),
    [
        ({"down_s": 5}, StoreUnavailableError, StoreUnavailableError, False),
        ({"cut": ["daemon-1"]}, StoreTimeoutError, StoreTimeoutError, False),
        ({"latency_ms": 2000}, StoreTimeoutError, StoreTimeoutError, False),
        ({"reply_lost_rate": 1}, None, StoreTimeoutError, True),
        ({"lost_rate": 1}, None, StoreTimeoutError, False),
        ({"lands_late_rate": 1}, None, StoreTimeoutError, False),
    ],
)
def test_store_faults_are_seen_by_type(faults, read, write, takes_effect):
    async def test(platform):
        await platform.set_faults(**faults)
        reader = platform.hasty_store if read else platform.store
        assert await error_of(reader.get("a")) is read
        assert await error_of(platform.hasty_store.swap("a", b"", ABSENT)) is write
        written = platform.server.store.peek()
        assert ("a" in written) is takes_effect
        assert platform.server.store.calls["swap"] <= 1

    run_with_platform(test)


def test_a_write_lands_after_its_caller_has_given_up():
    async def test(platform):
        platform.server.store.faults.deadline = timedelta(seconds=0.4)
        platform.server.store.faults.late_by = timedelta(seconds=0.2)
        await platform.set_faults(lands_late_rate=1)
        swap = platform.hasty_store.swap("a", b"late", ABSENT)
        assert await error_of(swap) is StoreTimeoutError
        assert platform.server.store.peek() == {}
        await platform.until(platform.server.store.peek)
        assert platform.server.store.peek() == {"a": b"late"}

    run_with_platform(test)


def test_a_write_takes_effect_although_its_client_has_gone():
    async def test(platform):
        platform.server.store.faults.deadline = timedelta(seconds=60)
        await platform.set_faults(latency_ms=1500)
        swap = platform.hasty_store.swap("a", b"", ABSENT)
        assert await error_of(swap) is StoreTimeoutError
        assert platform.server.store.peek() == {}
        await platform.until(platform.server.store.peek)

    run_with_platform(test)


def test_polls_that_wait_end_when_the_store_goes_down():
    async def test(platform):
        link = platform.links.open(platform.ports.store)
        request = LinkRequest("GET", "/watch?prefix=a/&after=-1&wait_ms=60000")
        poll = Deferred.fromCoroutine(link.call(request, timedelta(seconds=60)))
        await platform.until(lambda: platform.server.store.calls["watch"] == 1)
        await platform.sleep(0.05)
        await platform.set_faults(down_s=60)
        assert (await poll).status == 503
        link.close()

    run_with_platform(test)
