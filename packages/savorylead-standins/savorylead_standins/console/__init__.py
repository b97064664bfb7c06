"""Runs savoryctl inside a test."""

from ._console import Console, ConsoleResult, ManualClock, closed_endpoint, submit_tasks

__all__ = [
    "Console",
    "ConsoleResult",
    "ManualClock",
    "closed_endpoint",
    "submit_tasks",
]
