"""Limits that are lowered, raised or removed while tasks run."""

from twisted.internet.defer import Deferred

from savorylead.contracts import (
    limit_from_amounts,
    read_limit_records,
)
from savorylead.resources import ZERO
from savorylead_standins.limits import (
    ONE,
    TEAM,
    LimitCell,
    drive,
    fill,
    make_cell,
    record,
)


def test_lowered_limit_is_in_force_when_tasks_have_ended():
    cell = make_cell()
    for shard in range(2):
        cell.lead_of(shard).want(TEAM, ONE.times(20))
        cell.advance(4)
        for _ in range(20):
            assert cell.start(shard, TEAM, ONE)
        cell.lead_of(shard).want(TEAM, ZERO)
    assert cell.running(TEAM).cores_milli == 40_000
    cell.set_limits({TEAM: limit_from_amounts({"cores": 10})})
    cell.advance(10)
    assert record(cell).limit.cores_milli == 10_000
    assert not record(cell).fully_in_force()
    assert fill(cell, 0) == 0
    excess = [cell.lead_of(s).limits.excess(TEAM).cores_milli for s in (0, 1)]
    assert sum(excess) == 30_000
    for shard in (0, 1):
        for number in list(cell.shards[shard].running)[: excess[shard] // 1000]:
            cell.end(shard, number)
    cell.advance(3)
    assert record(cell).fully_in_force()
    assert cell.running(TEAM).cores_milli == 10_000
    drive(cell, 10, range(3), end_per_s=1)
    assert cell.running(TEAM).cores_milli <= 10_000


def test_lowered_limit_takes_idle_grants_first():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(20))
    cell.lead_of(1).want(TEAM, ONE.times(20))
    cell.advance(2)
    cell.lead_of(1).want(TEAM, ZERO)
    for _ in range(10):
        cell.start(0, TEAM, ONE)
    cell.set_limits({TEAM: limit_from_amounts({"cores": 12})})
    cell.advance(4)
    assert record(cell).fully_in_force()
    assert cell.lead_of(0).limits.excess(TEAM) == ZERO


def test_limit_lowered_from_unlimited():
    cell = LimitCell(2, {TEAM: limit_from_amounts({})})
    for shard in (0, 1):
        cell.lead_of(shard).want(TEAM, ONE)
    cell.advance(1)
    for _ in range(8):
        cell.start(0, TEAM, ONE)
    cell.set_limits({TEAM: limit_from_amounts({"cores": 10})})
    for shard in (0, 1):
        cell.lead_of(shard).want(TEAM, ONE.times(10))
    drive(cell, 8, [0, 1])
    assert record(cell).fully_in_force()
    assert cell.running(TEAM).cores_milli == 10_000


def test_limit_of_an_idle_team_is_told_to_be_in_force():
    cell = make_cell()
    cell.set_limits({TEAM: limit_from_amounts({"cores": 10})})
    cell.advance(3)
    assert record(cell).limit.cores_milli == 10_000
    assert record(cell).fully_in_force()


def test_lowered_limit_does_not_wait_for_a_shard_that_does_not_answer():
    cell = make_cell(shards=2)
    for shard in (0, 1):
        cell.lead_of(shard).want(TEAM, ONE.times(20))
        cell.advance(4)
        for _ in range(20):
            assert cell.start(shard, TEAM, ONE)
        cell.lead_of(shard).want(TEAM, ZERO)
    cell.faults.cut.add(cell.lead_of(1).name)
    cell.set_limits({TEAM: limit_from_amounts({"cores": 20})})
    cell.advance(4)
    assert cell.lead_of(0).limits.excess(TEAM) == ZERO
    cell.advance(5)
    assert cell.lead_of(0).limits.excess(TEAM).cores_milli == 10_000


def test_operators_read_what_is_in_force():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(4))
    cell.advance(1)
    found = []
    reading = read_limit_records(cell.store.client("operator"))
    Deferred.fromCoroutine(reading).addCallback(found.append)
    cell.advance(0.1)
    assert found == [{TEAM: record(cell)}]
    assert found[0][TEAM].granted_sum().cores_milli >= 4_000


def test_team_left_out_of_the_configuration_starts_nothing_more():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(4))
    cell.advance(1)
    assert cell.start(0, TEAM, ONE)
    cell.set_limits({})
    cell.advance(2)
    assert cell.start(0, TEAM, ONE) is None


def test_older_configuration_is_ignored():
    cell = make_cell()
    cell.set_limits({TEAM: limit_from_amounts({"cores": 10})})
    cell.lead_of(0).limits.set_limits(1, {TEAM: limit_from_amounts({"cores": 40})})
    cell.lead_of(0).want(TEAM, ONE.times(40))
    drive(cell, 5, [0])
    assert cell.running(TEAM).cores_milli == 10_000
