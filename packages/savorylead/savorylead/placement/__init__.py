"""Placement: assigns pending tasks to workers and decides when they start."""

from ._indexed import IndexedPlanner
from ._naive import NaivePlanner
from ._planner import (
    Decision,
    Overflow,
    PendingTask,
    Place,
    Planner,
    Policy,
    Preempt,
    Reject,
)

__all__ = [
    "Decision",
    "IndexedPlanner",
    "NaivePlanner",
    "Overflow",
    "PendingTask",
    "Place",
    "Planner",
    "Policy",
    "Preempt",
    "Reject",
]
