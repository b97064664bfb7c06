"""Placement: which pending task goes to which worker, and when."""

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
    "Overflow",
    "PendingTask",
    "Place",
    "Planner",
    "Policy",
    "Preempt",
    "Reject",
]
