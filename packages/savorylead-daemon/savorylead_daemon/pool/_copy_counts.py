"""Counts of the copies of late tasks, for the metrics."""

from __future__ import annotations

from collections import Counter


class CopyCounts:
    """Counts kept across the leads of one daemon."""

    def __init__(self) -> None:
        #: Number of copies by pool and by outcome: ``started``, ``won``, ``lost``.
        self.copies: Counter[tuple[str, str]] = Counter()


class CopyCounter:
    """Counts the copies of one pool."""

    def __init__(self, pool: str, counts: CopyCounts) -> None:
        self._pool = pool
        self._counts = counts

    def note_started(self) -> None:
        """Count a copy whose start was ordered."""
        self._counts.copies[self._pool, "started"] += 1

    def note_ended(self, won: bool) -> None:
        """Count a copy that is over; it won if its end made the task done."""
        self._counts.copies[self._pool, "won" if won else "lost"] += 1
