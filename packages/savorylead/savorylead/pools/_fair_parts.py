"""Max-min fair division of one amount among pools."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from savorylead.resources import Resources


class Demand(NamedTuple):
    """What one pool demands of an amount."""

    wanted: int
    #: What it is to get before the rest is divided; 0 for none.
    floor: int = 0

    @property
    def amount(self) -> int:
        """The amount that satisfies the pool."""
        return max(self.wanted, self.floor)


class OtherPool(NamedTuple):
    """What another pool holds and demands of a limit."""

    granted: tuple[int, ...]
    wanted: tuple[int, ...]
    #: What it is granted first, since it has claimed it.
    floor: Resources

    def demand(self, index: int) -> Demand:
        """Return its demand in one dimension.

        What it is granted and still demands may be held by runs that go on for long.
        """
        kept = min(self.granted[index], self.wanted[index])
        return Demand(self.wanted[index], max(self.floor[index], kept))

    def uses(self, index: int) -> bool:
        """Return whether it is granted or demands anything in one dimension."""
        return bool(self.granted[index] or self.wanted[index] or self.floor[index])

    def is_short(self, index: int) -> bool:
        """Return whether it demands more than its grant in one dimension."""
        return max(self.wanted[index], self.floor[index]) > self.granted[index]


def fair_part(
    bound: int, own: Demand, others: Sequence[Demand], surplus_share: float
) -> int:
    """Return a pool's max-min fair part of ``bound``.

    If all demands can be met, the pool gets ``surplus_share`` of the rest as well.
    Otherwise each pool gets its demand up to a common level, and no less than its
    floor; with proportional parts, a job that can't start with less than its full
    demand would starve. The parts add up to ``bound`` at most if the floors do, and if
    all pools compute them from the same demands.
    """
    demands = [own, *others]
    left = bound - sum(demand.amount for demand in demands)
    if left >= 0:
        return own.amount + int(left * surplus_share)
    return _part_at(_common_level(bound, demands), own)


def _part_at(level: int, demand: Demand) -> int:
    return max(demand.floor, min(demand.wanted, level))


def _common_level(bound: int, demands: Sequence[Demand]) -> int:
    """Return the highest level at which the parts do not exceed ``bound``."""
    reached = 0
    # Between two of these values the sum of the parts grows linearly.
    for level in sorted({value for demand in demands for value in demand}):
        if sum(_part_at(level, demand) for demand in demands) > bound:
            break
        reached = level
    total = sum(_part_at(reached, demand) for demand in demands)
    growing = sum(1 for d in demands if d.floor <= reached < d.wanted)
    return reached + max(0, bound - total) // max(1, growing)


def is_any_short(others: Iterable[OtherPool], index: int) -> bool:
    """Return whether a pool demands more than its grant in one dimension.

    What one pool does not use is no help to another one until it is given back.
    """
    return any(other.is_short(index) for other in others)
