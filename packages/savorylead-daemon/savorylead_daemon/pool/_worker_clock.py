"""A worker's own clock and lease, as far as its lead surely knows them."""

from __future__ import annotations

from datetime import datetime, timedelta

from savorylead.clock import Clock

#: A worker's clock may be this much slow.
CLOCK_DRIFT = 0.02
_MS = timedelta(milliseconds=1)


class WorkerClock:
    """Tells the least that a worker's clock shows now, and when its lease is over."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._read_ms = 0
        self._read_at: datetime | None = None
        #: The latest deadline that the worker may have been told, on its clock.
        self._lease_until_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the worker has told its time."""
        return self._read_at is not None

    @property
    def has_lease(self) -> bool:
        """Whether the worker may have been told a deadline."""
        return self._lease_until_ms > 0

    def read(self, clock_ms: int) -> None:
        """Take note of the time that the worker told just now."""
        self._read_ms = clock_ms
        self._read_at = self._clock.now()

    def is_older(self, clock_ms: int) -> bool:
        """Return whether a time was told before the one that is known."""
        return self.is_known and clock_ms < self._read_ms

    def now_ms(self) -> int:
        """Return the worker's clock, at most as far as it surely is; 0 if unknown."""
        if self._read_at is None:
            return 0
        elapsed_ms = (self._clock.now() - self._read_at) / _MS
        return self._read_ms + int(elapsed_ms * (1 - CLOCK_DRIFT))

    def extend_lease(self, by_ms: int) -> int:
        """Return a deadline, on the worker's clock, that it will be told."""
        deadline_ms = self.now_ms() + by_ms
        self._lease_until_ms = max(self._lease_until_ms, deadline_ms)
        return deadline_ms

    def lease_is_over(self) -> bool:
        """Return whether the lease is surely over."""
        return self.is_known and self.now_ms() > self._lease_until_ms

    def forget_lease(self) -> None:
        """Take note that nothing that was told before holds any more."""
        self._lease_until_ms = 0
