"""Shards, leads and workers reduced to what upper limits need."""

from ._limit_cell import LimitCell, LimitedLead, LimitedShard, RunningTask
from ._one_team import ONE, TEAM, drive, fill, make_cell, record

__all__ = [
    "ONE",
    "TEAM",
    "LimitCell",
    "LimitedLead",
    "LimitedShard",
    "RunningTask",
    "drive",
    "fill",
    "make_cell",
    "record",
]
