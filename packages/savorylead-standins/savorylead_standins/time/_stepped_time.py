"""Time that jumps from one due call to the next."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class SteppedTime:
    """A provider of time for tests; every call runs at exactly its due time."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        """Return the seconds since the beginning."""
        return self._now_s

    def callLater(  # noqa: N802 - the name is the interface's.
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> DelayedCall:
        """Call ``callable`` after ``delay`` seconds."""
        call = DelayedCall(
            self._now_s + delay,
            callable,
            args,
            kw,
            lambda _: None,
            self._push,
            self.seconds,
        )
        self._push(call)
        return call

    def getDelayedCalls(self) -> list[DelayedCall]:  # noqa: N802
        """Return the calls that are still to come."""
        return [call for _, _, call in self._heap if call.active()]

    def advance(self, seconds: float) -> None:
        """Run everything that is due within the next ``seconds``, in order."""
        end_s = self._now_s + seconds
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, call = heapq.heappop(self._heap)
            if not call.active():
                continue
            if call.getTime() > due_s:
                self._push(call)
                continue
            self._now_s = max(self._now_s, due_s)
            call.called = 1
            call.func(*call.args, **call.kw)
        self._now_s = end_s

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self._heap, (call.getTime(), next(self._order), call))
