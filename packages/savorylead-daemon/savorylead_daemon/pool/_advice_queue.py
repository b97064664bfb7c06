"""Calls for advice: in which order a daemon makes them, and which daemon does.

Load pattern: a call of half a second would keep calls of a few milliseconds waiting
on the same machine, and the adviser serves each machine's calls one at a time.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Coroutine, Mapping, Sequence
from itertools import count
from typing import Any

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, to_millis
from savorylead.pools import Advice, AdviserBusyError, PolicyAdviser

#: Calls that may wait in a daemon; the adviser itself lets 32 wait.
MAX_WAITING = 24
#: A waiting call gains this much of rank for each millisecond it waits.
AGEING = 0.25
#: Calls expected to take longer are kept away from the machines for short ones.
SHORT_MS = 60.0
#: Part of the daemons, as a divisor, that make short calls.
SHORT_DIVISOR = 3


class AdviceQueue:
    """Makes one call at a time, the lowest rank first, with ageing."""

    def __init__(self, adviser: PolicyAdviser, clock: Clock) -> None:
        self._adviser = adviser
        self._clock = clock
        self._waiting: list[tuple[float, int, Deferred[None]]] = []
        self._order = count()
        self._busy = False

    async def advise(self, step: str, workers: Sequence[str], rank_ms: float) -> Advice:
        """Return advice once this call's turn has come; raises AdviserError."""
        if self._busy:
            if len(self._waiting) >= MAX_WAITING:
                raise AdviserBusyError("too many calls wait in this daemon")
            turn: Deferred[None] = Deferred()
            rank = rank_ms + AGEING * to_millis(self._clock.now())
            heapq.heappush(self._waiting, (rank, next(self._order), turn))
            await turn
        self._busy = True
        try:
            return await self._adviser.advise(step, workers)
        finally:
            self._busy = False
            self._next()

    def _next(self) -> None:
        while self._waiting:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.called:
                turn.callback(None)
                return


#: Makes a call through the daemon of that name; raises AdviserError.
AskThrough = Callable[[str, str, Sequence[str], float], Coroutine[Any, Any, Advice]]


class AdviceRouter:
    """Chooses the daemon for each call by what is expected to wait there."""

    def __init__(self, ask_through: AskThrough) -> None:
        self._ask_through = ask_through
        self._backlog_ms: dict[str, float] = {}

    def choose(self, names: Sequence[str], expected_ms: float) -> str:
        """Return the daemon that should make a call of that length."""
        ordered = sorted(names)
        short = max(1, len(ordered) // SHORT_DIVISOR)
        if len(ordered) > 1:
            if expected_ms <= SHORT_MS:
                ordered = ordered[:short]
            else:
                ordered = ordered[short:]
        return min(ordered, key=lambda name: self._backlog_ms.get(name, 0.0))

    async def advise(
        self,
        names: Sequence[str],
        step: str,
        workers: Sequence[str],
        expected_ms: float,
        rank_ms: float,
    ) -> Advice:
        """Return advice through one of the daemons; raises AdviserError."""
        name = self.choose(names, expected_ms)
        self._backlog_ms[name] = self._backlog_ms.get(name, 0.0) + expected_ms
        try:
            return await self._ask_through(name, step, workers, rank_ms)
        finally:
            self._backlog_ms[name] -= expected_ms

    def backlog(self) -> Mapping[str, float]:
        """Return the expected work, in milliseconds, that waits at each daemon."""
        return self._backlog_ms
