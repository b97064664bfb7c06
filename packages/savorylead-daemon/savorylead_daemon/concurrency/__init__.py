"""Utilities for concurrent and background coroutines."""

from ._gather import first_of, gather
from ._spawn import spawn
from ._supervised import supervised
from ._task_set import TaskSet

__all__ = ["TaskSet", "first_of", "gather", "spawn", "supervised"]
