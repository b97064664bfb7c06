"""A planned stop: order, time limit, and the responses that it waits for."""

from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from savorylead.contracts import TaskId
from savorylead.store import StoreUnavailableError
from savorylead_daemon.daemon import PlannedStop, StoppingDaemon
from savorylead_daemon.observability import EventLog
from savorylead_standins.services import DISPATCH_KEY, MemoryGateway

STEPS = ["drain", "hand_over", "stop_listening", "leave"]


class RecordingDaemon(StoppingDaemon):
    """Records the steps; one of them may hang or fail."""

    def __init__(self, hangs="", fails=""):
        self.steps = []
        self._hangs = hangs
        self._fails = fails

    def drain(self):
        self.steps.append("drain")

    async def hand_over(self):
        await self._step("hand_over")

    async def stop_listening(self):
        await self._step("stop_listening")

    async def leave(self):
        await self._step("leave")

    async def _step(self, name):
        self.steps.append(name)
        if name == self._hangs:
            await Deferred()
        if name == self._fails:
            raise StoreUnavailableError


def start(gateway, daemon, bound_s=20):
    log = EventLog(gateway.clock, lines_per_event_per_s=10)
    bound = timedelta(seconds=bound_s)
    stop = PlannedStop(daemon, [gateway.site], gateway.clock, log, bound)
    return Deferred.fromCoroutine(stop.run())


def advance(gateway, seconds):
    for _ in range(int(seconds * 20)):
        gateway.time.advance(0.05)


def wait_for_answer(gateway):
    conn = gateway.connect()
    task = {
        "request": "a",
        "workspace": "tours",
        "queue": "open",
        "kind": "batch",
        "resources": {},
    }
    conn.call("POST", "/v1/tasks", task, DISPATCH_KEY)
    query = {"requests": [{"workspace": "tours", "request": "a"}], "wait_s": 30}
    conn.request("POST", "/v1/answers", query, DISPATCH_KEY)
    return conn


def test_the_balancer_is_given_time_before_the_first_step():
    gateway, daemon = MemoryGateway(), RecordingDaemon()
    ended = start(gateway, daemon)
    advance(gateway, 0.9)
    assert daemon.steps == []
    advance(gateway, 0.2)
    assert daemon.steps == STEPS
    assert ended.called


@pytest.mark.parametrize(
    ("hangs", "within_s"), [("hand_over", 22), ("stop_listening", 22), ("leave", 4)]
)
def test_a_step_that_hangs_does_not_hold_the_process(hangs, within_s):
    gateway, daemon = MemoryGateway(), RecordingDaemon(hangs=hangs)
    ended = start(gateway, daemon)
    advance(gateway, 2)
    assert not ended.called
    advance(gateway, within_s - 2)
    assert daemon.steps == STEPS
    assert ended.called


@pytest.mark.parametrize("fails", ["hand_over", "stop_listening", "leave"])
def test_a_step_that_fails_does_not_skip_the_others(fails):
    gateway, daemon = MemoryGateway(), RecordingDaemon(fails=fails)
    ended = start(gateway, daemon)
    advance(gateway, 2)
    assert daemon.steps == STEPS
    assert ended.called


def test_the_stop_waits_until_an_open_call_is_answered():
    gateway, daemon = MemoryGateway(), RecordingDaemon()
    conn, idle = wait_for_answer(gateway), gateway.connect()
    ended = start(gateway, daemon)
    advance(gateway, 5)
    assert daemon.steps == STEPS[:3]
    assert idle.is_cut()
    idle.leave()
    gateway.callers.end(TaskId("dispatch", "tours", "a"), "ready")
    assert conn.replies()[-1].document()["tasks"][0]["outcome"]["result"] == "ready"
    # The handler has ended, but bytes may be unsent until the connection closes.
    advance(gateway, 1)
    assert not ended.called
    conn.leave()
    advance(gateway, 0.1)
    assert ended.called


def test_a_client_that_never_reads_does_not_hold_the_process():
    gateway, daemon = MemoryGateway(), RecordingDaemon()
    wait_for_answer(gateway)
    ended = start(gateway, daemon, bound_s=5)
    advance(gateway, 5.5)
    assert not ended.called
    advance(gateway, 2)
    assert daemon.steps == STEPS
    assert ended.called


@pytest.mark.parametrize("hangs", ["", "hand_over"])
def test_a_call_that_cannot_be_answered_in_time_gets_status_503_and_is_not_cut(hangs):
    gateway, daemon = MemoryGateway(), RecordingDaemon(hangs=hangs)
    conn = wait_for_answer(gateway)
    start(gateway, daemon, bound_s=5)
    advance(gateway, 6.5)
    assert conn.replies()[-1].status == 503
    assert conn.replies()[-1].document()["error"]["code"] == "cancelled"
    assert conn.is_cut()
