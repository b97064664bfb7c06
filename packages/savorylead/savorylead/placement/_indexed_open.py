"""Which shapes may find room, kept without looking at the workers again."""

from __future__ import annotations

from ._indexed_rows import WorkerRow
from ._indexed_shapes import ShapeMasks

#: Shapes that fit on more grown workers than this are searched for everywhere.
MAX_GROWN = 128
#: With more grown workers than this, every shape is searched for everywhere.
MAX_LOOKED_AT = 256


class OpenShapes:
    """Knows shapes that no worker has room for, until some worker's room grows.

    A shape is closed when a search found no worker. Only a worker whose room has
    grown since may have room for a closed shape, so a search looks at these alone.
    """

    def __init__(self, shapes: ShapeMasks, everything: bool) -> None:
        self._shapes = shapes
        #: Shapes that may fit on any worker.
        self._anywhere = -1 if everything else 0
        self._may_reopen = everything
        #: Workers whose room grew, with the shapes that may fit there.
        self._grown: dict[WorkerRow, int] = {}
        self._unseen: dict[WorkerRow, None] = {}
        self._union = 0
        self._union_stale = False

    def reopen(self, bit: int) -> None:
        """Open one shape, as when it is new."""
        if self._may_reopen:
            self._anywhere |= bit
            return
        for row in self._grown:
            self._unseen[row] = None

    def grew(self, row: WorkerRow) -> None:
        """Note that the worker has more room than before."""
        self._unseen[row] = None

    def shrank(self, row: WorkerRow) -> None:
        """Note that the worker has less room than before."""
        mask = self._grown.get(row)
        if mask is None:
            return
        mask &= self._shapes.fitting(row.room)
        self._union_stale = True
        if self._may_reopen and not mask & self._shapes.live_mask:
            del self._grown[row]
        else:
            self._grown[row] = mask

    def left(self, row: WorkerRow) -> None:
        """Note that the worker takes no work any more."""
        self._unseen.pop(row, None)
        if self._grown.pop(row, None) is not None:
            self._union_stale = True

    def mask(self) -> int:
        """Return the bits of all shapes that may find room."""
        if self._unseen:
            self._look_at_unseen()
        if self._union_stale:
            self._union_stale = False
            union = 0
            for mask in self._grown.values():
                union |= mask
            self._union = union
        return self._anywhere | self._union

    def candidates(self, bit: int) -> list[WorkerRow] | None:
        """Return the workers to search for the shape; None means all of them."""
        if self._anywhere & bit:
            return None
        return [row for row, mask in self._grown.items() if mask & bit]

    def close(self, bit: int) -> None:
        """Note that no worker has room for the shape."""
        self._anywhere &= ~bit
        if not self._union & bit:
            return
        self._union &= ~bit
        live = self._shapes.live_mask
        for row, mask in list(self._grown.items()):
            if mask & bit:
                self._grown[row] = mask & ~bit
                if self._may_reopen and not mask & ~bit & live:
                    del self._grown[row]

    def _look_at_unseen(self) -> None:
        together = len(self._unseen) + len(self._grown)
        if self._may_reopen and together > MAX_LOOKED_AT:
            self._anywhere = -1
            self._grown.clear()
            self._unseen.clear()
            self._union_stale = True
            return
        live = self._shapes.live_mask
        for row in self._unseen:
            mask = self._shapes.fitting(row.room)
            if mask & live or not self._may_reopen:
                self._grown[row] = mask
            else:
                self._grown.pop(row, None)
        self._unseen.clear()
        self._union_stale = True
        if self._may_reopen and len(self._grown) > MAX_GROWN:
            for mask in self._grown.values():
                self._anywhere |= mask
            self._grown.clear()
