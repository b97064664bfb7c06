"""A waiting call must wait at the lead instead of polling it."""

from datetime import UTC, datetime, timedelta

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from savorylead.clock import TwistedClock
from savorylead.contracts import TaskId
from savorylead.journal import Phase
from savorylead_daemon.cell import TeamKey
from savorylead_daemon.gateway import CallerGateway, GatewayTimes
from savorylead_daemon.lead import ABSENT_PHASE
from savorylead_daemon.peers import ViewsAnswer
from savorylead_daemon.services import RequestName, TaskView

MOST_MESSAGES = 20


class KeyVerifier:
    def check_key(self, key):
        return TeamKey("dispatch", "dispatch")

    def document(self):
        return {
            "workspaces": {"dispatch/main": {"home_region": "north"}},
            "shards": {"s1": {"region": "north"}},
        }


class LocalLead:
    """Answers a message without a wait synchronously, as a lead in this process."""

    def __init__(self, clock, phase):
        self.messages = 0
        self._clock = clock
        self._phase = phase

    async def ask(self, shard, message, until):
        self.messages += 1
        assert self.messages <= MOST_MESSAGES
        if message.wait_ms and self._phase != ABSENT_PHASE:
            await self._clock.sleep(timedelta(milliseconds=message.wait_ms))
        task = TaskId("dispatch", "main", "r1")
        view = TaskView(task, self._phase, "s1", "", 0, 0, None)
        return ViewsAnswer((view,))


@pytest.mark.parametrize(
    ("phase", "wait", "most_messages"),
    [
        (Phase.PLACED.value, timedelta(seconds=2), 1),
        (Phase.PLACED.value, timedelta(seconds=2, microseconds=400), 1),
        (Phase.PLACED.value, timedelta(microseconds=1), 1),
        (Phase.PLACED.value, timedelta(seconds=12), 3),
        (ABSENT_PHASE, timedelta(seconds=2), 1),
    ],
)
def test_waiting_costs_few_messages(phase, wait, most_messages):
    time = Clock()
    clock = TwistedClock(time, datetime(2026, 1, 1, tzinfo=UTC))
    lead = LocalLead(clock, phase)
    gateway = CallerGateway(KeyVerifier(), lead, clock, GatewayTimes())
    views = Deferred.fromCoroutine(
        gateway.answers("key", [RequestName("main", "r1")], wait)
    )
    time.pump([0.5] * 30)
    assert views.called
    assert [view.phase for view in views.result] == [phase]
    assert lead.messages <= most_messages
