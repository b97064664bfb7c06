"""Simplified shards, leads and workers for tests of upper limits."""

from ._broken_limits import UnansweredWriteIgnored, UnclaimedLimit
from ._limit_cell import LimitCell, LimitedLead, LimitedShard, RunningTask
from ._one_team import ONE, TEAM, drive, fill, make_cell, record

__all__ = [
    "ONE",
    "TEAM",
    "UnansweredWriteIgnored",
    "LimitCell",
    "LimitedLead",
    "LimitedShard",
    "RunningTask",
    "UnclaimedLimit",
    "drive",
    "fill",
    "make_cell",
    "record",
]
