"""Shards, leads and workers reduced to what upper limits need."""

from ._limit_cell import LimitCell, LimitedLead, LimitedShard, RunningTask

__all__ = ["LimitCell", "LimitedLead", "LimitedShard", "RunningTask"]
