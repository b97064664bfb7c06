"""Tasks and gangs that exceed their pool's fair part of their team's limit."""

from __future__ import annotations

import random

import pytest

from savorylead.pools import PoolGrants, decode_grants, encode_grants
from savorylead.resources import Resources

from .grant_cases import TEAM, GrantCell, Piece

LIMIT = Resources(100_000, 400_000, 20)
#: Time in which the next piece starts once the limit leaves enough, in milliseconds.
START_MS = 3_000
#: LOST: a job under half of its limit may wait for so long while all is calm, in
#: milliseconds.
CALM_WAIT_MS = 7_000


def share_of_limit(cores: float, memory: float, accelerators: float = 0.0) -> Resources:
    return Resources(
        int(LIMIT.cores_milli * cores),
        int(LIMIT.memory_mb * memory),
        int(LIMIT.accelerators * accelerators),
    )


@pytest.mark.parametrize("pools", [2, 3, 5])
@pytest.mark.parametrize(
    "even_pools, odd_pools",
    [
        (share_of_limit(0.6, 0.1), share_of_limit(0.6, 0.1)),
        (share_of_limit(0.0, 0.6), share_of_limit(0.0, 0.6)),
        (share_of_limit(0.55, 0.6), share_of_limit(0.6, 0.55)),
        (share_of_limit(0.9, 0.2), share_of_limit(0.2, 0.9)),
        (share_of_limit(0.46, 0.1), share_of_limit(0.46, 0.1)),
        (share_of_limit(0.4, 0.4, 0.45), share_of_limit(0.45, 0.4, 0.4)),
        (share_of_limit(1.0, 1.0, 1.0), share_of_limit(0.05, 0.05)),
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_large_pieces_of_several_pools_run_in_turn(
    pools: int, even_pools: Resources, odd_pools: Resources, seed: int
) -> None:
    # Guards against the incident of review/6 (LOST): gangs of 0.6 of their team's limit
    # waited in two pools, each pool had half of the limit, and none ever started.
    run_ms = 2_000
    cell = GrantCell(pools, LIMIT, seed)
    for number in range(pools):
        piece = Piece(odd_pools if number % 2 else even_pools, run_ms)
        cell.send(number, piece, piece)
    cell.run(2 * pools * (run_ms + START_MS))
    assert not any(lead.waiting for lead in cell.leads), cell.record


@pytest.mark.parametrize("pools", [2, 3])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_large_and_small_pieces_of_two_pools_both_progress(
    pools: int, seed: int
) -> None:
    # Guards against starvation in either direction.
    cell = GrantCell(pools, LIMIT, seed)
    cell.send(0, *[Piece(share_of_limit(0.6, 0.6), 1_000)] * 4)
    for _ in range(5):
        sent = 0
        for _ in range(10):
            while len(cell.leads[1].waiting) < 20:
                cell.send(1, Piece(share_of_limit(0.05, 0.05), 1_000))
                sent += 1
            cell.run(1_000)
        # Beside the gang there is room for eight; it never has more than its turn.
        assert sent > 30
    assert not cell.leads[0].waiting


@pytest.mark.parametrize("pools", [2, 3])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_hopeless_claim_does_not_hold_back_small_pieces(
    pools: int, seed: int
) -> None:
    # Guards against LOST: a gang that does not fit beside a lasting run of another pool
    # must not keep that pool's small tasks from starting.
    cell = GrantCell(pools, LIMIT, seed)
    cell.send(1, Piece(share_of_limit(0.45, 0.45), None))
    cell.run(2_000)
    cell.send(0, Piece(share_of_limit(0.6, 0.6), 1_000))
    for _ in range(8):
        cell.run(2_000)
        cell.send(1, Piece(share_of_limit(0.02, 0.02), 500))
        cell.run(START_MS)
        assert not cell.leads[1].waiting, cell.record


def test_a_claim_of_a_pool_without_lead_is_not_honoured_for_ever() -> None:
    cell = GrantCell(2, LIMIT)
    large = Piece(share_of_limit(0.6, 0.6), 20_000)
    for number in range(2):
        cell.send(number, large)
    cell.run(2_500)
    waiting = next(lead for lead in cell.leads if lead.waiting)
    assert set(cell.record.claims[TEAM]) == {waiting.name}
    # No lead acts for that pool any more, and no run of it goes on.
    cell.leads.remove(waiting)
    other = cell.leads[0]
    other.running.clear()
    other.waiting = [Piece(share_of_limit(0.45, 0.45), 20_000)]
    cell.run(CALM_WAIT_MS)
    assert not other.waiting


@pytest.mark.parametrize("seed", range(40))
def test_drawn_work_makes_progress_within_its_limit(seed: int) -> None:
    # The cell checks that no start exceeds the limit. A piece of under half of the
    # limit starts soon while the team holds less than half.
    draw = random.Random(seed)
    cell = GrantCell(draw.randint(2, 6), LIMIT, seed)
    half = share_of_limit(0.5, 0.5, 0.5)
    waited_ms: dict[int, int] = {}
    for _ in range(300):
        if draw.random() < 0.1:
            shares = [draw.choice([0.0, 0.02, 0.2, 0.35, 0.48]) for _ in range(3)]
            run_ms = (
                draw.choice([None, 300, 1_000, 5_000]) if draw.random() < 0.3 else 500
            )
            amounts = share_of_limit(*shares)
            pool = draw.randrange(len(cell.leads))
            if any(amounts) and len(cell.leads[pool].waiting) < 3:
                cell.send(pool, Piece(amounts, run_ms))
        cell.step()
        is_idle = cell.held().fits(half)
        for number, lead in enumerate(cell.leads):
            # A start of any piece of the pool counts as progress.
            idle = is_idle and lead.waiting and lead.blocked(cell.now_ms)
            waited_ms[number] = waited_ms.get(number, 0) + 100 if idle else 0
            if any(run.began_ms == cell.now_ms for run in lead.running):
                waited_ms[number] = 0
            assert waited_ms[number] < CALM_WAIT_MS, (number, cell.record)


def test_earlier_versions_keep_claims_that_they_do_not_know() -> None:
    cell = GrantCell(2, LIMIT)
    for number in range(2):
        cell.send(number, Piece(share_of_limit(0.6, 0.6), 20_000))
    cell.run(2_500)
    assert cell.record.claims[TEAM]
    value = encode_grants(cell.record)
    assert decode_grants(value) == cell.record
    earlier = PoolGrants("pool-0")
    earlier.record = decode_grants(value)
    assert earlier.other_pools() == ["pool-1"]
