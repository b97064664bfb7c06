"""Schedules the planning passes of a lead."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta

from twisted.logger import Logger

from savorylead.clock import Clock, Timer, to_millis

#: Shortest interval between two planning passes.
MIN_PLAN_INTERVAL = timedelta(milliseconds=5)
#: A pass is followed by a pause of its own duration times this factor.
PLAN_PAUSE_FACTOR = 2.0
#: Longest interval without a pass: tickets, workers' rest periods and deadlines expire
#: without an event that would trigger one.
MAX_PLAN_INTERVAL = timedelta(milliseconds=250)

_log = Logger()


class PlanTimer:
    """Calls ``plan(now_ms)`` on request, rate-limited, and at a longest interval."""

    def __init__(self, clock: Clock, plan: Callable[[int], None]) -> None:
        self._clock = clock
        self._plan = plan
        self._timer: Timer | None = None
        self._due_ms = 0
        self._not_before = clock.now()
        self._closed = False

    def request_pass(self) -> None:
        """Schedule a pass for when the pause after the last one is over."""
        self._schedule(self._not_before)

    def close(self) -> None:
        """Cancel the pending pass and schedule no more."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, moment: datetime) -> None:
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
        self._timer = self._clock.call_later(delay, self._run_pass)

    def _run_pass(self) -> None:
        self._timer = None
        began = self._clock.now()
        try:
            self._plan(to_millis(began))
        except Exception:
            # The next pass may succeed, whereas without passes the pool would stop.
            _log.failure("planning pass failed")
        ended = self._clock.now()
        pause = max(MIN_PLAN_INTERVAL, (ended - began) * PLAN_PAUSE_FACTOR)
        self._not_before = ended + pause
        if self._timer is None:
            self._schedule(ended + MAX_PLAN_INTERVAL)
