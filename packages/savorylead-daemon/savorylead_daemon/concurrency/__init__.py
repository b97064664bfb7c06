"""Waiting for several coroutines at once, and starting some by themselves."""

from ._gather import first_of, gather
from ._spawn import spawn

__all__ = ["first_of", "gather", "spawn"]
