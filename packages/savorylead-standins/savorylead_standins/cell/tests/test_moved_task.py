"""The home shard keeps an overflowed task until the other shard has discarded it."""

from datetime import timedelta

from savorylead.contracts import TaskId
from savorylead_daemon.daemon import DaemonTimes
from savorylead_daemon.gateway import home_shard
from savorylead_daemon.lead import LeadTimes
from savorylead_daemon.services import Admitted, RequestName
from savorylead_standins.cell import CellShape, CellVariant, FakeCell, key_of
from savorylead_standins.checkers import check_all

RETENTION = timedelta(minutes=2)


class ShortRetention(CellVariant):
    """Uses a short retention time for ended tasks."""

    def times(self):
        return DaemonTimes(lead=LeadTimes(retention=RETENTION))


def begun():
    """Return a cell in which all shards but dom1 have one accelerator each.

    A service that uses it leaves its shard without a free accelerator, so a second
    offer of the service would go to the other shard.
    """
    cell = FakeCell(5, CellShape(workers_per_domain=1), ShortRetention())
    for name, worker in cell.workers.items():
        if not name.startswith("dom1"):
            capacity = worker.worker.capacity._replace(accelerators=1)
            worker.worker = worker.worker._replace(capacity=capacity)
    cell.history.capacities = {n: w.worker.capacity for n, w in cell.workers.items()}
    cell.begin()
    cell.run(5)
    return cell


def moved_request(cell):
    """Return a request whose home shard has no accelerators."""
    document = cell.daemons["d1"].daemon.config.current.document
    names = (f"r{number}" for number in range(100))
    return next(
        name
        for name in names
        if home_shard(document, TaskId("dispatch", "main", name)) == "dom1"
    )


def task(name, run_ms):
    return {
        "request": name,
        "workspace": "main",
        "queue": "day",
        "kind": "service",
        "resources": {"cores": 1, "accelerators": 1},
        "payload": f'{{"run_ms": {run_ms}, "answer": "{name}"}}',
    }


def runs(cell):
    return [
        execution
        for worker in cell.workers.values()
        for execution in worker.executions + worker.running()
    ]


def test_repeat_of_a_moved_service_finds_it_after_the_retention_time():
    cell = begun()
    name = moved_request(cell)
    callers = cell.daemons["d1"].daemon.callers
    replies = []
    for _ in range(4):
        cell.do(
            callers.submit(key_of("dispatch"), [task(name, "null")]), replies.extend
        )
        cell.run(RETENTION.total_seconds())
    assert all(isinstance(reply, Admitted) for reply in replies)
    assert len(runs(cell)) == 1
    assert cell.errors == []
    assert check_all(cell.finish(settled=False)) == []


def test_moved_task_is_forgotten_at_home_after_it_is_forgotten_elsewhere():
    cell = begun()
    name = moved_request(cell)
    callers = cell.daemons["d1"].daemon.callers
    cell.do(callers.submit(key_of("dispatch"), [task(name, "100")]))
    cell.run(10)
    views = []
    names = [RequestName("main", name)]
    cell.do(callers.answers(key_of("dispatch"), names, timedelta(0)), views.extend)
    cell.run(1)
    assert views[0].outcome.result == name
    cell.run(3 * RETENTION.total_seconds())
    known = [
        lead.records
        for running in cell.daemons.values()
        for lead in running.daemon.supervisor.leads.values()
        if lead.records
    ]
    assert known == []
