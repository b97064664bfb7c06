"""Waiting for several coroutines at once."""

from ._gather import first_of, gather

__all__ = ["first_of", "gather"]
