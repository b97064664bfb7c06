"""Division of a team's limit between two pools."""

from __future__ import annotations

import pytest

from savorylead.pools import (
    GrantRecord,
    PoolDemand,
    PoolGrants,
    decode_grants,
    encode_grants,
)
from savorylead.resources import ZERO, Resources

from .grant_cases import GrantCell, Piece
from .pool_cases import queue

LIMIT = Resources(100_000, 600_000, 20)
TEAM = "team"
NOW_MS = 1_000_000


class TwoPools:
    """Two pools that write the same record in turn."""

    def __init__(self) -> None:
        self.pools = {name: PoolGrants(name) for name in ("one", "two")}
        for pool in self.pools.values():
            pool.set_limits({TEAM: LIMIT})
        self.record = GrantRecord()
        self.held = {"one": ZERO, "two": ZERO}
        self.waiting = {"one": ZERO, "two": ZERO}
        self.writes = 0

    def turn(self, name: str) -> None:
        pool = self.pools[name]
        pool.record = self.record
        record = pool.next_record(
            PoolDemand({TEAM: self.held[name]}, {TEAM: self.waiting[name]}), NOW_MS
        )
        if record is not None:
            self.record = decode_grants(encode_grants(record))
            self.writes += 1
        for pool in self.pools.values():
            pool.record = self.record

    def settle(self, turns: int = 4) -> None:
        for _ in range(turns):
            self.turn("one")
            self.turn("two")

    def room(self, name: str) -> Resources:
        room = self.pools[name].headroom(TEAM, self.held[name])
        assert room is not None
        return room

    def granted_sum(self) -> Resources:
        total = ZERO
        for part in self.record.parts[TEAM].values():
            total = total.plus(Resources(*part.granted))
        return total


@pytest.mark.parametrize(
    "first, later",
    [
        # A demand below a tenth of the limit must be published as well.
        (Resources(90_000, 560_000, 0), Resources(15_000, 50_000, 4)),
        (Resources(100_000, 600_000, 20), Resources(1_000, 1_000, 1)),
        (Resources(10, 10, 1), Resources(60_000, 400_000, 8)),
    ],
)
def test_a_pool_gets_what_the_other_does_not_use(
    first: Resources, later: Resources
) -> None:
    cell = TwoPools()
    cell.waiting["one"] = first
    cell.settle()
    cell.waiting["one"] = ZERO
    cell.waiting["two"] = later
    cell.settle()
    assert later.fits(cell.room("two"))
    assert cell.granted_sum().fits(LIMIT)


@pytest.mark.parametrize("held_by_one", [ZERO, Resources(70_000, 100_000, 20)])
def test_demand_beyond_the_limit_is_divided(held_by_one: Resources) -> None:
    cell = TwoPools()
    cell.held["one"] = held_by_one
    cell.waiting["one"] = LIMIT
    cell.settle()
    cell.waiting["two"] = LIMIT
    cell.settle()
    assert cell.granted_sum().fits(LIMIT)
    left = LIMIT.minus(held_by_one)
    assert cell.room("two").cores_milli >= min(left.cores_milli, 45_000)


@pytest.mark.parametrize(
    "wanted_by_two", [Resources(15_000, 40_000, 4), Resources(50_000, 300_000, 10)]
)
def test_a_pool_whose_work_never_ends_gives_the_other_its_fair_part(
    wanted_by_two: Resources,
) -> None:
    # Guards against starvation: a backlog filled a team's whole limit in one pool, and
    # a job of the other pool that can't start with less than its full demand waited
    # for 20 s.
    cell = TwoPools()
    cell.waiting["one"] = LIMIT
    cell.settle()
    cell.held["one"] = Resources(99_500, 599_000, 20)
    cell.waiting["two"] = wanted_by_two
    cell.settle()
    for _ in range(40):
        # A task ends, and the next one starts if it fits.
        cell.held["one"] = cell.held["one"].minus(Resources(3_000, 18_000, 1))
        if Resources(3_000, 18_000, 1).fits(cell.room("one")):
            cell.held["one"] = cell.held["one"].plus(Resources(3_000, 18_000, 1))
        cell.settle(1)
        if wanted_by_two.fits(cell.room("two")):
            break
    assert wanted_by_two.fits(cell.room("two"))
    assert cell.granted_sum().fits(LIMIT)


