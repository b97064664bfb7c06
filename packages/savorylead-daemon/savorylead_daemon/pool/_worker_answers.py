"""What a lead has seen of the answers of all its workers."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any

from twisted.internet.defer import DeferredSemaphore

from savorylead.clock import Clock
from savorylead.links import AnswerTimes, OverdueSettings

#: An answer takes a few milliseconds beyond its wait. A slowed machine takes ten times
#: as long, and a long pass of the planner may hold up all answers for 100 ms.
OVERDUE = OverdueSettings(
    shortest=timedelta(milliseconds=150), longest=timedelta(milliseconds=700)
)
#: Answers count as being lost for this long after one was: where every twentieth is,
#: 24 workers that answer once a second lose one in each second.
LOSSY_FOR = timedelta(seconds=2)
#: Wait of a look while answers are being lost. A lost one hides a worker's ends for
#: that long; shorter ones would gain little, as an answer is overdue after 150 ms.
LOSSY_WAIT = timedelta(milliseconds=250)
#: First looks at workers that are under way at a time. Their reports share the link of
#: a new lead: 16 of 5 KB take 130 ms on one of 5 Mbit/s, and are not overdue.
CLAIMS_AT_ONCE = 16
#: Looks a second at all workers together that a lead makes while answers are being
#: lost: four for each of 24 workers. A lead of 176 workers has no processor time for
#: four at each of them: it used 0.87 of a core at the most.
LOSSY_LOOKS_PER_S = 100


class WorkerAnswers:
    """Tells how long to wait for an answer, and how long a look may wait for an end.

    Load pattern: workers leave a twentieth of all calls without an answer for some
    seconds. A look that waits for an end for a second, and then for an overdue answer,
    hides what ended on its worker meanwhile, and the worker is used no more.
    """

    def __init__(self, clock: Clock, workers: Callable[[], int]) -> None:
        """``workers`` returns how many workers the lead looks at."""
        self._clock = clock
        self._workers = workers
        self._times = AnswerTimes(OVERDUE)
        self._lossy_until: datetime | None = None
        #: Held by each look at a worker that is not claimed yet.
        self._claims = DeferredSemaphore(CLAIMS_AT_ONCE)

    async def claim(
        self, may_act: Callable[[], bool], look: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Look at a worker that is not claimed yet, when it is its turn."""
        await self._claims.acquire()
        try:
            # Where many workers are silent, that turn may come seconds later.
            if may_act():
                await look()
        finally:
            self._claims.release()

    def wait(self, longest: timedelta) -> timedelta:
        """Return how long a look may wait for an end."""
        if self._lossy_until is None or self._clock.now() >= self._lossy_until:
            return longest
        affordable = timedelta(seconds=self._workers() / LOSSY_LOOKS_PER_S)
        return min(longest, max(LOSSY_WAIT, affordable))

    def overdue_after(self, misses: int) -> timedelta:
        """Return the time beyond a look's wait after which its answer is overdue.

        ``misses`` are the answers of the same worker that were overdue before it.
        """
        return self._times.overdue_after(misses)

    def note(self, took: timedelta, wait: timedelta) -> None:
        """Learn from an answer; one before the end of its wait tells nothing."""
        if took >= wait:
            self._times.note(took - wait)

    def note_lost(self) -> None:
        """Take note that a worker that answered before has not."""
        self._lossy_until = self._clock.now() + LOSSY_FOR
