"""The workers' HTTP interface: one server for all, a path prefix for each.

A worker's endpoint is "IP:port/workers/NAME", and each command is a POST below it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import msgspec

from savorylead.clock import Clock
from savorylead.workers import StaleEpoch, WrongIncarnation
from savorylead_daemon.http import (
    HttpError,
    JsonRequest,
    JsonResource,
    JsonResponse,
    json_response,
)
from savorylead_daemon.http.worker_wire import (
    AttemptsBody,
    InventoryReply,
    ReleasedReply,
    RenewBody,
    ReportsReply,
    StaleEpochReply,
    StartBody,
    StartResult,
    StartsReply,
    ThrottleBody,
    WrongIncarnationReply,
)
from savorylead_standins.workers import Execution, MemoryVmList, MemoryWorker

from ._routes import decode_body, detached, healthz, never

_PREFIX = "/workers/"


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /admin/workers/NAME; what is left out stays as it is."""

    #: Lose everything that runs, as a VM that restarts.
    crash: bool = False
    #: Neither hear nor answer, while what runs goes on until its lease lapses.
    cut_off: bool | None = None
    #: Fail whatever starts.
    broken: bool | None = None
    #: Take no more work; the VM list shows it after its lag.
    leaving: bool | None = None
    #: Only the VM list shows that it leaves, after its lag; it still takes work.
    listed_leaving: bool | None = None
    #: Take effect without an answer, for this share of the commands.
    reply_lost_rate: float | None = None
    #: Take effect after ``late_ms`` without an answer, for this share.
    late_rate: float | None = None
    late_ms: float | None = None
    #: Time from command to answer.
    latency_ms: float | None = None


class WorkerHistory(msgspec.Struct):
    """What GET /admin/executions tells of one worker, for checkers."""

    worker: str
    ended: list[Execution]
    running: list[Execution]
    over_capacity_refusals: int


class _Hosted:
    """One worker and its faults."""

    def __init__(self, worker: MemoryWorker, latency: timedelta) -> None:
        self.worker = worker
        self.latency = latency
        self.cut_off = False
        self.reply_lost_rate = 0.0
        self.late_rate = 0.0
        self.late = timedelta(seconds=1)


