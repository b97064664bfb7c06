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
TICKET_SPARE = 1.25
#: Maximum number of workers that the adviser accepts in one request.
MAX_NAMED = 100
#: Divisor: in a request that also names unknown workers, tickets may be requested for
#: MAX_NAMED // LEARNING_DIVISOR workers, or more if few unknown ones are named.
LEARNING_DIVISOR = 2


class GangRoom(NamedTuple):
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
    good: frozenset[str]
    #: Returns whether an allowed worker has a usable ticket.
    has_ticket: Callable[[PoolWorker], bool]
    #: Share of the workers that the policy allows.
    share: float
    #: Minimum number of unknown workers to name in a request.
    fewest: int
    #: Returns the expected duration of a request in milliseconds, by workers named.
    call_ms: Callable[[int], float]

    def to_name(self, rooms: Sequence[GangRoom], now_ms: int) -> list[str]:
        """Return the ids of the workers to name now, none if no request is due.

        ``rooms`` are the workers that are not known to be forbidden.
        """
        rooms = sorted(rooms, key=lambda room: (room.free_at_ms, room.worker.id))
        good = [room for room in rooms if room.worker.id in self.good]
        unknown = [room for room in rooms if room.worker.id not in self.good]
        soon, copies = self._soon(good, now_ms)
        if copies >= self.count:
            if self._ticketed(soon) >= self.count:
                return []
            if len(soon) > MAX_NAMED:
                # One request can't name all of them; the next one names the rest.
                soon.sort(key=lambda room: self.has_ticket(room.worker))
            return [room.worker.id for room in soon[:MAX_NAMED]]
        named = self._to_learn(good, unknown, now_ms)
        renewed = max(MAX_NAMED - len(named), MAX_NAMED // LEARNING_DIVISOR)
        rooms = [*soon[:renewed], *named] if named else []
        return [room.worker.id for room in rooms[:MAX_NAMED]]

    def _to_learn(
        self, good: Sequence[GangRoom], unknown: Sequence[GangRoom], now_ms: int
    ) -> Sequence[GangRoom]:
        """Return the unknown workers to name."""
        known = sum(room.copies_empty for room in good)
        lacking = self.count * KNOWN_FACTOR - known
        if lacking <= 0:
            # Enough are known, but others may have capacity much sooner.
            begins_ms = self._begins_at_ms(good)
            answer_ms = now_ms + self.call_ms(len(unknown))
            sooner = [r for r in unknown if max(answer_ms, r.free_at_ms) < begins_ms]
            expected = sum(room.copies for room in sooner) * self.share
            return sooner if expected >= self.count else []
        named: list[GangRoom] = []
        for room in unknown:
            enough = lacking <= 0 and len(named) >= self.fewest
            if enough:
                break
            lacking -= room.copies_empty * self.share
            named.append(room)
        return named

    def _begins_at_ms(self, good: Sequence[GangRoom]) -> float:
        """Return when the allowed workers should have capacity for the whole gang."""
        copies = 0
        for room in good:
            copies += room.copies
            if copies >= self.count:
                return room.free_at_ms
        return math.inf

    def _soon(
        self, good: Sequence[GangRoom], now_ms: int
    ) -> tuple[list[GangRoom], int]:
        """Return the allowed workers free by the answer, and how many tasks fit."""
        soon: list[GangRoom] = []
        copies = 0
        for room in good:
            if room.free_at_ms > now_ms + self.call_ms(len(soon) + 1):
                break
            if copies >= self.count * TICKET_SPARE:
                break
            soon.append(room)
            copies += room.copies
        return soon, copies

    def _ticketed(self, rooms: Sequence[GangRoom]) -> int:
        return sum(room.copies for room in rooms if self.has_ticket(room.worker))