def test_a_pool_may_use_an_even_part_before_it_has_told_its_want() -> None:
    # Guards against a delay in a burst: a pool's published demand is still small while
    # the other pool demands the whole limit. The pool must use what it is granted
    # already without waiting for a write of its new demand.
    cell = TwoPools()
    cell.waiting = {"one": LIMIT, "two": LIMIT}
    cell.settle()
    cell.waiting["two"] = Resources(150, 1_000, 0)
    pool = cell.pools["two"]
    record = pool.next_record(
        PoolDemand({TEAM: ZERO}, {TEAM: cell.waiting["two"]}), NOW_MS
    )
    assert record is not None
    # The other pool has not read the record yet, so this one still has half.
    part = record.parts[TEAM]["two"]._replace(granted=(50_000, 300_000, 10, 0, 0))
    pool.record = GrantRecord({TEAM: {**record.parts[TEAM], "two": part}})
    room = pool.headroom(TEAM, ZERO)
    assert room is not None
    assert room[:3] == (50_000, 300_000, 10)


def test_a_lowered_limit_binds_at_once() -> None:
    cell = TwoPools()
    cell.waiting = {"one": LIMIT, "two": LIMIT}
    cell.settle()
    half = Resources(50_000, 300_000, 10)
    for pool in cell.pools.values():
        pool.set_limits({TEAM: half})
    total = cell.room("one").plus(cell.room("two"))
    assert all(a <= b for a, b in zip(total[:3], half[:3], strict=True))


def test_no_write_while_nothing_is_wanted() -> None:
    cell = TwoPools()
    cell.waiting["one"] = Resources(1_000, 1_000, 0)
    cell.settle()
    before = cell.writes
    cell.settle(10)
    assert cell.writes == before


def test_a_dimension_without_a_limit_is_free() -> None:
    pool = PoolGrants("one")
    pool.set_limits({TEAM: Resources(100, 0, 0)})
    pool.record = GrantRecord()
    room = pool.headroom(TEAM, ZERO)
    assert room is not None
    assert room.cores_milli == 0
    assert room.memory_mb > 1 << 40
    assert pool.headroom("another", ZERO) is None


def test_the_only_pool_has_each_limit_whole_before_it_wants_any() -> None:
    # Guards against a store outage while a team's demand grows: the only pool's grant
    # was 0.55 of the limit and could not grow until the store was available again.
    pool = PoolGrants("one")
    pool.set_limits({TEAM: LIMIT})
    pool.set_pools(["one"])
    record = pool.next_record(PoolDemand(), NOW_MS)
    assert record is not None
    pool.record = record
    assert pool.headroom(TEAM, ZERO)[:3] == LIMIT[:3]
    assert pool.next_record(PoolDemand({TEAM: LIMIT}, {TEAM: LIMIT}), NOW_MS) is None


def test_the_only_pool_gives_back_what_another_one_needs() -> None:
    cell = TwoPools()
    cell.pools["one"].set_pools(["one"])
    cell.turn("one")
    cell.held["one"] = Resources(20_000, 100_000, 4)
    for pool in cell.pools.values():
        pool.set_pools(["one", "two"])
    cell.waiting["two"] = Resources(50_000, 300_000, 8)
    cell.settle()
    assert cell.waiting["two"].fits(cell.room("two"))
    assert cell.granted_sum().fits(LIMIT)


@pytest.mark.parametrize(
    "priorities, first_gets, second_gets",
    [
        # An urgent pool gets nearly all that nobody uses,
        ((0, 2), 90_000, 10_000),
        # and pools that are equally urgent get half of it each.
        ((1, 1), 50_000, 50_000),
        ((0, 0), 50_000, 50_000),
    ],
)
def test_an_urgent_pool_gets_most_of_what_no_pool_uses(
    priorities: tuple[int, int], first_gets: int, second_gets: int
) -> None:
    # A wide urgent step needs hundreds of cores within less time than two leads take to
    # move a part of the limit.
    for name, expected in (("one", first_gets), ("two", second_gets)):
        cell = TwoPools()
        queues = [
            queue(pool, priority, pool=pool)
            for pool, priority in zip(("one", "two"), priorities, strict=True)
        ]
        for pool in cell.pools.values():
            pool.set_queues(queues)
        cell.waiting = dict.fromkeys(("one", "two"), Resources(1, 1, 0))
        cell.settle()
        assert cell.room(name).cores_milli == pytest.approx(expected, abs=2)


@pytest.mark.parametrize("pools", [2, 3, 4, 6])
@pytest.mark.parametrize("share", [0.1, 0.4, 0.9, 1.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_the_next_pool_gets_what_the_others_no_longer_use(
    pools: int, share: float, seed: int
) -> None:
    # Guards against LOST: gangs came to three services one after the other, and the
    # last one never started. What one pool lacked and another one didn't use cancelled
    # out in a sum, and with four pools or more their surplus shares exceeded the rest.
    cell = GrantCell(pools, LIMIT, seed)
    piece = Piece(Resources(*(int(amount * share) for amount in LIMIT)), 1_000)
    for number in (*range(pools), 0):
        cell.send(number, piece)
        cell.run(4_500)
        assert not cell.leads[number].waiting, (number, cell.record)
    assert cell.is_within(cell.granted())
