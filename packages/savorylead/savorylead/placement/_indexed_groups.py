"""Workers grouped by free capacity, so that a search examines few of them."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping

from savorylead.resources import Resources

from ._amounts import Amounts
from ._rules import PackingOrder

#: Number of low bits of an entry that store the worker's rank, below its sort key.
RANK_BITS = 24
RANK_MASK = (1 << RANK_BITS) - 1
#: Number of buckets of an amount: two per doubling.
BUCKETS = 96


def bucket_of(amount: int) -> int:
    """Return the bucket of an amount, which never decreases with the amount."""
    if amount < 2:
        return 1 if amount == 1 else 0
    length = amount.bit_length()
    return 2 * length - 2 + ((amount >> (length - 2)) & 1)


#: Position of a worker: its free accelerators, the bucket, and its entry.
IndexPosition = tuple[int, int, int]


class FreeCapacityGroups:
    """Workers by free accelerators, then by bucket of the plentiful resource.

    An entry is a sort key of the packing order together with the worker's rank. Each
    list is sorted, so its first entry that fits is its best, and a binary search skips
    entries with too little of the scarce resource.
    """

    def __init__(self, order: PackingOrder) -> None:
        self._order = order
        self._scarce = order.scarce
        self._plentiful = order.plentiful
        self._scarce_weight = order.scarce_weight
        self._accelerator_weight = order.accelerator_weight
        #: By number of free accelerators: a sorted list of entries per bucket.
        self._levels: dict[int, list[list[int]]] = {}
        #: Sorted keys of ``_levels``.
        self._sorted_levels: list[int] = []

    def add(self, free: Amounts, rank: int) -> IndexPosition:
        """Add a worker and return its position, for ``discard``."""
        level = free[2]
        lists = self._levels.get(level)
        if lists is None:
            lists = self._levels[level] = [[] for _ in range(BUCKETS)]
            insort(self._sorted_levels, level)
        amount = free[self._plentiful]
        bucket = 0
        if amount >= 2:
            length = amount.bit_length()
            bucket = 2 * length - 2 + ((amount >> (length - 2)) & 1)
        elif amount == 1:
            bucket = 1
        key = (
            level * self._accelerator_weight
            + free[self._scarce] * self._scarce_weight
            + amount
        )
        entry = key << RANK_BITS | rank
        insort(lists[bucket], entry)
        return level, bucket, entry

    def discard(self, position: IndexPosition) -> None:
        """Remove a worker."""
        level, bucket, entry = position
        entries = self._levels[level][bucket]
        del entries[bisect_left(entries, entry)]

    def first(
        self,
        need: Resources,
        free_by_rank: Mapping[int, Amounts],
        accepts: Callable[[int], bool] | None,
    ) -> int | None:
        """Return the lowest entry that fits and whose rank is accepted, or None.

        ``free_by_rank`` maps ranks to free capacities.
        """
        cores, memory, _, slots, connections = need
        least_bucket = bucket_of(need[self._order.plentiful])
        for level, start_entry in self._suitable(need):
            best: int | None = None
            for entries in self._levels[level][least_bucket:]:
                if not entries or (best is not None and entries[-1] < start_entry):
                    continue
                for index in range(bisect_left(entries, start_entry), len(entries)):
                    entry = entries[index]
                    if best is not None and entry >= best:
                        break
                    free = free_by_rank[entry & RANK_MASK]
                    if (
                        memory <= free[1]
                        and cores <= free[0]
                        and slots <= free[3]
                        and connections <= free[4]
                        and (accepts is None or accepts(entry & RANK_MASK))
                    ):
                        best = entry
                        break
            if best is not None:
                return best
        return None

    def each(self, need: Resources) -> Iterator[Iterator[int]]:
        """Yield iterators over entries that may fit, each in the packing order."""
        least_bucket = bucket_of(need[self._order.plentiful])
        for level, start_entry in self._suitable(need):
            for entries in self._levels[level][least_bucket:]:
                if entries:
                    start = bisect_left(entries, start_entry)
                    yield iter(entries[start:])

    def _suitable(self, need: Resources) -> list[tuple[int, int]]:
        """Return levels with enough accelerators, and the lowest entry of each."""
        order = self._order
        base = need[order.scarce] * order.scarce_weight + need[order.plentiful]
        weight = order.accelerator_weight
        least = need[2]
        return [
            (level, (base + level * weight) << RANK_BITS)
            for level in self._sorted_levels
            if level >= least
        ]
