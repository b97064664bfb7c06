"""A leaving worker gets no start order.

A store outage may make a placement durable only after the worker began to leave.
"""

import pytest

from savorylead.contracts import TaskId
from savorylead_standins.cell import FakeCell, key_of

TASK = {
    "request": "r1",
    "workspace": "main",
    "queue": "day",
    "kind": "batch",
    "resources": {"cores": 1},
    "payload": '{"run_ms": 100}',
}


LATE = [f"late-{number}" for number in range(8)]


def placed_workers(cell):
    leads = [
        lead
        for running in cell.daemons.values()
        for lead in running.daemon.supervisor.leads.values()
    ]
    records = [
        lead.records.get(TaskId("dispatch", "main", name))
        for lead in leads
        for name in LATE
    ]
    return sorted({record.worker for record in records if record and record.worker})


@pytest.mark.parametrize("repeatable", [True, False])
def test_placement_that_is_durable_late_goes_elsewhere(repeatable):
    cell = FakeCell(1)
    cell.begin()
    cell.run(10)
    for worker in cell.workers.values():
        worker.refuses_when_leaving = False
    callers = cell.daemons["d1"].daemon.callers
    # Earlier tasks make the shards acquire grants of the team's upper limit.
    earlier = [{**TASK, "request": f"earlier-{number}"} for number in range(24)]
    cell.do(callers.submit(key_of("dispatch"), earlier))
    cell.run(10)
    tasks = [{**TASK, "request": name, "repeatable": repeatable} for name in LATE]
    cell.do(callers.submit(key_of("dispatch"), tasks))
    cell.store_faults.down = True
    cell.run(1)
    leaving = placed_workers(cell)[0]
    cell.leave_worker(leaving)
    cell.workers[leaving].accepting = False
    cell.run(12)
    cell.store_faults.down = False
    cell.run(15)
    late = [e for e in cell.finish().executions if e.task.request in LATE]
    assert sorted(e.task.request for e in late) == LATE
    assert leaving not in {e.worker for e in late}
