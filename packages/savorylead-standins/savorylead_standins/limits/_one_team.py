"""Short moves in a cell with one team, for tests."""

from __future__ import annotations

from collections.abc import Iterable

from savorylead.contracts import LimitRecord, limit_from_amounts
from savorylead.contracts._limit_record import decode_limit_record
from savorylead.resources import ZERO, Resources

from ._limit_cell import LimitCell

#: The only team.
TEAM = "imaging"
#: The size of most of its tasks.
ONE = Resources(1000, 100, 0, 1, 0)


def make_cell(shards: int = 3, **amounts: float) -> LimitCell:
    """Return a cell in which the team has a limit, by default of 40 cores."""
    return LimitCell(shards, {TEAM: limit_from_amounts(amounts or {"cores": 40})})


def record(cell: LimitCell) -> LimitRecord:
    """Return the team's record as the store has it."""
    return decode_limit_record(cell.store.peek("limits/")[f"limits/{TEAM}"])


def fill(cell: LimitCell, shard: int, resources: Resources = ONE) -> int:
    """Start tasks in a shard while its lead may; return how many."""
    started = 0
    while cell.start(shard, TEAM, resources):
        started += 1
    return started


def drive(
    cell: LimitCell,
    seconds: int,
    shards: Iterable[int],
    resources: Resources = ONE,
    end_per_s: int = 0,
) -> None:
    """Start whatever may start, every second, and end some tasks.

    As many tasks arrive as start, so the demand sinks for a moment only.
    """
    for _ in range(seconds):
        for shard in shards:
            lead = cell.lead_of(shard)
            wanted = lead.wanted.get(TEAM, ZERO)
            if fill(cell, shard, resources):
                lead.want(TEAM, ZERO)
                lead.want(TEAM, wanted)
            for number in list(cell.shards[shard].running)[:end_per_s]:
                cell.end(shard, number)
        cell.advance(1)
