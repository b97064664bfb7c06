"""A short day of an example, on real processes."""

from ._workload import Arrival, Day

__all__ = ["Arrival", "Day"]
