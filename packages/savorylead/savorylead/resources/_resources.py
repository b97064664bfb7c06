"""Resource vectors, for the capacity of workers and the demands of tasks."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class Resources(NamedTuple):
    """A vector of amounts; every dimension is a whole number of its unit."""

    #: Thousandths of a core.
    cores_milli: int = 0
    #: Mebibytes of memory.
    memory_mb: int = 0
    #: Whole accelerators.
    accelerators: int = 0
    #: Task slots of a worker.
    slots: int = 0
    #: Open connections of a task.
    connections: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum in every dimension."""
        return Resources(
            self[0] + other[0],
            self[1] + other[1],
            self[2] + other[2],
            self[3] + other[3],
            self[4] + other[4],
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference in every dimension, which may be negative."""
        return Resources(
            self[0] - other[0],
            self[1] - other[1],
            self[2] - other[2],
            self[3] - other[3],
            self[4] - other[4],
        )

    def times(self, factor: int) -> Resources:
        """Return every dimension multiplied by ``factor``."""
        return Resources(*(amount * factor for amount in self))

    def fits(self, free: Resources) -> bool:
        """Return whether no dimension exceeds ``free``."""
        return (
            self[0] <= free[0]
            and self[1] <= free[1]
            and self[2] <= free[2]
            and self[3] <= free[3]
            and self[4] <= free[4]
        )

    def dominant_share(self, whole: Resources) -> float:
        """Return the largest fraction of ``whole`` over its non-zero dimensions."""
        return max(
            (a / w for a, w in zip(self, whole, strict=True) if w > 0), default=0.0
        )


#: Zero in every dimension.
ZERO = Resources()


def total(amounts: Iterable[Resources]) -> Resources:
    """Return the sum in every dimension."""
    result = ZERO
    for each in amounts:
        result = result.plus(each)
    return result
