"""End-to-end path of a task through daemons: submit, place, run and answer."""

from datetime import timedelta

import pytest

from savorylead.outcomes import Done
from savorylead_daemon.services import Admitted, RequestName
from savorylead_standins.cell import CellShape, FakeCell, key_of
from savorylead_standins.checkers import check_all


def tasks(count, **fields):
    return [
        {
            "request": f"r{number}",
            "workspace": "main",
            "queue": "day",
            "kind": "batch",
            "resources": {"cores": 1, "memory_mb": 100},
            "run_time_s": 0.5,
            "payload": f'{{"run_ms": 500, "answer": "r{number}"}}',
            **fields,
        }
        for number in range(count)
    ]


def begun(seed=1, **shape):
    cell = FakeCell(seed, CellShape(**shape))
    cell.begin()
    cell.run(5)
    return cell


def test_every_shard_gets_one_lead():
    cell = begun()
    assert {len(names) for names in cell.leads().values()} == {1}
    assert cell.errors == []


@pytest.mark.parametrize("gateway", ["d1", "d2", "d3"])
def test_tasks_run_once_and_are_answered(gateway):
    cell = begun()
    callers = cell.daemons[gateway].daemon.callers
    replies, views = [], []
    cell.do(callers.submit(key_of("dispatch"), tasks(10)), replies.extend)
    cell.run(2)
    names = [RequestName("main", f"r{number}") for number in range(10)]
    cell.do(
        callers.answers(key_of("dispatch"), names, timedelta(seconds=1)), views.extend
    )
    cell.run(2)
    assert all(isinstance(reply, Admitted) for reply in replies)
    assert [view.outcome.result for view in views] == [n.request for n in names]
    assert all(isinstance(view.outcome, Done) for view in views)
    history = cell.finish(settled=False)
    assert len(history.executions) == 10
    assert cell.errors == []
    assert check_all(history) == []
