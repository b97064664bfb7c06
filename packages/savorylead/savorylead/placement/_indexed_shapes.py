"""Sets of task shapes as bit masks, so that a few lookups find those that fit."""

from __future__ import annotations

from savorylead.resources import ZERO, Resources

from ._amounts import Amounts

#: Unused shapes are evicted once there are this many shapes.
MAX_SHAPES = 512


def size_bucket(amount: int) -> int:
    """Return the bucket of an amount: exact below 16, then eight per doubling."""
    length = amount.bit_length()
    if length < 4:
        return amount
    return (length - 4) * 8 + (amount >> (length - 4))


#: Bit of all-at-once jobs, which are never ruled out without a search.
JOB_BIT = 1


class Shape:
    """What determines the workers that fit: request, excluded workers, and backfill."""

    __slots__ = ("avoid", "bit", "key", "need", "short", "users")

    def __init__(
        self, need: Resources, avoid: tuple[str, ...], short: bool, bit: int
    ) -> None:
        self.need = need
        self.avoid = avoid
        self.short = short
        self.key = (need, avoid, short)
        #: A power of two that is unique among the shapes in use.
        self.bit = bit
        #: Number of classes of pending tasks with this shape.
        self.users = 0


#: Shared by the members of all jobs.
JOB_SHAPE = Shape(ZERO, (), False, JOB_BIT)


class ShapeMasks:
    """Assigns bits to shapes and finds those that may fit in a given free capacity.

    Amounts are rounded to buckets, so ``fitting`` may return a shape that is up to an
    eighth too large, but never omits one that fits.
    """

    def __init__(self) -> None:
        self._shapes: dict[object, Shape] = {}
        #: Shapes without users, the longest unused first.
        self._idle: dict[object, Shape] = {}
        self._next_bit = JOB_BIT << 1
        #: Bits of the shapes that may backfill reserved workers.
        self.short_mask = 0
        #: Bits of the shapes in use.
        self.live_mask = 0
        #: Largest request of any shape so far, by dimension.
        self._largest: Amounts = ZERO
        #: By dimension and bucket, the shapes whose request is in the bucket or below.
        self._tables: list[list[int]] = [[JOB_BIT] for _ in Resources._fields]

    def acquire(self, need: Resources, avoid: tuple[str, ...], short: bool) -> Shape:
        """Return the shape, adding one user."""
        key = (need, avoid, short)
        shape = self._shapes.get(key)
        if shape is None:
            shape = Shape(need, avoid, short, self._free_bit())
            self._shapes[key] = shape
            self._add(shape)
        elif shape.users == 0:
            del self._idle[key]
        shape.users += 1
        self.live_mask |= shape.bit
        return shape

    def release(self, shape: Shape) -> None:
        """Remove one user of the shape."""
        shape.users -= 1
        if shape.users == 0:
            self._idle[shape.key] = shape
            self.live_mask &= ~shape.bit

    def fitting(self, free: Amounts) -> int:
        """Return the bits of all shapes that fit in ``free``, and maybe of others."""
        mask = -1
        for table, largest, amount in zip(
            self._tables, self._largest, free, strict=True
        ):
            if amount >= largest:
                continue
            if amount < 0:
                return 0
            length = amount.bit_length()
            if length > 3:
                amount = (length - 4) * 8 + (amount >> (length - 4))
            mask &= table[amount] if amount < len(table) else table[-1]
            if mask == JOB_BIT:
                return mask
        return mask

    def _free_bit(self) -> int:
        if len(self._shapes) < MAX_SHAPES or not self._idle:
            bit = self._next_bit
            self._next_bit <<= 1
            return bit
        key = next(iter(self._idle))
        shape = self._idle.pop(key)
        del self._shapes[key]
        self._clear(shape.bit)
        return shape.bit

    def _add(self, shape: Shape) -> None:
        largest = map(max, self._largest, shape.need)
        self._largest = tuple(largest)
        if shape.short:
            self.short_mask |= shape.bit
        for table, amount in zip(self._tables, shape.need, strict=True):
            first = size_bucket(amount)
            missing = first + 1 - len(table)
            table.extend([table[-1]] * missing)
            for bucket in range(first, len(table)):
                table[bucket] |= shape.bit

    def _clear(self, bit: int) -> None:
        self.short_mask &= ~bit
        for table in self._tables:
            for bucket, mask in enumerate(table):
                table[bucket] = mask & ~bit
