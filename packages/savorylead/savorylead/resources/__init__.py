"""Amounts of what a worker has and a task asks for."""

from ._resources import ZERO, Resources

__all__ = ["ZERO", "Resources"]
