"""Waiting for outcomes must not fail if the clock is set back during the wait."""

from datetime import timedelta

import pytest

from savorylead_daemon.services import RequestName
from savorylead_standins.cell import FakeCell, key_of

TASK = {
    "request": "r1",
    "workspace": "main",
    "queue": "day",
    "kind": "service",
    "resources": {"cores": 1},
    "payload": '{"run_ms": null}',
}


@pytest.mark.parametrize("gateway", ["d1", "d2", "d3"])
@pytest.mark.parametrize("jump", [timedelta(0), timedelta(milliseconds=-800)])
def test_wait_ends_with_what_is_known(gateway, jump):
    cell = FakeCell(1)
    cell.begin()
    cell.run(5)
    callers = cell.daemons[gateway].daemon.callers
    cell.do(callers.submit(key_of("dispatch"), [TASK]))
    cell.run(3)
    views = []
    wait = timedelta(seconds=2)
    answers = callers.answers(key_of("dispatch"), [RequestName("main", "r1")], wait)
    cell.do(answers, views.extend)
    cell.run(1)
    for running in cell.daemons.values():
        running.process.clock_offset = jump
    cell.run(4)
    assert cell.errors == []
    assert [view.outcome for view in views] == [None]
