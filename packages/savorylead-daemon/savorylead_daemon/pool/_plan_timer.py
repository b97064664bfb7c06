"""When the planner of a lead passes over what waits."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta

from twisted.logger import Logger

from savorylead.clock import Clock, Timer, to_millis

#: Least time between two passes of the planner.
PLAN_EVERY = timedelta(milliseconds=5)
#: A pass is followed by a pause of this many times its own length.
PLAN_PAUSE_FACTOR = 2.0
#: Longest time without a pass, since tickets, rests and deadlines end by themselves.
PLAN_AT_LEAST = timedelta(milliseconds=250)

_log = Logger()


class PlanTimer:
    """Calls ``plan(now_ms)`` soon after something changed, and now and then anyway."""

    def __init__(self, clock: Clock, plan: Callable[[int], None]) -> None:
        self._clock = clock
        self._plan = plan
        self._timer: Timer | None = None
        self._due_ms = 0
        self._not_before = clock.now()
        self._closed = False

    def soon(self) -> None:
        """Have a pass as soon as the pause after the last one is over."""
        self._at(self._not_before)

    def close(self) -> None:
        """Have no pass any more."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _at(self, moment: datetime) -> None:
        if self._closed:
            return
        now = self._clock.now()
        delay = max(timedelta(0), moment - now)
        due_ms = to_millis(now + delay)
        if self._timer is not None:
            if due_ms >= self._due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        self._timer = self._clock.call_later(delay, self._pass)

    def _pass(self) -> None:
        self._timer = None
        began = self._clock.now()
        try:
            self._plan(to_millis(began))
        except Exception:
            # The next pass may see something else; an end of all passes ends the pool.
            _log.failure("a pass of the planner failed")
        ended = self._clock.now()
        pause = max(PLAN_EVERY, (ended - began) * PLAN_PAUSE_FACTOR)
        self._not_before = ended + pause
        if self._timer is None:
            self._at(ended + PLAN_AT_LEAST)
