"""Tracks which shapes may fit on some worker, without rescanning the workers."""

from __future__ import annotations

from ._indexed_rows import WorkerRow
from ._indexed_shapes import ShapeMasks

#: With more candidate workers than this, their shapes are searched on all workers.
MAX_CANDIDATES = 128
#: With more candidate and unchecked workers than this, all shapes are searched on all
#: workers.
MAX_CHECKED = 256


class OpenShapes:
    """Tracks shapes that fit on no worker until some worker's free capacity increases.

    A shape is closed when a search found no worker for it. A closed shape can fit only
    on a worker whose free capacity has increased since, so later searches check only
    those workers.
    """

    def __init__(self, shapes: ShapeMasks, covers_index: bool) -> None:
        self._shapes = shapes
        #: Shapes that must be searched on all workers.
        self._search_all_mask = -1 if covers_index else 0
        self._covers_index = covers_index
        #: Workers whose free capacity increased, with the shapes that may fit there.
        self._candidate_masks: dict[WorkerRow, int] = {}
        self._unchecked: dict[WorkerRow, None] = {}
        self._union = 0
        self._union_stale = False

    def reopen(self, bit: int) -> None:
        """Open one shape, such as a new one."""
        if self._covers_index:
            self._search_all_mask |= bit
            return
        for row in self._candidate_masks:
            self._unchecked[row] = None

    def capacity_increased(self, row: WorkerRow) -> None:
        """Record that the worker's free capacity may have increased."""
        self._unchecked[row] = None

    def capacity_decreased(self, row: WorkerRow) -> None:
        """Record that the worker's free capacity has decreased."""
        mask = self._candidate_masks.get(row)
        if mask is None:
            return
        mask &= self._shapes.fitting(row.room)
        self._union_stale = True
        if self._covers_index and not mask & self._shapes.live_mask:
            del self._candidate_masks[row]
        else:
            self._candidate_masks[row] = mask

    def remove_worker(self, row: WorkerRow) -> None:
        """Remove a worker that accepts no new tasks."""
        self._unchecked.pop(row, None)
        if self._candidate_masks.pop(row, None) is not None:
            self._union_stale = True

    def mask(self) -> int:
        """Return the bits of all shapes that may fit on some worker."""
        if self._unchecked:
            self._update_candidates()
        if self._union_stale:
            self._union_stale = False
            union = 0
            for mask in self._candidate_masks.values():
                union |= mask
            self._union = union
        return self._search_all_mask | self._union

    def candidates(self, bit: int) -> list[WorkerRow] | None:
        """Return the workers to search for the shape, or None for all workers."""
        if self._search_all_mask & bit:
            return None
        return [row for row, mask in self._candidate_masks.items() if mask & bit]

    def close(self, bit: int) -> None:
        """Record that the shape fits on no worker."""
        self._search_all_mask &= ~bit
        if not self._union & bit:
            return
        self._union &= ~bit
        live = self._shapes.live_mask
        for row, mask in list(self._candidate_masks.items()):
            if mask & bit:
                self._candidate_masks[row] = mask & ~bit
                if self._covers_index and not mask & ~bit & live:
                    del self._candidate_masks[row]

    def _update_candidates(self) -> None:
        total = len(self._unchecked) + len(self._candidate_masks)
        if self._covers_index and total > MAX_CHECKED:
            self._search_all_mask = -1
            self._candidate_masks.clear()
            self._unchecked.clear()
            self._union_stale = True
            return
        live = self._shapes.live_mask
        for row in self._unchecked:
            mask = self._shapes.fitting(row.room)
            if mask & live or not self._covers_index:
                self._candidate_masks[row] = mask
            else:
                self._candidate_masks.pop(row, None)
        self._unchecked.clear()
        self._union_stale = True
        if self._covers_index and len(self._candidate_masks) > MAX_CANDIDATES:
            for mask in self._candidate_masks.values():
                self._search_all_mask |= mask
            self._candidate_masks.clear()
