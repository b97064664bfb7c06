"""Invariant checkers over what workers executed and callers observed."""

from ._checkers import CHECKERS, Violation, check_all
from ._history import (
    Answer,
    Departure,
    KeyWithdrawal,
    LimitChange,
    RevisionSample,
    RunHistory,
    Submission,
)

__all__ = [
    "CHECKERS",
    "Answer",
    "Departure",
    "KeyWithdrawal",
    "LimitChange",
    "RevisionSample",
    "RunHistory",
    "Submission",
    "Violation",
    "check_all",
]
