"""The attempt number moves with a task that is offered to another shard.

Otherwise a cancellation there would report that the task never started.
"""

from savorylead.outcomes import Cancelled
from savorylead_daemon.services import RequestName
from savorylead_standins.cell import CellShape, FakeCell, key_of

#: Runs until it is stopped.
TASK = {
    "request": "r1",
    "workspace": "main",
    "queue": "day",
    "kind": "service",
    "resources": {"cores": 4},
    "payload": '{"run_ms": null}',
}


def test_cancel_after_a_move_says_that_it_started():
    cell = FakeCell(1, CellShape(workers_per_domain=1))
    cell.begin()
    cell.run(5)
    callers = cell.daemons["d1"].daemon.callers
    cell.do(callers.submit(key_of("dispatch"), [TASK]))
    cell.run(8)
    first = next(name for name, w in cell.workers.items() if w.running())
    cell.leave_worker(first)
    cell.workers[first].accepting = False
    # No worker starts it again before it is cancelled.
    for worker in cell.workers.values():
        worker.accepting = False
    cell.run(30)
    views = []
    name = RequestName("main", "r1")
    cell.do(callers.cancel(key_of("dispatch"), [name]), views.extend)
    cell.run(20)
    assert cell.finish().executions
    assert cell.errors == []
    assert [view.outcome for view in views] == [Cancelled(started=True)]
