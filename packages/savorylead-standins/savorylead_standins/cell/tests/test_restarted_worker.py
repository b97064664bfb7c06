"""A VM restarts, or its lease expires, while tasks are being placed on it."""

import pytest

from savorylead.outcomes import Done, Unknown
from savorylead_daemon.services import RequestName
from savorylead_standins.cell import CellShape, FakeCell, key_of
from savorylead_standins.checkers import check_all


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("repeatable", [True, False])
def test_work_placed_on_a_vm_that_restarts_is_never_run_twice(seed, repeatable):
    cell = FakeCell(seed, CellShape(daemons=1, domains=1, workers_per_domain=2))
    cell.begin()
    cell.run(5)
    callers = cell.daemons["d1"].daemon.callers
    names = []
    for wave in range(20):
        tasks = [
            {
                "request": f"w{wave}-{number}",
                "workspace": "main",
                "queue": "day",
                "kind": "batch",
                "repeatable": repeatable,
                "resources": {"cores": 1},
                "run_time_s": 0.3,
                "payload": f'{{"run_ms": 300, "answer": "w{wave}-{number}"}}',
            }
            for number in range(3)
        ]
        names += [RequestName("main", task["request"]) for task in tasks]
        cell.do(callers.submit(key_of("dispatch"), tasks))
        # In each wave, the restart hits a different phase of the placement.
        cell.run(0.001 * wave)
        cell.workers[f"dom1-w{wave % 2 + 1}"].crash()
        cell.run(0.3)
    cell.run(60)
    views = []
    cell.do(callers.answers(key_of("dispatch"), names, cell.vm_lag), views.extend)
    cell.run(5)
    kinds = {type(view.outcome) for view in views}
    assert kinds <= ({Done} if repeatable else {Done, Unknown})
    assert cell.errors == []
    assert check_all(cell.finish(settled=False)) == []
