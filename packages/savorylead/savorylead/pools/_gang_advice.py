"""Which workers a call for advice names for a gang.

Load pattern: gangs whose tasks each take a whole worker, in a pool where other work
holds most of the room and the policy allows a gang a third of the workers. Naming only
workers with room at that moment finds one allowed worker a call, its ticket ends before
the next one is found, and the gang waits beside free room.

What a policy allows a step does not change, so it is learned early and of many workers;
the lead keeps some of them free meanwhile. Tickets end soon, so they are fetched for
all workers of the gang together, as these become free.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ._pool_worker import PoolWorker

#: A gang's allowed workers are known when, empty, they would hold this many times its
#: tasks: with a worker busy for two thirds of the time, as many are free as it needs.
KNOWN_FACTOR = 3.0
#: Tickets are fetched for this many times a gang's tasks, since some room is taken
#: before the answer comes.
TICKET_SPARE = 1.25
#: Most workers that the adviser takes in one call.
MAX_NAMED = 100
#: Part of such a call, as a divisor, that tickets leave to workers that are not known.
LEARNING_DIVISOR = 2


class GangRoom(NamedTuple):
    """What one worker could hold of a gang."""

    worker: PoolWorker
    #: Tasks that fit when the next one does.
    copies: int
    #: Tasks that fit on the worker while it is empty.
    copies_empty: int
    #: When it should have room for a task, in Unix milliseconds.
    free_at_ms: float


class GangAdvice(NamedTuple):
    """What is known of a gang, and what calls for it cost."""

    #: Tasks of the gang.
    count: int
    #: Ids of the workers that are known to be allowed.
    good: frozenset[str]
    #: Returns whether the ticket of an allowed worker may be used now.
    has_ticket: Callable[[PoolWorker], bool]
    #: Part of the workers that the policy allows.
    share: float
    #: Fewest unknown workers worth a call.
    fewest: int
    #: Expected length in milliseconds of a call that names so many workers.
    call_ms: Callable[[int], float]

    def to_name(self, rooms: Sequence[GangRoom], now_ms: int) -> list[str]:
        """Return the ids of the workers to ask about now, none if no call is due.

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
                # One call does not take all; the next one fetches what this one left.
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
            # Enough are known, but others may have room much sooner.
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
        """Return when the allowed workers should hold the whole gang."""
        copies = 0
        for room in good:
            copies += room.copies
            if copies >= self.count:
                return room.free_at_ms
        return math.inf

    def _soon(
        self, good: Sequence[GangRoom], now_ms: int
    ) -> tuple[list[GangRoom], int]:
        """Return the allowed workers that are free by the answer, and their copies."""
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
