"""The store's HTTP interface over a MemoryStore."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from savorylead.clock import Clock, Timer
from savorylead.links import DeadlineExceededError, within
from savorylead.store import (
    StoreLeaseLostError,
    StoreTimeoutError,
    StoreUnavailableError,
    Swapped,
)
from savorylead_daemon.http import (
    HttpError,
    JsonHandler,
    JsonRequest,
    JsonResource,
    JsonResponse,
    json_response,
)
from savorylead_daemon.http.store_wire import (
    CLIENT_HEADER,
    ConflictReply,
    LeaseReply,
    SwappedReply,
    WatchReply,
)
from savorylead_standins.store import CallFate, Changes, MemoryStore, StoreCall

from ._pacer import Pacer
from ._routes import (
    decode_body,
    detached,
    dispatch,
    healthz,
    int_parameter,
    never,
    parameter,
)

T = TypeVar("T")

_WRITES = frozenset({"swap", "grant_lease", "renew_lease", "revoke_lease"})


class StoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /admin/faults: replaces all faults in force."""

    #: Answers 503 for so long.
    down_s: float = 0
    #: Mean time from call to answer; None leaves it as it is.
    latency_ms: float | None = None
    #: Clients whose calls get no answer.
    cut: tuple[str, ...] = ()
    #: Clients whose watches get no answer.
    silent: tuple[str, ...] = ()
    #: Shares of the writes that take effect without an answer, that take effect a
    #: second after the client's timeout, and that are lost.
    reply_lost_rate: float = 0
    lands_late_rate: float = 0
    lost_rate: float = 0


