"""Selects the workers that an advice request for a gang names.

Load pattern: gangs whose tasks each take a whole worker, in a pool where other work
holds most of the capacity and the policy allows a gang a third of the workers. Naming
only workers with free capacity finds one allowed worker a request, its ticket expires
before the next one is found, and the gang waits although capacity is free.

The policy's decision for a step does not change, so it is requested early and for many
workers; the lead reserves some of them meanwhile. Tickets expire soon, so they are
requested for all workers of the gang together, as these become free.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ._pool_worker import PoolWorker

#: Enough allowed workers are known when, empty, they would hold this many times the
#: gang's tasks: if workers are busy two thirds of the time, enough of them are free.
KNOWN_FACTOR = 3.0
#: Tickets are requested for this many times a gang's tasks, since other tasks take some
#: of the capacity before the answer arrives.
TICKET_FACTOR = 1.25
#: Maximum number of workers that the adviser accepts in one request.
MAX_NAMED = 100
#: Divisor: in a request that also names unknown workers, tickets may be requested for
#: MAX_NAMED // LEARNING_DIVISOR workers, or more if few unknown ones are named.
LEARNING_DIVISOR = 2


class GangCapacity(NamedTuple):
    """Capacity of one worker for tasks of a gang."""

    worker: PoolWorker
    #: Tasks that fit at ``free_at_ms``.
    copies: int
    #: Tasks that fit on the worker while it is empty.
    copies_empty: int
    #: When it should have capacity for a task, in Unix milliseconds.
    free_at_ms: float


class GangAdvice(NamedTuple):
    """Known advice for a gang, and the cost of further requests."""

    #: Number of tasks in the gang.
    count: int
    #: Ids of the workers that are known to be allowed.
    allowed: frozenset[str]
    #: Returns whether an allowed worker has a usable ticket.
    has_ticket: Callable[[PoolWorker], bool]
    #: Share of the workers that the policy allows.
    allowed_share: float
    #: Minimum number of unknown workers to name in a request.
    min_named: int
    #: Returns the expected duration of a request in milliseconds, by workers named.
    request_ms: Callable[[int], float]

    def workers_to_name(
        self, capacities: Sequence[GangCapacity], now_ms: int
    ) -> list[str]:
        """Return the ids of the workers to name now, none if no request is due.

        ``capacities`` are the workers that are not known to be forbidden.
        """
        capacities = sorted(
            capacities, key=lambda capacity: (capacity.free_at_ms, capacity.worker.id)
        )
        allowed = [
            capacity for capacity in capacities if capacity.worker.id in self.allowed
        ]
        unknown = [
            capacity
            for capacity in capacities
            if capacity.worker.id not in self.allowed
        ]
        free, copies = self._free_by_answer(allowed, now_ms)
        if copies >= self.count:
            if self._tasks_with_ticket(free) >= self.count:
                return []
            if len(free) > MAX_NAMED:
                # One request can't name all of them; the next one names the rest.
                free.sort(key=lambda capacity: self.has_ticket(capacity.worker))
            return [capacity.worker.id for capacity in free[:MAX_NAMED]]
        named = self._unknown_to_name(allowed, unknown, now_ms)
        renewed = max(MAX_NAMED - len(named), MAX_NAMED // LEARNING_DIVISOR)
        capacities = [*free[:renewed], *named] if named else []
        return [capacity.worker.id for capacity in capacities[:MAX_NAMED]]

    def _unknown_to_name(
        self,
        allowed: Sequence[GangCapacity],
        unknown: Sequence[GangCapacity],
        now_ms: int,
    ) -> Sequence[GangCapacity]:
        """Return the unknown workers to name."""
        known = sum(capacity.copies_empty for capacity in allowed)
        missing = self.count * KNOWN_FACTOR - known
        if missing <= 0:
            # Enough are known, but others may have capacity much sooner.
            start_ms = self._expected_start_ms(allowed)
            answer_ms = now_ms + self.request_ms(len(unknown))
            sooner = [r for r in unknown if max(answer_ms, r.free_at_ms) < start_ms]
            expected = sum(capacity.copies for capacity in sooner) * self.allowed_share
            return sooner if expected >= self.count else []
        named: list[GangCapacity] = []
        for capacity in unknown:
            enough = missing <= 0 and len(named) >= self.min_named
            if enough:
                break
            missing -= capacity.copies_empty * self.allowed_share
            named.append(capacity)
        return named

    def _expected_start_ms(self, allowed: Sequence[GangCapacity]) -> float:
        """Return when the allowed workers should have capacity for the whole gang."""
        copies = 0
        for capacity in allowed:
            copies += capacity.copies
            if copies >= self.count:
                return capacity.free_at_ms
        return math.inf

    def _free_by_answer(
        self, allowed: Sequence[GangCapacity], now_ms: int
    ) -> tuple[list[GangCapacity], int]:
        """Return the allowed workers free by the answer, and how many tasks fit."""
        free: list[GangCapacity] = []
        copies = 0
        for capacity in allowed:
            if capacity.free_at_ms > now_ms + self.request_ms(len(free) + 1):
                break
            if copies >= self.count * TICKET_FACTOR:
                break
            free.append(capacity)
            copies += capacity.copies
        return free, copies

    def _tasks_with_ticket(self, capacities: Sequence[GangCapacity]) -> int:
        return sum(
            capacity.copies
            for capacity in capacities
            if self.has_ticket(capacity.worker)
        )
