"""Closed sets of types for task outcomes and reasons for refusal."""

from ._codec import (
    UnknownOutcomeError,
    WireOutcome,
    outcome_from_wire,
    outcome_tag,
    outcome_to_wire,
)
from ._outcomes import Cancelled, Done, Failed, NotRun, Outcome, Refusal, Unknown

__all__ = [
    "Cancelled",
    "Done",
    "Failed",
    "NotRun",
    "Outcome",
    "Refusal",
    "Unknown",
    "UnknownOutcomeError",
    "WireOutcome",
    "outcome_from_wire",
    "outcome_tag",
    "outcome_to_wire",
]
