"""Tracks which shapes may fit on some worker, without rescanning the workers."""

from __future__ import annotations

from ._indexed_rows import WorkerRow
from ._indexed_shapes import ShapeMasks

#: With more candidate workers than this, their shapes are searched on all workers.
MAX_GROWN = 128
#: With more candidate and unchecked workers than this, all shapes are searched on all
#: workers.
MAX_LOOKED_AT = 256


class OpenShapes:
    """Tracks shapes that fit on no worker until some worker's free capacity increases.

    A shape is closed when a search found no worker for it. A closed shape can fit only
    on a worker whose free capacity has increased since, so later searches check only
    those workers.
    """

    def __init__(self, shapes: ShapeMasks, everything: bool) -> None:
        self._shapes = shapes
        #: Shapes that must be searched on all workers.
        self._anywhere = -1 if everything else 0
        self._may_reopen = everything
        #: Workers whose free capacity increased, with the shapes that may fit there.
        self._grown: dict[WorkerRow, int] = {}
        self._unseen: dict[WorkerRow, None] = {}
        self._union = 0
        self._union_stale = False

    def reopen(self, bit: int) -> None:
        """Open one shape, such as a new one."""
        if self._may_reopen:
            self._anywhere |= bit
            return
        for row in self._grown:
            self._unseen[row] = None

    def grew(self, row: WorkerRow) -> None:
        """Record that the worker's free capacity may have increased."""
        self._unseen[row] = None

    def shrank(self, row: WorkerRow) -> None:
        """Record that the worker's free capacity has decreased."""
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
        """Remove a worker that accepts no new tasks."""
        self._unseen.pop(row, None)
        if self._grown.pop(row, None) is not None:
            self._union_stale = True

    def mask(self) -> int:
        """Return the bits of all shapes that may fit on some worker."""
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
        """Return the workers to search for the shape, or None for all workers."""
        if self._anywhere & bit:
            return None
        return [row for row, mask in self._grown.items() if mask & bit]

    def close(self, bit: int) -> None:
        """Record that the shape fits on no worker."""
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
