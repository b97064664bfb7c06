"""Changes of a team's limit while pools hold parts of it."""

from __future__ import annotations

import pytest

from savorylead.resources import Resources

from .grant_cases import GrantCell, Piece

LIMIT = Resources(100_000, 400_000, 0)
LOWERED = Resources(20_000, 80_000, 0)
#: Time in which what may start has to start, in milliseconds.
START_MS = 3_000


def of_lowered(share: float) -> Resources:
    return Resources(*(int(amount * share) for amount in LOWERED))


@pytest.mark.parametrize("pools", [2, 3, 5])
@pytest.mark.parametrize("share", [0.05, 0.4, 0.45])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_lowered_limit_is_divided_anew(pools: int, share: float, seed: int) -> None:
    # Guards against the incident of review/7 (LOST): parts of the former limit kept a
    # job from starting although the team ran nothing.
    cell = GrantCell(pools, LIMIT, seed)
    cell.send(0, *[Piece(Resources(2_000, 8_000, 0), 1_500)] * 40)
    for pool in range(1, pools):
        cell.send(pool, Piece(Resources(3_000, 12_000, 0), 1_500))
    cell.run(12_000)
    assert not any(cell.held())
    cell.set_limit(LOWERED)
    cell.run(4_000)
    piece = Piece(of_lowered(share), 10_000)
    cell.send(pools - 1, piece)
    cell.run(START_MS)
    assert cell.held() == piece.amounts
    assert cell.is_within(cell.granted())


@pytest.mark.parametrize("pools", [2, 3, 4])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_starts_beside_runs_that_exceed_a_lowered_limit(
    pools: int, seed: int
) -> None:
    # Guards against QUOTA: a pool started tasks within its scaled-down part while the
    # runs of another pool exceeded the lowered limit. The cell checks each start.
    cell = GrantCell(pools, LIMIT, seed)
    small = Piece(Resources(2_000, 8_000, 0), 6_000)
    cell.send(0, *[small] * 40)
    cell.send(1, *[small] * 5)
    cell.run(3_000)
    cell.set_limit(LOWERED)
    for pool in range(pools):
        cell.send(pool, *[small] * 10)
    cell.run(40_000)
    assert all(len(lead.waiting) < 10 for lead in cell.leads)


@pytest.mark.parametrize("pools", [2, 3, 4])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_limit_that_is_lowered_twice_beside_a_lasting_run_is_divided(
    pools: int, seed: int
) -> None:
    # Guards against LOST: beside a lasting run of 0.3 of a limit lowered twice,
    # a task of 0.4 did not start.
    cell = GrantCell(pools, LIMIT, seed)
    cell.send(0, Piece(of_lowered(0.3), None))
    cell.send(1, *[Piece(Resources(2_000, 8_000, 0), 2_000)] * 40)
    cell.run(5_000)
    cell.set_limit(Resources(50_000, 200_000, 0))
    cell.run(400)
    cell.set_limit(LOWERED)
    cell.run(20_000)
    cell.send(pools - 1, Piece(of_lowered(0.4), None))
    cell.run(START_MS)
    assert cell.held() == of_lowered(0.3).plus(of_lowered(0.4))


def test_a_lowered_limit_leaves_no_grants_above_it() -> None:
    cell = GrantCell(2, LIMIT)
    for pool in range(2):
        cell.send(pool, *[Piece(Resources(2_000, 8_000, 0), 1_000)] * 40)
    cell.run(2_000)
    cell.set_limit(LOWERED)
    # All tasks end within a second; then each lead writes its part.
    cell.run(4_000)
    assert cell.is_within(cell.granted())


@pytest.mark.parametrize("pools", [2, 3, 5])
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("had_limit", [False, True])
def test_nothing_starts_beside_runs_that_began_without_a_limit(
    pools: int, seed: int, had_limit: bool
) -> None:
    # Guards against QUOTA: runs that had begun while their team had no limit were in no
    # record, so other pools started tasks beside them when it got one.
    cell = GrantCell(pools, LIMIT, seed)
    small = Piece(Resources(2_000, 8_000, 0), 6_000)
    if not had_limit:
        cell.set_limit(None)
    cell.send(1, small)
    cell.run(8_000)
    cell.set_limit(None)
    cell.send(0, *[small] * 40)
    cell.run(2_000)
    cell.set_limit(LOWERED)
    for pool in range(pools):
        cell.send(pool, *[small] * 10)
    cell.run(60_000)
    assert not any(lead.waiting for lead in cell.leads)


@pytest.mark.parametrize("pools", [2, 4])
def test_a_pool_without_part_holds_nothing_back_for_long(pools: int) -> None:
    # A lead of an earlier version records no part before its pool has a demand.
    cell = GrantCell(pools, LIMIT)
    del cell.leads[1:]
    cell.send(0, Piece(Resources(2_000, 8_000, 0), 1_000))
    cell.run(START_MS + 1_000)
    assert not cell.leads[0].waiting
