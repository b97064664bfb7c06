"""Queueing of adviser calls in a daemon, and their distribution over the daemons.

Load pattern: the adviser serves each machine's calls one at a time, so a call of half a
second delays calls of a few milliseconds from the same machine.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Coroutine, Sequence
from datetime import datetime, timedelta
from itertools import count
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from savorylead.clock import Clock, to_millis
from savorylead.pools import (
    SHORT_CALL_MS,
    Advice,
    AdviceSlots,
    AdviserBusyError,
    AdviserError,
    AdviserRefusedError,
    PolicyAdviser,
)

#: Maximum number of calls that wait in a daemon; the adviser itself queues up to 32.
MAX_WAITING = 24
#: How far a waiting call's rank improves per millisecond of waiting.
AGEING_PER_MS = 0.25
#: One daemon in this many is reserved for short calls.
DAEMONS_PER_RESERVED = 3
#: Wait on the other daemons, in milliseconds, above which a long call goes to a daemon
#: reserved for short ones: as long as the longest calls take.
RESERVED_PENALTY_MS = 600.0
#: Expected wait of a short call for a long one, in milliseconds: half of a usual long
#: call.
LONG_CALL_REST_MS = 150.0
#: Maximum number of short calls in progress through one daemon: the next ones are
#: already queued while one is answered, and none waits longer than a pass of the
#: planner.
MAX_SHORT_CALLS = 4
#: Time for which a daemon is excluded after a failed call; it doubles with each further
#: failure. Calls that fail immediately leave the daemon's queue empty, which would
#: attract all other calls.
MIN_EXCLUSION = timedelta(seconds=1)
#: Longest time for which a daemon is excluded.
MAX_EXCLUSION = timedelta(seconds=30)


class AdviceQueue:
    """Makes one call at a time, lowest rank first; ranks improve with waiting time."""

    def __init__(self, adviser: PolicyAdviser, clock: Clock) -> None:
        self._adviser = adviser
        self._clock = clock
        self._waiting: list[tuple[float, int, Deferred[None]]] = []
        self._order = count()
        self._busy = False

    async def advise(self, step: str, workers: Sequence[str], rank_ms: float) -> Advice:
        """Make a call when its turn comes; raises AdviserError."""
        if self._busy:
            if len(self._waiting) >= MAX_WAITING:
                raise AdviserBusyError("too many calls wait in this daemon")
            turn: Deferred[None] = Deferred()
            rank = rank_ms + AGEING_PER_MS * to_millis(self._clock.now())
            entry = (rank, next(self._order), turn)
            heapq.heappush(self._waiting, entry)
            try:
                await turn
            except CancelledError:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
                raise
        self._busy = True
        try:
            return await self._adviser.advise(step, workers)
        finally:
            self._busy = False
            self._start_next()

    def _start_next(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].callback(None)


#: Makes a call through the named daemon; raises AdviserError.
AdviseThrough = Callable[[str, str, Sequence[str], float], Coroutine[Any, Any, Advice]]


class _Backlog:
    """Numbers and expected durations of one lead's open calls through one daemon.

    Also records until when the daemon is excluded after a failed call.
    """

    __slots__ = (
        "long_calls",
        "long_ms",
        "next_exclusion",
        "not_before",
        "short_calls",
        "short_ms",
    )

    def __init__(self) -> None:
        #: Time for which the daemon is excluded after the next failure.
        self.next_exclusion = MIN_EXCLUSION
        self.not_before: datetime | None = None
        self.short_calls = 0
        self.long_calls = 0
        self.short_ms = 0.0
        self.long_ms = 0.0

    def succeeded(self) -> None:
        """Record that a call returned advice."""
        self.next_exclusion = MIN_EXCLUSION
        self.not_before = None

    def failed(self, now: datetime) -> None:
        """Record a failed call; calls that fail together count once."""
        if self.not_before is None or self.not_before <= now:
            self.not_before = now + self.next_exclusion
            self.next_exclusion = min(2 * self.next_exclusion, MAX_EXCLUSION)


class AdviceRouter:
    """Chooses the daemon for each call by the expected wait there.

    Every lead reserves the same daemons, the first ones by name, for short calls unless
    the others are much busier. A daemon makes short calls first, so a short one waits
    for the other short ones and, at most, for the rest of a long one. A daemon through
    which calls fail is excluded while another one is available.
    """

    def __init__(self, advise_through: AdviseThrough, clock: Clock) -> None:
        self._advise_through = advise_through
        self._clock = clock
        self._backlogs: dict[str, _Backlog] = {}

    def choose(self, names: Sequence[str], expected_ms: float) -> str:
        """Return the daemon that should make a call of the expected duration."""
        ordered = sorted(names)
        for_short = _reserved_for_short(len(ordered))
        is_short = expected_ms <= SHORT_CALL_MS

        def cost(index: int) -> tuple[float, int]:
            backlog = self._backlogs.get(ordered[index]) or _Backlog()
            wait_ms = backlog.short_ms
            if not is_short:
                wait_ms += backlog.long_ms
                if index < for_short:
                    wait_ms += RESERVED_PENALTY_MS
            elif backlog.long_calls:
                wait_ms += LONG_CALL_REST_MS
            return wait_ms, index

        return ordered[min(self._usable(ordered), key=cost)]

    def slots(self, names: Sequence[str]) -> AdviceSlots:
        """Return how many calls can be made now without a long wait.

        Load pattern: calls for work that could not start soon filled the queues of all
        daemons, and those of urgent steps waited behind them.
        """
        for_short = _reserved_for_short(len(names))
        short = long = 0
        ordered = sorted(names)
        usable = self._usable(ordered)
        for_long = [index for index in usable if index >= for_short] or usable
        for index in usable:
            backlog = self._backlogs.get(ordered[index]) or _Backlog()
            if backlog.long_calls:
                continue
            short += max(0, MAX_SHORT_CALLS - backlog.short_calls)
            long += index in for_long
        return AdviceSlots(short, long)

    def _usable(self, ordered: Sequence[str]) -> Sequence[int]:
        """Return the indices of the daemons that are not excluded, or all indices."""
        now = self._clock.now()
        usable = []
        for index, name in enumerate(ordered):
            backlog = self._backlogs.get(name)
            until = None if backlog is None else backlog.not_before
            if until is None or until <= now:
                usable.append(index)
        return usable or range(len(ordered))

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
        backlog = self._backlogs.setdefault(name, _Backlog())
        is_short = expected_ms <= SHORT_CALL_MS
        if is_short:
            backlog.short_calls += 1
            backlog.short_ms += expected_ms
        else:
            backlog.long_calls += 1
            backlog.long_ms += expected_ms
        try:
            advice = await self._advise_through(name, step, workers, rank_ms)
        except AdviserRefusedError:
            raise
        except AdviserError:
            backlog.failed(self._clock.now())
            raise
        else:
            backlog.succeeded()
            return advice
        finally:
            if is_short:
                backlog.short_calls -= 1
                backlog.short_ms -= expected_ms
            else:
                backlog.long_calls -= 1
                backlog.long_ms -= expected_ms


def _reserved_for_short(daemons: int) -> int:
    return max(1, daemons // DAEMONS_PER_RESERVED)
