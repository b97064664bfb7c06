"""Processor time of the HTTP layer per submitted task, and of what surrounds it.

Requests pass through Twisted's HTTP channel over a transport in memory, so the cost
of system calls is left out on both sides of each comparison.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence

import msgspec
from twisted.internet.testing import StringTransport
from twisted.web.server import Site

from bench._report import report
from savorylead.contracts import TaskId, TaskKind
from savorylead_daemon.entrance import build_http_site
from savorylead_daemon.http import (
    JsonRequest,
    JsonResource,
    JsonResponse,
    JsonSite,
    json_response,
)
from savorylead_daemon.observability import Metrics, Readiness, WaitStage
from savorylead_daemon.services import Admitted, SubmitReply, TaskDocument
from savorylead_standins.services import (
    DISPATCH_KEY,
    MemoryGateway,
    small_limits,
)

#: Processor time that one figure may take.
BUDGET_S = 1.0
#: Rounds of which the quickest counts; others share the core with other programs.
ROUNDS = 5


def task(number: int) -> TaskDocument:
    return {
        "request": f"booking-{number:06}",
        "workspace": "tours",
        "queue": "bookings",
        "kind": "batch",
        "urgent": True,
        "repeatable": False,
        "resources": {"cores": 0.5, "memory_mb": 256, "slots": 1},
        "run_time_s": 30.0,
        "payload": "guests=4;start=09:30",
    }


def admit_all(tasks: Sequence[TaskDocument]) -> list[SubmitReply]:
    return [
        Admitted(TaskId("dispatch", each["workspace"], each["request"]))
        for each in tasks
    ]


def checked_site() -> Site:
    """Return the daemon's entrance over a service that costs nothing."""
    gateway = MemoryGateway()

    async def submit(key: str, tasks: Sequence[TaskDocument]) -> list[SubmitReply]:
        return admit_all(tasks)

    gateway.callers.submit = submit
    return build_http_site(
        gateway.callers,
        gateway.operators,
        Metrics(time.process_time),
        Readiness(),
        small_limits(),
        random.Random(1),
    )


def unchecked_site() -> Site:
    """Return a site that believes whatever it is sent."""

    async def submit(request: JsonRequest) -> JsonResponse:
        tasks = msgspec.json.decode(request.body)
        replies = [
            {"status": "admitted", "task": {"id": str(r.task), **r.task._asdict()}}
            for r in admit_all(tasks)
        ]
        return json_response(200, {"replies": replies})

    return JsonSite(JsonResource(submit))


class Client:
    """Sends one request again and again over one connection."""

    def __init__(self, site: Site, body: bytes, status: int) -> None:
        self._conn = site.buildProtocol(None)
        self._transport = StringTransport()
        self._conn.makeConnection(self._transport)
        self._request = (
            f"POST /v1/tasks HTTP/1.1\r\nHost: cell\r\n"
            f"Authorization: Bearer {DISPATCH_KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self._expected = f"HTTP/1.1 {status} ".encode()

    def call(self) -> None:
        self._transport.clear()
        self._conn.dataReceived(self._request)
        if not self._transport.value().startswith(self._expected):
            raise RuntimeError(self._transport.value()[:200])


def cpu_us(act: Callable[[], None]) -> float:
    """Return microseconds of processor time of one call, of the quickest round."""
    began = time.process_time()
    act()
    once_s = max(time.process_time() - began, 1e-6)
    calls = max(1, int(BUDGET_S / ROUNDS / once_s))
    quickest = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(calls):
            act()
        quickest = min(quickest, (time.process_time() - began) / calls)
    return quickest * 1e6


def measure_submits() -> None:
    checked, unchecked = checked_site(), unchecked_site()
    for size in (1, 10, 100, 1000):
        body = msgspec.json.encode([task(n) for n in range(size)])
        cost = cpu_us(Client(checked, body, 200).call) / size
        baseline = cpu_us(Client(unchecked, body, 200).call) / size
        report("gateway", f"submit_cpu_per_task_batch_{size}", cost, "us", baseline)


def measure_bad_bodies() -> None:
    """Compare what a bad body costs with the same body when it is good."""
    site = checked_site()
    tasks = [task(n) for n in range(100)]
    good = cpu_us(Client(site, msgspec.json.encode(tasks), 200).call)
    last = [*tasks[:-1], {**tasks[-1], "resources": {"cores": -1}}]
    every = [{**each, "colour": "red", "urgent": "no"} for each in tasks]
    for name, bad in (("last", last), ("every", every)):
        cost = cpu_us(Client(site, msgspec.json.encode(bad), 400).call)
        report("gateway", f"refuse_100_tasks_{name}_one_bad", cost, "us", good)


def measure_metrics() -> None:
    """Compare counting here with the collectors of the library."""
    from aioprometheus import Histogram, Registry

    metrics = Metrics(time.process_time)
    library = Histogram("wait", "Waiting time.", registry=Registry())

    def observe() -> None:
        for _ in range(1000):
            metrics.observe_wait(WaitStage.STARTED, TaskKind.BATCH, 12)

    def observe_by_library() -> None:
        for _ in range(1000):
            library.observe({"kind": "batch"}, 0.012)

    cost = cpu_us(observe) / 1000
    baseline = cpu_us(observe_by_library) / 1000
    report("gateway", "observe_wait", cost, "us", baseline)
    metrics.set_share_distances({f"team-{n}": 0.0 for n in range(46)})
    metrics.set_leads({f"shard-{n}": 1 for n in range(7)})
    report(
        "gateway",
        "render_metrics_46_teams",
        cpu_us(lambda: metrics.render() and None),
        "us",
    )


def main() -> None:
    measure_submits()
    measure_bad_bodies()
    measure_metrics()


if __name__ == "__main__":
    main()
