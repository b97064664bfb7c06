"""Processor time, bytes and memory of links to stand-ins in another process.

Each figure is of the client alone. The baseline of a call is Twisted's ``Agent``
with a pool of persistent connections, without deadline, heartbeat or retry.
"""

from __future__ import annotations

import random
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from bench._report import report
from savorylead.clock import TwistedClock
from savorylead.contracts import TaskId
from savorylead.links import Connection, LinkReply, LinkRequest, LinkSettings
from savorylead.resources import Resources
from savorylead.store import Swapped
from savorylead.workers import StartOrder, Worker
from savorylead_daemon.http import (
    HttpLinks,
    HttpStore,
    HttpTransport,
    HttpWorkerContract,
)
from savorylead_standins.serving import PlatformPorts, read_platform

BENCH = "links"
EXAMPLE = Path(__file__).parents[1] / "examples" / "monteverde.json"
#: Ends the stand-ins even if this program is killed.
RUN_LIMIT_S = 60
CALLS = 250
ROUNDS = 4
IDLE_LINKS = 650
#: Attempts that a worker runs at the size of docs/CAPACITY.md: 7,500 on 650 workers.
RUNS_PER_WORKER = 12
LEASE = timedelta(seconds=15)
PATIENT = timedelta(seconds=10)


class StandIns:
    """The platform in a process of its own."""

    def __init__(self) -> None:
        command = [sys.executable, "-m", "savorylead_standins.serve"]
        options = ["--until-stdin-closes", "--run-limit-s", str(RUN_LIMIT_S)]
        self._process = subprocess.Popen(
            [*command, "--config", str(EXAMPLE), *options],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        line = self._process.stdout.readline()
        self.ports = msgspec.json.decode(line, type=dict[str, str])
        self.ports = PlatformPorts(**self.ports)

    def stop(self) -> None:
        self._process.stdin.close()
        self._process.wait()


def resident_kb() -> int:
    status = Path("/proc/self/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
    return int(line.split()[1])


Call = Callable[[], Coroutine[Any, Any, object]]


async def cpu_us(*calls: Call) -> list[float]:
    """Return for each call its processor time in the quickest round.

    The calls take turns, so that a change of the machine's load meets all.
    """
    best = [float("inf")] * len(calls)
    for _ in range(ROUNDS):
        for number, call in enumerate(calls):
            began = time.process_time()
            for _ in range(CALLS):
                await call()
            best[number] = min(best[number], time.process_time() - began)
    return [each / CALLS * 1e6 for each in best]


class Bench:
    """The clients whose cost is measured."""

    def __init__(self, ports: PlatformPorts) -> None:
        self.ports = ports
        self.clock = TwistedClock.starting_now(reactor)
        self.rng = random.Random(1)
        self.links = HttpLinks(
            reactor, self.clock, self.rng, {"x-client": "bench"}, LinkSettings()
        )
        worker = read_platform(EXAMPLE).fleet(f"{ports.workers}/workers")[0]
        self.worker: Worker = worker
        self.contract = HttpWorkerContract(self.links.open)
        self.pool = HTTPConnectionPool(reactor)
        self.agent = Agent(reactor, pool=self.pool)

    async def run(self) -> None:
        await self.compare_calls()
        await self.measure_store()
        await self.measure_renewals()
        await self.measure_idle_links()
        self.contract.close()
        await self.pool.closeCachedConnections()

    async def compare_calls(self) -> None:
        link = self.links.open(self.ports.vm_list)
        request = LinkRequest("GET", "/healthz", idempotent=True)
        conn = await HttpTransport(reactor, self.ports.vm_list).connect()
        resilient, bare, alone = await cpu_us(
            lambda: link.call(request, PATIENT),
            lambda: self.call_by_agent(self.ports.vm_list),
            lambda: self.call_on(conn, request),
        )
        report(BENCH, "cpu per call, against Agent", resilient, "us", bare)
        report(
            BENCH, "cpu per call, against its connection alone", resilient, "us", alone
        )
        conn.close()
        link.close()

    async def call_by_agent(self, endpoint: str) -> bytes:
        url = f"http://{endpoint}/healthz".encode()
        return await readBody(await self.agent.request(b"GET", url))

    async def call_on(self, conn: Connection, request: LinkRequest) -> LinkReply:
        return await conn.call(request)

    async def measure_store(self) -> None:
        calls = self.links.open(self.ports.store)
        key = "bench/1"
        store = HttpStore(self.clock, self.rng, calls, calls)
        revision = 0

        async def swap() -> None:
            nonlocal revision
            reply = await store.swap(key, bytes(2_000), revision)
            assert isinstance(reply, Swapped)
            revision = reply.revision

        write, read = await cpu_us(swap, lambda: store.get(key))
        report(BENCH, "cpu per swap of 2,000 bytes", write, "us")
        report(BENCH, "cpu per get of 2,000 bytes", read, "us")
        await self.report_bytes("swap of 2,000 bytes", swap())
        await self.report_bytes("get of 2,000 bytes", store.get(key))
        lease = await store.grant_lease(LEASE)
        await self.report_bytes("renewal of a store lease", store.renew_lease(lease))
        calls.close()

    async def measure_renewals(self) -> None:
        for runs in (0, RUNS_PER_WORKER, 10 * RUNS_PER_WORKER):
            await run_attempts(self.contract, self.worker, runs)
            [cost] = await cpu_us(lambda: self.contract.renew(self.worker, 1, LEASE))
            name = f"renewal with {runs} runs"
            report(BENCH, f"cpu per {name}", cost, "us")
            await self.report_bytes(name, self.contract.renew(self.worker, 1, LEASE))

    async def report_bytes(self, name: str, call: Awaitable[object]) -> None:
        traffic = self.links.traffic
        before = traffic.received + traffic.sent
        await call
        size = traffic.received + traffic.sent - before
        report(BENCH, f"bytes both ways per {name}", size, "bytes")

    async def measure_idle_links(self) -> None:
        request = LinkRequest("GET", "/healthz", idempotent=True)
        before_kb = resident_kb()
        links = [self.links.open(self.ports.vm_list) for _ in range(IDLE_LINKS)]
        unconnected_kb = resident_kb()
        for begin in range(0, IDLE_LINKS, 50):
            calls = [
                Deferred.fromCoroutine(link.call(request, PATIENT))
                for link in links[begin : begin + 50]
            ]
            await gatherResults(calls)
        connected_kb = resident_kb()
        unopened = (unconnected_kb - before_kb) / IDLE_LINKS
        report(BENCH, "memory per link before its first call", unopened, "KB")
        idle = (connected_kb - before_kb) / IDLE_LINKS
        report(BENCH, "memory per link with an idle connection", idle, "KB")
        report(BENCH, "memory of the whole process", connected_kb / 1024, "MB")
        for link in links:
            link.close()


async def run_attempts(contract: HttpWorkerContract, worker: Worker, runs: int) -> None:
    """Start attempts that last until the worker runs so many."""
    inventory = await contract.renew(worker, 1, LEASE)
    orders = [order(number) for number in range(len(inventory.runs), runs)]
    await contract.start(worker, 1, inventory.incarnation, orders)


def order(number: int) -> StartOrder:
    task = TaskId("planning", "routes", f"night-{number:06}")
    return StartOrder(task, 1, Resources(), '{"run_ms": null}')


def stop() -> None:
    if reactor.running:
        reactor.stop()


def main() -> None:
    stand_ins = StandIns()
    bench = Bench(stand_ins.ports)
    failures: list[Failure] = []

    def begin() -> None:
        running = Deferred.fromCoroutine(bench.run())
        running.addErrback(failures.append)
        running.addBoth(lambda _: stop())

    reactor.callWhenRunning(begin)
    reactor.callLater(RUN_LIMIT_S / 2, stop)
    try:
        reactor.run()
    finally:
        stand_ins.stop()
    for failure in failures:
        failure.raiseException()


if __name__ == "__main__":
    main()
