"""Execution of peers' requests, of which several copies may arrive."""

from __future__ import annotations

from collections.abc import Coroutine
from datetime import datetime, timedelta
from typing import Any

from savorylead.clock import Clock
from savorylead.store import StoreError

#: How long a request is remembered. Daemons of earlier versions repeat one for 500 ms.
MEMORY = timedelta(seconds=2)


class PeerRequests:
    """Refuses a copy of a request only if no other copy may take effect.

    A refusal tells the sender that nothing was done. A sender that got no answer may
    have sent a copy, and takes its refusal for that of the whole request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: How many copies were not refused, and when the last one arrived, by request.
        self._unrefused: dict[str, tuple[int, datetime]] = {}

    async def execute(self, key: str, work: Coroutine[Any, Any, bool]) -> bool:
        """Return the result of ``work``, False if nothing was done.

        ``key`` is the same for all copies of a request. Raises StoreError if the
        outcome is unknown, also that of another copy.
        """
        self._forget_old()
        copies, _ = self._unrefused.get(key, (0, None))
        self._unrefused[key] = (copies + 1, self._clock.now())
        if await work:
            return True
        copies, arrived_at = self._unrefused.get(key, (1, self._clock.now()))
        if copies > 1:
            self._unrefused[key] = (copies - 1, arrived_at)
            raise StoreError(f"another copy of the request for {key} may take effect")
        self._unrefused.pop(key, None)
        return False

    def _forget_old(self) -> None:
        """Remove the requests that no sender repeats any more, oldest first."""
        oldest = self._clock.now() - MEMORY
        while self._unrefused:
            key, (_, arrived_at) = next(iter(self._unrefused.items()))
            if arrived_at >= oldest:
                break
            del self._unrefused[key]
