"""Resource vectors, for the capacity of workers and the demands of tasks."""

from ._resources import ZERO, Resources, total

__all__ = ["ZERO", "Resources", "total"]
