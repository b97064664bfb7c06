"""HttpWorkerContract, HttpVmList and their servers, over loopback connections."""

from __future__ import annotations

from datetime import timedelta

import pytest

from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.workers import (
    RunState,
    StaleEpoch,
    StartAccepted,
    StartOrder,
    StartRefused,
    WorkerTimeoutError,
    WrongIncarnation,
)
from savorylead_standins.serving._loopback_platform import error_of, run_with_platform

_LEASE = timedelta(seconds=15)
_TASK = TaskId("dispatch", "bookings", "r1")
_ORDER = StartOrder(_TASK, 1, Resources(1000, 64, 0, 1), '{"run_ms": null}')
_LARGE = StartOrder(TaskId("dispatch", "bookings", "r2"), 1, Resources(10**6), "")


def test_worker_commands():
    async def test(platform):
        workers = platform.workers
        worker = platform.server.workers[0].worker
        inventory = await workers.renew(worker, 3, _LEASE)
        assert (inventory.accepting, inventory.runs) == (True, ())
        inc = inventory.incarnation
        assert await workers.start(worker, 3, inc, [_ORDER, _LARGE]) == [
            StartAccepted(_TASK),
            StartRefused(_LARGE.task, "capacity"),
        ]
        throttled = await workers.throttle(worker, 3, inc, [(_TASK, 1, Resources(5))])
        assert [report.state for report in throttled] == [RunState.RUNNING]
        assert await workers.stop(worker, 2, inc, [(_TASK, 1)]) == StaleEpoch(3)
        assert await workers.renew(worker, 2, _LEASE) == StaleEpoch(3)
        wrong = await workers.checkpoint(worker, 3, "other", [(_TASK, 1)])
        assert wrong == WrongIncarnation(inc)
        reports = await workers.checkpoint(worker, 3, inc, [(_TASK, 1)])
        assert [report.state for report in reports] == [RunState.CHECKPOINTED]
        reports = await workers.stop(worker, 3, inc, [(_LARGE.task, 1)])
        assert [report.state for report in reports] == [RunState.NEVER_STARTED]
        runs = (await workers.renew(worker, 3, _LEASE)).runs
        assert [run.task for run in runs] == [_TASK]
        assert await workers.release(worker, 3, inc, [(_TASK, 1)]) is None
        assert (await workers.renew(worker, 3, _LEASE)).runs == ()

    run_with_platform(test)


@pytest.mark.parametrize(
    ("faults", "error", "starts"),
    [
        ({"cut_off": True}, WorkerTimeoutError, 0),
        ({"reply_lost_rate": 1}, WorkerTimeoutError, 1),
        ({"late_rate": 1, "late_ms": 700}, WorkerTimeoutError, 0),
        ({"latency_ms": 2000}, WorkerTimeoutError, 0),
        ({"broken": True}, None, 1),
    ],
)
def test_worker_faults(faults, error, starts):
    async def test(platform):
        hosted = platform.server.workers[0]
        inventory = await platform.workers.renew(hosted.worker, 1, _LEASE)
        await platform.change_worker(hosted.worker.name, **faults)
        contract = platform.hasty_workers if error else platform.workers
        start = contract.start(hosted.worker, 1, inventory.incarnation, [_ORDER])
        assert await error_of(start) is error
        assert hosted.starts[_TASK] == starts
        if "late_rate" in faults or "latency_ms" in faults:
            # The order was under way, so it takes effect after all.
            await platform.until(lambda: hosted.starts[_TASK] == 1)

    run_with_platform(test)


def test_a_crashed_worker_declines_its_old_orders():
    async def test(platform):
        hosted = platform.server.workers[0]
        inventory = await platform.workers.renew(hosted.worker, 1, _LEASE)
        await platform.change_worker(hosted.worker.name, crash=True)
        reply = await platform.workers.start(
            hosted.worker, 1, inventory.incarnation, [_ORDER]
        )
        assert isinstance(reply, WrongIncarnation)

    run_with_platform(test)


def test_the_vm_list_shows_a_leaving_worker_after_its_lag():
    async def test(platform):
        first = platform.server.workers[0].worker
        await platform.change_worker(first.name, leaving=True)
        assert platform.server.workers[0].accepting is False
        entries = await platform.vms.read()
        while not any(entry.leaving for entry in entries):
            entries = await platform.vms.read()
        assert len(entries) == 27
        assert [e.worker for e in entries if e.leaving] == [first]
        inventory = await platform.workers.renew(first, 1, _LEASE)
        assert not inventory.accepting

    run_with_platform(test)


def test_a_long_inventory_arrives_whole():
    async def test(platform):
        hosted = platform.server.workers[0]
        inventory = await platform.workers.renew(hosted.worker, 1, _LEASE)
        orders = [
            _ORDER._replace(task=_TASK._replace(request=f"r{n}"), resources=Resources())
            for n in range(10_000)
        ]
        hosted.start(1, inventory.incarnation, orders)
        reply = await platform.workers.renew(hosted.worker, 1, _LEASE)
        assert [run.task for run in reply.runs] == [order.task for order in orders]

    run_with_platform(test)
