"""Two regions: calls between them, and a partition of one hour."""

from datetime import timedelta

import pytest

from savorylead.outcomes import Done
from savorylead_daemon.services import Admitted, RefusedError, RequestName
from savorylead_standins.cell import CellShape, FakeCell, key_of, region_of
from savorylead_standins.checkers import check_all

#: Home regions are assigned to the teams in turn.
TEAM_OF = {"north": "dispatch", "south": "planning"}
SERVICES = 4
AN_HOUR_S = 3600


def begun():
    cell = FakeCell(3, CellShape(daemons=6, domains=4, regions=2))
    cell.begin()
    cell.run(5)
    return cell


def gateway_in(cell, region):
    return next(
        running.daemon.callers
        for running in cell.daemons.values()
        if running.daemon.membership.member.region == region
    )


def task(name, kind="batch"):
    run = "null" if kind == "service" else "200"
    return {
        "request": name,
        "workspace": "main",
        "queue": "day",
        "kind": kind,
        "resources": {"cores": 1},
        "run_time_s": 0.2,
        "payload": f'{{"run_ms": {run}, "answer": "{name}"}}',
    }


def submit(cell, via, team, tasks):
    """Return the replies, or the reason why the call was refused."""
    results = []

    async def call():
        try:
            results.extend(await gateway_in(cell, via).submit(key_of(team), tasks))
        except RefusedError as exc:
            results.append(exc.reason.value)

    cell.do(call())
    cell.run(12)
    return results


def running_in(cell, region):
    return [
        execution
        for worker in cell.workers.values()
        if region_of(cell.shape, worker.worker.domain) == region
        for execution in worker.running()
    ]


@pytest.mark.parametrize("via", ["north", "south"])
@pytest.mark.parametrize("home", ["north", "south"])
def test_a_task_runs_in_its_home_region_whichever_gateway_takes_it(via, home):
    cell = begun()
    team = TEAM_OF[home]
    replies = submit(cell, via, team, [task(f"r{n}") for n in range(4)])
    assert all(isinstance(reply, Admitted) for reply in replies)
    views = []
    names = [RequestName("main", f"r{n}") for n in range(4)]
    answers = gateway_in(cell, via).answers(key_of(team), names, timedelta(0))
    cell.do(answers, views.extend)
    cell.run(2)
    assert all(isinstance(view.outcome, Done) for view in views)
    assert {region_of(cell.shape, view.worker[:4]) for view in views} == {home}


def test_regions_that_lose_each_other_for_an_hour_keep_their_work():
    cell = begun()
    for region, team in TEAM_OF.items():
        services = [task(f"s{n}", "service") for n in range(SERVICES)]
        submit(cell, region, team, services)
        assert len(running_in(cell, region)) == SERVICES
    cell.cut_regions(without_store="south")
    cell.run(AN_HOUR_S / 2)
    # The region with the store continues; the other one refuses calls with keys.
    north = submit(cell, "north", "dispatch", [task("during")])
    assert isinstance(north[0], Admitted)
    assert submit(cell, "south", "planning", [task("during")]) == ["config_stale"]
    cell.run(AN_HOUR_S / 2)
    assert len(running_in(cell, "south")) == SERVICES
    cell.join_regions()
    cell.run(60)
    again = submit(cell, "north", "planning", [task("after")])
    assert isinstance(again[0], Admitted)
    assert all(len(names) == 1 for names in cell.leads().values())
    starts = [sum(worker.starts.values()) for worker in cell.workers.values()]
    assert sum(starts) == 2 * SERVICES + 2
    assert cell.errors == []
    assert check_all(cell.finish(settled=False)) == []
