"""Waiting for several coroutines at once, and starting some by themselves."""

from ._gather import first_of, gather
from ._lasting import lasting
from ._spawn import spawn
from ._task_set import TaskSet

__all__ = ["TaskSet", "first_of", "gather", "lasting", "spawn"]
