"""Placement: which pending task goes to which worker, and when."""

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