class StoreServer:
    """Serves one MemoryStore."""

    def __init__(
        self,
        store: MemoryStore,
        clock: Clock,
        rng: random.Random,
        writes_per_s: float,
        reads_per_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._silent: frozenset[str] = frozenset()
        self._write_pacer = Pacer(clock, writes_per_s)
        self._read_pacer = Pacer(clock, reads_per_s)
        self._coming_up: Timer | None = None
        self._set_faults(StoreFaults())

    def resource(self) -> JsonResource:
        """Return the resource of every path of the store."""
        routes: dict[tuple[str, str], JsonHandler] = {
            ("GET", "/kv"): self._read,
            ("PUT", "/kv"): self._swap,
            ("DELETE", "/kv"): self._swap,
            ("POST", "/leases"): self._grant,
            ("PUT", "/leases"): self._renew,
            ("DELETE", "/leases"): self._revoke,
            ("GET", "/watch"): self._watch,
            ("GET", "/healthz"): self._healthz,
            ("GET", "/admin/calls"): self._calls,
            ("POST", "/admin/faults"): self._change_faults,
        }
        return JsonResource(dispatch(routes))

    async def _read(self, req: JsonRequest) -> JsonResponse:
        store = self._store
        key = req.query.get("key")
        if key is not None:
            return await self._call(req, "get", key, lambda: store.get(key))
        prefix = parameter(req, "prefix")
        return await self._call(req, "list", prefix, lambda: store.list(prefix))

    async def _swap(self, req: JsonRequest) -> JsonResponse:
        key = parameter(req, "key")
        expected = int_parameter(req, "expected")
        value = req.body if req.method == "PUT" else None
        lease_id = req.query.get("lease")

        def apply() -> SwappedReply | ConflictReply:
            result = self._store.swap(key, value, expected, lease_id)
            if isinstance(result, Swapped):
                return SwappedReply(result.revision)
            return ConflictReply(result.current)

        return await self._call(req, "swap", key, apply)

    async def _grant(self, req: JsonRequest) -> JsonResponse:
        ttl = timedelta(milliseconds=int_parameter(req, "ttl_ms"))
        store = self._store
        return await self._call(
            req, "grant_lease", "", lambda: LeaseReply(store.grant_lease(ttl))
        )

    async def _renew(self, req: JsonRequest) -> JsonResponse:
        lease_id = parameter(req, "id")
        store = self._store
        return await self._call(
            req, "renew_lease", lease_id, lambda: store.renew_lease(lease_id)
        )

    async def _revoke(self, req: JsonRequest) -> JsonResponse:
        lease_id = parameter(req, "id")
        store = self._store
        return await self._call(
            req, "revoke_lease", lease_id, lambda: store.revoke_lease(lease_id)
        )

    async def _call(
        self, req: JsonRequest, method: str, target: str, apply: Callable[[], Any]
    ) -> JsonResponse:
        call = StoreCall(_client_of(req), method, target)
        pacer = self._write_pacer if method in _WRITES else self._read_pacer
        try:
            await detached(pacer.wait())
            result = await detached(self._store.call(call, apply))
        except StoreTimeoutError:
            return await never()
        except StoreUnavailableError as exc:
            raise HttpError(503, "store_unavailable", str(exc)) from exc
        except StoreLeaseLostError as exc:
            raise HttpError(410, "lease_lost", str(exc)) from exc
        except ValueError as exc:
            raise HttpError(413, "value_too_large", str(exc)) from exc
        return json_response(200, result)

    async def _watch(self, req: JsonRequest) -> JsonResponse:
        prefix = parameter(req, "prefix")
        wait = timedelta(milliseconds=int_parameter(req, "wait_ms"))
        client = _client_of(req)
        self._store.calls["watch"] += 1
        await self._be_heard(client)
        after = int_parameter(req, "after")
        if after < 0:
            after = self._store.changes.revision
        changes = await self._wait_for_changes(prefix, after, wait)
        await self._be_heard(client)
        return json_response(200, WatchReply(changes.revision, changes.keys))

    async def _be_heard(self, client: str) -> None:
        """Let half of the latency pass, or whatever the faults do instead."""
        faults = self._store.faults
        await self._clock.sleep(faults.latency / 2)
        if faults.down:
            raise HttpError(503, "store_unavailable", "watch")
        if client in faults.cut or client in self._silent:
            await never()

    async def _wait_for_changes(
        self, prefix: str, after: int, wait: timedelta
    ) -> Changes:
        log = self._store.changes
        changes = log.since(prefix, after)
        if changes.keys:
            return changes
        try:
            await within(self._clock, wait, log.next_change(prefix))
        except DeadlineExceededError:
            return log.since(prefix, after)
        return log.since(prefix, after)

    async def _healthz(self, req: JsonRequest) -> JsonResponse:
        self._store.calls["healthz"] += 1
        await self._be_heard(_client_of(req))
        return healthz()

    async def _calls(self, req: JsonRequest) -> JsonResponse:
        return json_response(200, self._store.calls)

    async def _change_faults(self, req: JsonRequest) -> JsonResponse:
        self._set_faults(decode_body(req, StoreFaults))
        return json_response(200, "ok")

    def _set_faults(self, faults: StoreFaults) -> None:
        plan = self._store.faults
        if faults.latency_ms is not None:
            plan.latency = timedelta(milliseconds=faults.latency_ms)
        plan.cut = set(faults.cut)
        plan.fate = self._fate_of(faults)
        self._silent = frozenset(faults.silent)
        plan.down = faults.down_s > 0
        if self._coming_up is not None:
            self._coming_up.cancel()
        if plan.down:
            # Polls that wait end with an error, as they would with the server.
            self._store.changes.wake_all()
            down = timedelta(seconds=faults.down_s)
            self._coming_up = self._clock.call_later(down, self._come_up)

    def _come_up(self) -> None:
        self._store.faults.down = False

    def _fate_of(self, faults: StoreFaults) -> Callable[[StoreCall], CallFate]:
        def fate(call: StoreCall) -> CallFate:
            if call.method not in _WRITES:
                return CallFate.ANSWERED
            point = self._rng.random()
            for share, fate in (
                (faults.reply_lost_rate, CallFate.REPLY_LOST),
                (faults.lands_late_rate, CallFate.LANDS_LATE),
                (faults.lost_rate, CallFate.LOST),
            ):
                if point < share:
                    return fate
                point -= share
            return CallFate.ANSWERED

        return fate


def _client_of(req: JsonRequest) -> str:
    return req.headers.get(CLIENT_HEADER, "")
