"""Transfer of grants between the leads of several shards."""

from datetime import timedelta

from savorylead.contracts import (
    UNLIMITED,
    limit_from_amounts,
)
from savorylead.resources import ZERO, Resources
from savorylead_standins.limits import (
    ONE,
    TEAM,
    LimitCell,
    drive,
    fill,
    make_cell,
)


def test_nothing_starts_before_a_grant():
    cell = make_cell()
    assert fill(cell, 0) == 0


def test_demand_gets_a_grant_without_waiting_for_a_step():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(10))
    cell.advance(0.05)
    assert fill(cell, 0) >= 10


def test_unlimited_team_costs_one_write():
    cell = LimitCell(1, {TEAM: limit_from_amounts({})})
    cell.lead_of(0).want(TEAM, ONE)
    cell.advance(1)
    for _ in range(500):
        assert cell.start(0, TEAM, ONE)
    cell.lead_of(0).want(TEAM, ONE.times(500))
    cell.advance(5)
    assert cell.store.calls["swap"] == 1
    assert cell.lead_of(0).grants[TEAM].cores_milli == UNLIMITED


def test_limit_is_used_up_and_not_exceeded():
    cell = make_cell()
    for shard in range(3):
        cell.lead_of(shard).want(TEAM, ONE.times(100))
    drive(cell, 10, range(3))
    assert cell.running(TEAM).cores_milli == 40_000


def test_idle_grants_go_to_a_busy_shard():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(40))
    cell.advance(1)
    cell.lead_of(0).want(TEAM, ZERO)
    cell.lead_of(1).want(TEAM, ONE.times(40))
    drive(cell, 5, [1])
    assert cell.running(TEAM).cores_milli == 40_000
    assert len(cell.shards[1].running) == 40


def test_idle_grants_go_to_a_busy_shard_although_watches_are_silent():
    cell = make_cell()
    cell.faults.silent = lambda client: True
    cell.lead_of(0).want(TEAM, ONE.times(40))
    cell.advance(1)
    cell.lead_of(0).want(TEAM, ZERO)
    cell.lead_of(1).want(TEAM, ONE.times(40))
    drive(cell, 9, [1])
    assert len(cell.shards[1].running) == 40


def test_busy_shard_gives_way_to_a_starved_one():
    cell = make_cell(shards=2)
    cell.lead_of(0).want(TEAM, ONE.times(100))
    cell.advance(1)
    drive(cell, 2, [0])
    cell.lead_of(1).want(TEAM, ONE.times(100))
    drive(cell, 40, [0, 1], end_per_s=3)
    assert len(cell.shards[1].running) >= 15


def test_two_shards_that_each_need_the_whole_limit_do_not_wait_for_each_other():
    cell = make_cell(shards=2, accelerators=8)
    whole = Resources(0, 0, 8, 1, 0)
    for shard in (0, 1):
        cell.lead_of(shard).want(TEAM, Resources(0, 0, 4, 1, 0))
    cell.advance(2)
    assert [cell.lead_of(s).grants[TEAM].accelerators for s in (0, 1)] == [4, 4]
    for shard in (0, 1):
        cell.lead_of(shard).want(TEAM, whole)
    started = {}
    for _ in range(200):
        cell.advance(0.2)
        for shard in {0, 1} - started.keys():
            if cell.start(shard, TEAM, whole):
                cell.lead_of(shard).want(TEAM, ZERO)
                started[shard] = cell.provider.seconds()
                task = next(iter(cell.shards[shard].running))
                cell.clock.call_later(timedelta(seconds=5), cell.end, shard, task)
    assert started.keys() == {0, 1}
    assert max(started.values()) <= 30


def test_shard_with_full_workers_leaves_its_grants_to_others():
    cell = make_cell(shards=2)
    cell.lead_of(0).want(TEAM, ONE.times(100))
    cell.advance(1)
    for _ in range(10):
        cell.start(0, TEAM, ONE)
    cell.lead_of(0).free = ZERO
    cell.lead_of(1).want(TEAM, ONE.times(100))
    drive(cell, 6, [1])
    assert len(cell.shards[1].running) == 30
    assert len(cell.shards[0].running) == 10


def test_idle_grants_shrink_after_a_while():
    cell = make_cell(shards=1)
    cell.lead_of(0).want(TEAM, ONE.times(40))
    cell.advance(1)
    cell.lead_of(0).want(TEAM, ZERO)
    cell.advance(29)
    assert cell.lead_of(0).grants[TEAM].cores_milli == 40_000
    cell.advance(300)
    assert cell.lead_of(0).grants[TEAM].cores_milli <= 2_000
