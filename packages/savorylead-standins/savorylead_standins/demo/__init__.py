"""A short day of an example, on real processes."""

from ._report import DayReport
from ._workload import Arrival, Day, WorkPlace

__all__ = ["Arrival", "Day", "DayReport", "WorkPlace"]
