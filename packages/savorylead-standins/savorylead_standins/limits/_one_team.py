"""Test helpers for a cell with one team."""

from __future__ import annotations

from collections.abc import Iterable

from savorylead.contracts import LimitRecord, limit_from_amounts
from savorylead.contracts._limit_record import decode_limit_record
from savorylead.resources import ZERO, Resources

from ._limit_cell import LimitCell

#: The team of the cell.
TEAM = "imaging"
#: Resources of one standard task.
ONE = Resources(1000, 100, 0, 1, 0)


def make_cell(shards: int = 3, **amounts: float) -> LimitCell:
    """Return a cell whose team has the given limit, by default 40 cores."""
    return LimitCell(shards, {TEAM: limit_from_amounts(amounts or {"cores": 40})})


def record(cell: LimitCell) -> LimitRecord:
    """Return the team's limit record from the store."""
    return decode_limit_record(cell.store.peek("limits/")[f"limits/{TEAM}"])


def fill(cell: LimitCell, shard: int, resources: Resources = ONE) -> int:
    """Start tasks in a shard until its grant is used up; return their number."""
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
    """Every second, start all tasks that the grants allow and end some tasks.

    As many tasks arrive as start, so the demand drops only momentarily.
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
