"""Conservative estimates of a worker's clock and lease expiry."""

from __future__ import annotations

from datetime import datetime, timedelta

from savorylead.clock import Clock

#: Largest fraction by which a worker's clock may run slow.
CLOCK_DRIFT = 0.02
_MS = timedelta(milliseconds=1)


class WorkerClock:
    """Computes a lower bound of a worker's clock, and whether its lease is over."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._read_ms = 0
        self._read_at: datetime | None = None
        #: The latest deadline that may have been sent to the worker, on its clock.
        self._lease_until_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether a reading of the worker's clock has been received."""
        return self._read_at is not None

    @property
    def has_lease(self) -> bool:
        """Whether a deadline may have been sent to the worker."""
        return self._lease_until_ms > 0

    def update(self, clock_ms: int) -> None:
        """Record a reading of the worker's clock that was just received."""
        self._read_ms = clock_ms
        self._read_at = self._clock.now()

    def is_older(self, clock_ms: int) -> bool:
        """Return whether a reading is older than the recorded one."""
        return self.is_known and clock_ms < self._read_ms

    def now_ms(self) -> int:
        """Return a lower bound of the worker's clock; 0 if unknown."""
        if self._read_at is None:
            return 0
        elapsed_ms = (self._clock.now() - self._read_at) / _MS
        return self._read_ms + int(elapsed_ms * (1 - CLOCK_DRIFT))

    def extend_lease(self, by_ms: int) -> int:
        """Return a deadline on the worker's clock, to be sent to the worker."""
        deadline_ms = self.now_ms() + by_ms
        self._lease_until_ms = max(self._lease_until_ms, deadline_ms)
        return deadline_ms

    def lease_is_over(self) -> bool:
        """Return whether the lease is definitely over."""
        return self.is_known and self.now_ms() > self._lease_until_ms

    def lease_left_ms(self) -> int:
        """Return how long the lease may still hold on the worker's clock."""
        return max(0, self._lease_until_ms - self.now_ms())

    def limit_lease(self, until_ms: int) -> None:
        """Record that the worker cannot hold its lease beyond a time on its clock."""
        self._lease_until_ms = min(self._lease_until_ms, until_ms)
