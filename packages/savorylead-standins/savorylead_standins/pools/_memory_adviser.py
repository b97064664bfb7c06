"""The policy adviser in memory: one call at a time for each calling machine."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from datetime import timedelta

from savorylead.clock import Clock
from savorylead.pools import Advice, AdviserBusyError, PolicyAdviser


class MemoryAdviser(PolicyAdviser):
    """Allows a fixed part of the workers for each step; the choice never changes."""

    def __init__(
        self,
        clock: Clock,
        decide: timedelta = timedelta(milliseconds=20),
        good_of_ten: int = 7,
        valid_ms: int = 2_000,
    ) -> None:
        self._clock = clock
        self._decide = decide
        self._good_of_ten = good_of_ten
        self._valid_ms = valid_ms
        self._busy_until = clock.now()
        self.calls = 0
        self.most_waiting = 32

    async def advise(self, step: str, workers: Sequence[str]) -> Advice:
        """Return which of the workers may run the step."""
        self.calls += 1
        now = self._clock.now()
        waiting = (self._busy_until - now) / self._decide
        if waiting > self.most_waiting:
            raise AdviserBusyError("too many calls wait")
        self._busy_until = max(now, self._busy_until) + self._decide
        await self._clock.sleep(self._busy_until - now)
        tickets = {w: f"{step}/{w}" for w in workers if self.allows(step, w)}
        return Advice(tickets, self._valid_ms)

    def allows(self, step: str, worker: str) -> bool:
        """Return whether the policy allows a worker."""
        return zlib.crc32(f"{step}/{worker}".encode()) % 10 < self._good_of_ten
