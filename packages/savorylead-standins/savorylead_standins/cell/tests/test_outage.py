"""Long outages of the store, with and without the death of a lead."""

import pytest

from savorylead_daemon.services import RequestName
from savorylead_standins.cell import CellShape, FakeCell, key_of
from savorylead_standins.checkers import check_all

SERVICES = 6


def cell_with_services(daemons=3):
    cell = FakeCell(11, CellShape(daemons=daemons))
    cell.begin()
    cell.run(5)
    tasks = [
        {
            "request": f"s{number}",
            "workspace": "main",
            "queue": "day",
            "kind": "service",
            "resources": {"cores": 1},
            "payload": '{"run_ms": null}',
        }
        for number in range(SERVICES)
    ]
    cell.do(cell.daemons["d1"].daemon.callers.submit(key_of("dispatch"), tasks))
    cell.run(5)
    assert running(cell) == SERVICES
    return cell


def running(cell):
    return sum(len(worker.running()) for worker in cell.workers.values())


def starts(cell):
    return sum(sum(worker.starts.values()) for worker in cell.workers.values())


@pytest.mark.parametrize("dies", ["", "d1", "d2", "d3"])
@pytest.mark.parametrize("outage_s", [30, 300])
def test_services_run_on_through_an_outage(dies, outage_s):
    cell = cell_with_services()
    cell.store_faults.down = True
    cell.run(10)
    if dies:
        cell.kill(dies)
    cell.run(outage_s)
    assert running(cell) == SERVICES
    cell.store_faults.down = False
    cell.run(60)
    assert (running(cell), starts(cell)) == (SERVICES, SERVICES)
    assert all(len(names) == 1 for names in cell.leads().values())
    assert cell.errors == []
    assert check_all(cell.finish(settled=False)) == []


@pytest.mark.parametrize("dies", ["d1", "d2", "d3", "d4", "d5", "d6"])
def test_a_daemon_that_leads_nothing_takes_care_as_well(dies):
    cell = cell_with_services(daemons=6)
    cell.store_faults.down = True
    cell.run(10)
    cell.kill(dies)
    cell.run(120)
    assert (running(cell), starts(cell)) == (SERVICES, SERVICES)


def test_a_lead_without_a_majority_lets_its_leases_lapse():
    cell = cell_with_services()
    lone = cell.leads()["dom1"][0]
    others = [name for name in cell.daemons if name != lone]
    cell.store_faults.cut.add(lone)
    cell.network_plan.cut |= {frozenset((lone, other)) for other in others}
    cell.run(120)
    assert cell.leads()["dom1"] != [lone]
    assert running(cell) == SERVICES
    assert cell.errors == []
    assert check_all(cell.finish(settled=False)) == []


def test_a_worker_that_only_the_cut_off_lead_reaches_runs_nothing_twice():
    cell = cell_with_services()
    lone = cell.leads()["dom1"][0]
    others = [name for name in cell.daemons if name != lone]
    cell.store_faults.cut.add(lone)
    cell.network_plan.cut |= {
        frozenset((end, other))
        for other in others
        for end in (lone, "dom1-w1", "dom1-w2")
    }
    cell.run(240)
    assert cell.errors == []
    assert check_all(cell.finish(settled=False)) == []


def test_keyed_work_is_refused_once_a_member_is_out_of_reach_in_an_outage():
    cell = cell_with_services()
    cell.store_faults.down = True
    cell.kill("d3")
    cell.run(15)
    refusals = []

    async def ask():
        callers = cell.daemons["d1"].daemon.callers
        names = [RequestName("main", "s0")]
        try:
            await callers.cancel(key_of("dispatch"), names)
        except Exception as exc:
            refusals.append(exc.reason)

    cell.do(ask())
    cell.run(15)
    assert refusals == ["config_stale"]
