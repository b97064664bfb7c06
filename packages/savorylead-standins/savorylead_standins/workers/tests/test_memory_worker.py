"""The stand-in worker keeps the contract, its unkind parts included."""

import random
from datetime import UTC, datetime, timedelta

import pytest
from twisted.internet.task import Clock as FakeReactorTime

from savorylead.clock import TwistedClock
from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.workers import (
    RunState,
    StaleEpoch,
    StartAccepted,
    StartOrder,
    StartRefused,
    Worker,
    WrongIncarnation,
)
from savorylead_standins.workers import MemoryWorker

CAPACITY = Resources(4000, 4096, 0, 8, 64)
LEASE = timedelta(seconds=15)
TASK = TaskId("dispatch", "bookings", "r1")
ORDER = StartOrder(TASK, 1, Resources(1000, 64, 0, 1), '{"run_ms": null}')


class Bench:
    """A worker on a fake clock."""

    def __init__(self):
        self.time = FakeReactorTime()
        clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        worker = Worker("w1", "d1", "r1", CAPACITY)
        self.worker = MemoryWorker(worker, clock, random.Random(1))

    def renew(self, epoch=1):
        return self.worker.renew(epoch, LEASE)

    def start(self, epoch=1, incarnation=None, order=ORDER):
        incarnation = incarnation or self.worker.inventory().incarnation
        return self.worker.start(epoch, incarnation, [order])


def test_equal_orders_start_once():
    bench = Bench()
    bench.renew()
    assert bench.start() == bench.start() == [StartAccepted(TASK)]
    assert bench.worker.starts[TASK] == 1


@pytest.mark.parametrize(
    ("prepare", "expected"),
    [
        (lambda b: b.renew(epoch=2), StaleEpoch),
        (lambda b: b.worker.crash(), WrongIncarnation),
        (lambda b: b.time.advance(15), WrongIncarnation),
    ],
)
def test_order_under_way_is_declined(prepare, expected):
    bench = Bench()
    incarnation = bench.renew().incarnation
    prepare(bench)
    assert isinstance(bench.start(incarnation=incarnation), expected)
    assert bench.worker.running() == []


@pytest.mark.parametrize("command", ["stop", "release"])
def test_attempt_that_was_given_up_never_starts(command):
    bench = Bench()
    incarnation = bench.renew().incarnation
    if command == "release":
        bench.start()
    bench.worker.stop(1, incarnation, [(TASK, 1)])
    bench.worker.release(1, incarnation, [(TASK, 1)])
    assert isinstance(bench.start()[0], StartRefused)


def test_lapse_stops_everything_and_keeps_the_report():
    bench = Bench()
    bench.renew()
    bench.start()
    bench.time.advance(10)
    bench.renew()
    bench.time.advance(14)
    assert len(bench.worker.running()) == 1
    bench.time.advance(1)
    assert bench.worker.running() == []
    assert bench.renew().runs[0].state is RunState.STOPPED


def test_report_without_lease_renews_nothing():
    bench = Bench()
    bench.renew()
    bench.start()
    bench.time.advance(14)
    assert bench.worker.renew(1, timedelta(0)).runs[0].state is RunState.RUNNING
    bench.time.advance(1)
    assert bench.worker.running() == []


@pytest.mark.parametrize(
    ("cores_milli", "expected"), [(3000, StartAccepted), (3001, StartRefused)]
)
def test_never_more_than_capacity(cores_milli, expected):
    bench = Bench()
    bench.renew()
    bench.start()
    second = ORDER._replace(
        task=TASK._replace(request="r2"), resources=Resources(cores_milli, 64, 0, 1)
    )
    assert isinstance(bench.start(order=second)[0], expected)
