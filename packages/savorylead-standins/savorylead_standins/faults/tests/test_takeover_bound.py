"""Urgent work starts within 7.5 s after a daemon that may lead its shard is killed."""

import random

import pytest

from savorylead.contracts import TaskId
from savorylead_standins.cell import CellVariant, key_of
from savorylead_standins.checkers import check_all
from savorylead_standins.faults import SHAPE, FaultyCell, RecordingCaller, Request

URGENT_BOUND_MS = 7_500
TASKS = 9


def request(name):
    task = {
        "request": name,
        "workspace": "main",
        "queue": "day",
        "kind": "batch",
        "resources": {"cores": 0.5, "memory_mb": 100},
        "urgent": True,
        "repeatable": False,
        "payload": f'{{"run_ms": 200, "answer": "{name}"}}',
    }
    key = key_of("dispatch")
    return Request(task, key, key, TaskId("dispatch", "main", name))


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("killed", ["d1", "d2", "d3"])
def test_urgent_work_starts_within_the_bound_after_a_kill(killed, seed):
    cell = FaultyCell(seed, SHAPE, CellVariant())
    cell.begin()
    cell.run(8)
    caller = RecordingCaller(cell, random.Random(seed))
    for number in range(TASKS):
        caller.submit(request(f"before-{number}"))
    cell.run(5)
    killed_at_ms = cell.now_ms()
    cell.kill(killed)
    for number in range(TASKS):
        caller.submit(request(f"after-{number}"))
    cell.run(30)
    history = cell.finish()
    delays = [
        execution.started_at_ms - killed_at_ms
        for execution in history.executions
        if execution.task.request.startswith("after-")
    ]
    assert len(delays) == TASKS
    assert max(delays) <= URGENT_BOUND_MS
    assert check_all(history) == []
