"""Escrowed limits under failures of the store and of leads."""

from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred

from savorylead.contracts import (
    EscrowedLimit,
    limit_from_amounts,
)
from savorylead.contracts._escrowed_limits import WRITE_BURST, WRITES_PER_S
from savorylead.contracts._limit_policy import GrantChoice
from savorylead.resources import ZERO, Resources
from savorylead_standins.limits import (
    ONE,
    TEAM,
    LimitCell,
    UnansweredWriteIgnored,
    UnclaimedLimit,
    drive,
    fill,
    make_cell,
    record,
)
from savorylead_standins.store import CallFate


def test_want_of_a_lead_that_is_gone_is_ignored_after_a_while():
    cell = make_cell(shards=2)
    cell.lead_of(0).want(TEAM, ONE.times(100))
    cell.advance(1)
    drive(cell, 2, [0])
    cell.lead_of(1).want(TEAM, ONE.times(100))
    cell.advance(1)
    cell.end_lead(cell.lead_of(1))
    drive(cell, 15, [0], end_per_s=3)
    assert cell.lead_of(0).grants[TEAM].cores_milli == 20_000
    drive(cell, 45, [0], end_per_s=3)
    assert cell.lead_of(0).grants[TEAM].cores_milli == 40_000


def test_store_writes_are_bounded():
    teams = {f"team-{number}": limit_from_amounts({"cores": 4}) for number in range(90)}
    cell = LimitCell(1, teams)
    for team in teams:
        cell.lead_of(0).want(team, ONE)
    cell.advance(0.9)
    assert cell.store.calls["swap"] == WRITE_BURST
    for second in range(1, 20):
        cell.advance(1)
        earned = WRITES_PER_S * (second + 1)
        assert cell.store.calls["swap"] <= WRITE_BURST + earned
    assert all(cell.start(0, team, ONE) for team in teams)


def test_step_ends_when_the_store_fails_instead_of_trying_every_team():
    teams = {f"team-{number}": limit_from_amounts({"cores": 4}) for number in range(20)}
    cell = LimitCell(1, teams)
    cell.faults.cut.add(cell.lead_of(0).name)
    for team in teams:
        cell.lead_of(0).wanted[team] = ONE
    cell.lead_of(0).limits.set_demand("team-0", ONE)
    for team in teams:
        cell.lead_of(0).limits._teams[team].wanted = ONE
    done = []
    Deferred.fromCoroutine(cell.lead_of(0).limits.step()).addCallback(done.append)
    for _ in range(60):
        cell.let(timedelta(seconds=0.1))
    assert done == [None]


@pytest.mark.parametrize(
    ("target", "held", "granted"), [(90, 0, 40), (0, 10, 10), (30, 10, 30)]
)
def test_write_neither_exceeds_the_limit_nor_cuts_what_is_held(target, held, granted):
    cell = make_cell(shards=1)
    limit = EscrowedLimit(cell.lead_of(0).store, TEAM, "s0", 1, lambda usable: None)
    limit.set_limit(1, cell.limits[TEAM])
    for wanted in (Resources(20_000), Resources(target * 1000)):
        choice = GrantChoice(wanted, wanted)
        running = ZERO if wanted == Resources(20_000) else Resources(held * 1000)
        Deferred.fromCoroutine(limit.write(choice, running, False))
        cell.advance(0.1)
    assert limit.record.granted("s0").cores_milli == granted * 1000


def test_next_lead_takes_over_what_a_dead_one_held():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(40))
    drive(cell, 2, [0])
    cell.end_lead(cell.lead_of(0))
    successor = cell.take_over(cell.shards[0])
    for number in list(cell.shards[0].running)[:5]:
        cell.end(0, number)
    assert fill(cell, 0) == 0
    successor.want(TEAM, ONE)
    cell.advance(0.1)
    assert fill(cell, 0) == 5
    assert record(cell).granted("s0").cores_milli == 40_000


def test_cut_off_lead_keeps_its_grant_and_others_cannot_take_it():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(20))
    cell.advance(1)
    cell.faults.cut.add(cell.lead_of(0).name)
    cell.lead_of(1).want(TEAM, ONE.times(100))
    drive(cell, 60, [1])
    assert fill(cell, 0) >= 20
    assert cell.running(TEAM).cores_milli <= 40_000
    assert len(cell.shards[1].running) >= 10


def test_store_down_leaves_grants_as_they_are():
    cell = make_cell()
    cell.lead_of(0).want(TEAM, ONE.times(20))
    cell.advance(1)
    before = cell.lead_of(0).grants[TEAM]
    cell.faults.down = True
    cell.lead_of(0).want(TEAM, ONE.times(40))
    cell.advance(20)
    assert cell.lead_of(0).grants[TEAM] == before
    cell.faults.down = False
    cell.advance(2)
    assert cell.lead_of(0).grants[TEAM].cores_milli == 40_000


@pytest.mark.parametrize("fate", [CallFate.REPLY_LOST, CallFate.LANDS_LATE])
def test_grown_grant_counts_once_it_is_read_back(fate):
    cell = make_cell()
    swaps = iter([fate])
    cell.faults.fate = lambda call: (
        next(swaps, CallFate.ANSWERED) if call.method == "swap" else CallFate.ANSWERED
    )
    cell.lead_of(0).want(TEAM, ONE.times(20))
    cell.advance(0.5)
    assert fill(cell, 0) == 0
    cell.advance(4)
    assert fill(cell, 0) >= 20


def test_late_give_back_of_a_former_lead_cannot_cut_what_its_successor_uses():
    cell = make_cell(shards=2)
    old = cell.lead_of(0)
    old.want(TEAM, ONE.times(40))
    cell.advance(1)
    old.want(TEAM, ZERO)
    cell.faults.fate = lambda call: (
        CallFate.LANDS_LATE
        if call.client == old.name and call.method == "swap"
        else CallFate.ANSWERED
    )
    cell.lead_of(1).want(TEAM, ONE.times(40))
    cell.advance(1.2)
    successor = cell.take_over(cell.shards[0])
    successor.want(TEAM, ONE.times(40))
    cell.advance(0.1)
    assert fill(cell, 0) == 40
    drive(cell, 10, [0, 1])
    assert cell.running(TEAM).cores_milli <= 40_000


@pytest.mark.parametrize("broken", [UnclaimedLimit, UnansweredWriteIgnored])
def test_broken_escrow_is_caught(broken, monkeypatch):
    monkeypatch.setattr("savorylead.contracts._escrowed_limits.EscrowedLimit", broken)
    cell = make_cell(shards=2)
    old = cell.lead_of(0)
    old.want(TEAM, ONE.times(40))
    cell.advance(1)
    old.want(TEAM, ZERO)
    cell.faults.fate = lambda call: (
        CallFate.LANDS_LATE
        if call.client == old.name and call.method == "swap"
        else CallFate.ANSWERED
    )
    cell.lead_of(1).want(TEAM, ONE.times(40))
    cell.advance(1.5)
    if broken is UnclaimedLimit:
        cell.take_over(cell.shards[0]).want(TEAM, ONE.times(40))
    cell.advance(0.7)
    drive(cell, 10, [0, 1])
    assert cell.running(TEAM).cores_milli > 40_000
