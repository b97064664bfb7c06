"""The platform's store over HTTP."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec

from savorylead.clock import Clock
from savorylead.links import Link, LinkError, LinkReply, LinkRequest, LinkTimeoutError
from savorylead.store import (
    KeyValue,
    Snapshot,
    Store,
    StoreError,
    StoreLeaseLostError,
    StoreTimeoutError,
    StoreUnavailableError,
    SwapConflict,
    Swapped,
    Watch,
)

from ._polling_watch import PollingWatch, WatchSettings
from .store_wire import ConflictReply, LeaseReply, SwappedReply

T = TypeVar("T")

_OK = 200
_LEASE_LOST = 410
_ONE_MILLISECOND = timedelta(milliseconds=1)


class StoreTimeouts(NamedTuple):
    """Timeouts of calls to the store."""

    #: Until the reply begins to arrive, and between two parts of it; enough for a
    #: second attempt with twice the timeout of the first.
    read: timedelta = timedelta(seconds=3)
    #: Until the reply to a read is complete: enough for 8 MB, the largest reply that
    #: a connection accepts, over a link of 5 Mbit/s.
    read_total: timedelta = timedelta(seconds=13)
    #: A write is sent once, so this is also how long its outcome may be unknown.
    write: timedelta = timedelta(seconds=1)
    lease: timedelta = timedelta(seconds=3)


class HttpStore(Store):
    """Accesses the store over two links, one for calls and one for watches.

    A watch occupies its connection for many seconds, so watches on the link for
    calls would delay these. The link retries reads and lease calls, but never
    writes: if the outcome of a write is unknown, the caller reads the key.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        calls: Link,
        watches: Link,
        timeouts: StoreTimeouts = StoreTimeouts(),  # noqa: B008 - immutable.
        watch_settings: WatchSettings = WatchSettings(),  # noqa: B008 - immutable.
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._calls = calls
        self._watches = watches
        self._timeouts = timeouts
        self._watch_settings = watch_settings

    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it does not exist."""
        reply = await self._read(f"/kv?{urlencode({'key': key})}")
        return _decode(reply, KeyValue | None)

    async def list(self, prefix: str) -> Snapshot:
        """Return all keys that start with ``prefix``."""
        reply = await self._read(f"/kv?{urlencode({'prefix': prefix})}")
        return _decode(reply, Snapshot)

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Swapped | SwapConflict:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        query: dict[str, Any] = {"key": key, "expected": expected_revision}
        if lease_id is not None:
            query["lease"] = lease_id
        method = "DELETE" if value is None else "PUT"
        request = LinkRequest(method, f"/kv?{urlencode(query)}", value or b"")
        reply = await self._call(request, self._timeouts.write)
        result = _decode(reply, SwappedReply | ConflictReply)
        if isinstance(result, SwappedReply):
            return Swapped(result.revision)
        return SwapConflict(result.current)

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease.

        A retry after a lost reply leaves a lease without keys, which expires.
        """
        reply = await self._lease("POST", {"ttl_ms": ttl // _ONE_MILLISECOND})
        return _decode(reply, LeaseReply).lease_id

    async def renew_lease(self, lease_id: str) -> None:
        """Extend the lease by its ttl."""
        await self._lease("PUT", {"id": lease_id})

    async def revoke_lease(self, lease_id: str) -> None:
        """End the lease and delete the keys bound to it."""
        await self._lease("DELETE", {"id": lease_id})

    def watch(self, prefix: str, on_change: Callable[[str], None]) -> Watch:
        """Call ``on_change(key)`` after changes below ``prefix``.

        It calls ``on_change(prefix)`` when it cannot tell which keys changed.
        """
        return PollingWatch(
            self._clock,
            self._rng,
            self._watches,
            prefix,
            on_change,
            self._watch_settings,
        )

    async def _read(self, path: str) -> LinkReply:
        request = LinkRequest(
            "GET", path, idempotent=True, max_duration=self._timeouts.read_total
        )
        return await self._call(request, self._timeouts.read)

    async def _lease(self, method: str, query: dict[str, Any]) -> LinkReply:
        path = f"/leases?{urlencode(query)}"
        request = LinkRequest(method, path, idempotent=True)
        return await self._call(request, self._timeouts.lease)

    async def _call(self, request: LinkRequest, timeout: timedelta) -> LinkReply:
        try:
            reply = await self._calls.call(request, timeout)
        except LinkTimeoutError as exc:
            raise StoreTimeoutError(str(exc)) from exc
        except LinkError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if reply.status == _OK:
            return reply
        if reply.status == _LEASE_LOST:
            raise StoreLeaseLostError(request.path)
        raise StoreUnavailableError(f"{request.method}: status {reply.status}")


def _decode(reply: LinkReply, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as exc:
        raise StoreError("the store's reply has an unexpected format") from exc
