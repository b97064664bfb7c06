"""Answers and refusals as closed sets of types."""

from ._outcomes import Cancelled, Done, Failed, NotRun, Outcome, Refusal, Unknown

__all__ = [
    "Cancelled",
    "Done",
    "Failed",
    "NotRun",
    "Outcome",
    "Refusal",
    "Unknown",
]
