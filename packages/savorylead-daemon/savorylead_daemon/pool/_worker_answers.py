"""Response times and losses of the calls to all workers of a lead."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any

from twisted.internet.defer import DeferredSemaphore

from savorylead.clock import Clock
from savorylead.links import AnswerTimes, OverdueSettings

#: An answer takes a few milliseconds beyond its wait, ten times as long on a throttled
#: machine. A long planning pass may delay all answers by 100 ms.
OVERDUE = OverdueSettings(
    min_timeout=timedelta(milliseconds=150), max_timeout=timedelta(milliseconds=700)
)
#: The link counts as lossy for this long after a lost answer. With a loss rate of one
#: in twenty, 24 workers that answer once a second lose about one answer per second.
LOSSY_FOR = timedelta(seconds=2)
#: Wait of a poll on a lossy link. A lost answer hides a worker's ended runs for this
#: long; a shorter wait gains little, since an answer is overdue only after 150 ms.
LOSSY_WAIT = timedelta(milliseconds=250)
#: Maximum number of concurrent first polls. Their reports share the new lead's link:
#: 16 reports of 5 KB take 130 ms at 5 Mbit/s, and so are not overdue.
CLAIMS_AT_ONCE = 16
#: Polls per second to all workers together on a lossy link: four to each of 24 workers.
#: A lead of 176 workers lacks the CPU time to poll each of them four times a second: it
#: used up to 0.87 of a core.
LOSSY_POLLS_PER_S = 100


class WorkerAnswers:
    """Computes when answers are overdue, and how long a poll may wait for an end.

    Load pattern: for some seconds, workers leave a twentieth of all calls unanswered.
    If a poll that waits for an end for a second loses its answer, the lead misses what
    ended on the worker until the answer is overdue, and leaves the worker idle.
    """

    def __init__(self, clock: Clock, workers: Callable[[], int]) -> None:
        """``workers`` returns the number of workers that the lead polls."""
        self._clock = clock
        self._workers = workers
        self._times = AnswerTimes(OVERDUE)
        self._lossy_until: datetime | None = None
        #: Held during each poll of a worker that is not claimed yet.
        self._claims = DeferredSemaphore(CLAIMS_AT_ONCE)

    async def claim(
        self, may_act: Callable[[], bool], poll: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Poll an unclaimed worker, within the limit of concurrent first polls."""
        await self._claims.acquire()
        try:
            # With many silent workers, acquiring may take seconds.
            if may_act():
                await poll()
        finally:
            self._claims.release()

    def wait(self, longest: timedelta) -> timedelta:
        """Return how long a poll may wait for an end."""
        if self._lossy_until is None or self._clock.now() >= self._lossy_until:
            return longest
        affordable = timedelta(seconds=self._workers() / LOSSY_POLLS_PER_S)
        return min(longest, max(LOSSY_WAIT, affordable))

    def overdue_after(self, misses: int) -> timedelta:
        """Return the time beyond a poll's wait after which its answer is overdue.

        ``misses`` is the number of consecutive overdue answers of the same worker.
        """
        return self._times.overdue_after(misses)

    def note(self, took: timedelta, wait: timedelta) -> None:
        """Record an answer's time, unless it came before the end of its wait."""
        if took >= wait:
            self._times.add_sample(took - wait)

    def note_lost(self) -> None:
        """Record that a worker that had answered before did not answer."""
        self._lossy_until = self._clock.now() + LOSSY_FOR