class WorkerServer:
    """Serves many workers."""

    def __init__(
        self,
        workers: Iterable[MemoryWorker],
        vms: MemoryVmList,
        clock: Clock,
        rng: random.Random,
        latency: timedelta,
    ) -> None:
        self._hosted = {w.worker.name: _Hosted(w, latency) for w in workers}
        self._vms = vms
        self._clock = clock
        self._rng = rng
        self._commands = {
            "renew": _renew,
            "start": _start,
            "stop": _stop,
            "checkpoint": _checkpoint,
            "throttle": _throttle,
            "release": _release,
        }

    def resource(self) -> JsonResource:
        """Return the resource of every path of the workers."""
        return JsonResource(self._handle)

    async def _handle(self, req: JsonRequest) -> JsonResponse:
        if req.path.startswith(_PREFIX):
            name, _, command = req.path[len(_PREFIX) :].partition("/")
            return await self._command(self._find(name), command, req)
        if (req.method, req.path) == ("GET", "/admin/executions"):
            return json_response(200, self._histories())
        if req.method == "POST" and req.path.startswith("/admin/workers/"):
            self._change(req.path.rpartition("/")[2], decode_body(req, WorkerFaults))
            return json_response(200, "ok")
        raise HttpError(404, "unknown_path", f"{req.method} {req.path}")

    def _find(self, name: str) -> _Hosted:
        try:
            return self._hosted[name]
        except KeyError:
            raise HttpError(404, "unknown_worker", name) from None

    async def _command(
        self, hosted: _Hosted, command: str, req: JsonRequest
    ) -> JsonResponse:
        if command == "healthz":
            return await self._deliver(hosted, healthz)
        apply = self._commands.get(command)
        if apply is None:
            raise HttpError(404, "unknown_command", command)
        return await self._deliver(
            hosted, lambda: json_response(200, apply(hosted.worker, req))
        )

    async def _deliver(
        self, hosted: _Hosted, apply: Callable[[], JsonResponse]
    ) -> JsonResponse:
        if hosted.cut_off:
            return await never()
        if self._rng.random() < hosted.late_rate:
            self._clock.call_later(hosted.late, self._apply_late, hosted, apply)
            return await never()
        response = await detached(self._apply(hosted, apply))
        if hosted.cut_off or self._rng.random() < hosted.reply_lost_rate:
            return await never()
        return response

    async def _apply(
        self, hosted: _Hosted, apply: Callable[[], JsonResponse]
    ) -> JsonResponse:
        await self._clock.sleep(hosted.latency / 2)
        response = apply()
        await self._clock.sleep(hosted.latency / 2)
        return response

    def _apply_late(self, hosted: _Hosted, apply: Callable[[], JsonResponse]) -> None:
        if not hosted.cut_off:
            apply()

    def _histories(self) -> list[WorkerHistory]:
        workers = [hosted.worker for hosted in self._hosted.values()]
        return [
            WorkerHistory(
                w.worker.name, w.executions, w.running(), w.over_capacity_refusals
            )
            for w in workers
        ]

    def _change(self, name: str, faults: WorkerFaults) -> None:
        hosted = self._find(name)
        worker = hosted.worker
        if faults.crash:
            worker.crash()
        if faults.broken is not None:
            worker.broken = faults.broken
        if faults.leaving is not None:
            worker.accepting = not faults.leaving
            self._vms.mark_leaving(name, faults.leaving)
        if faults.listed_leaving is not None:
            self._vms.mark_leaving(name, faults.listed_leaving)
        for field in ("cut_off", "reply_lost_rate", "late_rate"):
            value = getattr(faults, field)
            if value is not None:
                setattr(hosted, field, value)
        if faults.late_ms is not None:
            hosted.late = timedelta(milliseconds=faults.late_ms)
        if faults.latency_ms is not None:
            hosted.latency = timedelta(milliseconds=faults.latency_ms)


def _renew(worker: MemoryWorker, req: JsonRequest) -> Any:
    body = decode_body(req, RenewBody)
    reply = worker.renew(body.epoch, timedelta(milliseconds=body.lease_ms))
    if isinstance(reply, StaleEpoch):
        return StaleEpochReply(reply.seen_epoch)
    return InventoryReply(reply)


def _start(worker: MemoryWorker, req: JsonRequest) -> Any:
    body = decode_body(req, StartBody)
    reply = worker.start(body.epoch, body.incarnation, body.orders)
    if isinstance(reply, list):
        return StartsReply(tuple(StartResult.of(result) for result in reply))
    return _declined(reply)


def _stop(worker: MemoryWorker, req: JsonRequest) -> Any:
    body = decode_body(req, AttemptsBody)
    return _reports(worker.stop(body.epoch, body.incarnation, body.attempts))


def _checkpoint(worker: MemoryWorker, req: JsonRequest) -> Any:
    body = decode_body(req, AttemptsBody)
    return _reports(worker.checkpoint(body.epoch, body.incarnation, body.attempts))


def _throttle(worker: MemoryWorker, req: JsonRequest) -> Any:
    body = decode_body(req, ThrottleBody)
    return _reports(worker.throttle(body.epoch, body.incarnation, body.caps))


def _release(worker: MemoryWorker, req: JsonRequest) -> Any:
    body = decode_body(req, AttemptsBody)
    reply = worker.release(body.epoch, body.incarnation, body.attempts)
    return ReleasedReply() if reply is None else _declined(reply)


def _reports(reply: Any) -> Any:
    return ReportsReply(tuple(reply)) if isinstance(reply, list) else _declined(reply)


def _declined(reply: StaleEpoch | WrongIncarnation) -> Any:
    if isinstance(reply, StaleEpoch):
        return StaleEpochReply(reply.seen_epoch)
    return WrongIncarnationReply(reply.incarnation)
