"""Average response times, and the timeout after which a response is overdue."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

#: Number of misses from which on the timeout does not grow any more. A timedelta
#: overflows after some 45 doublings.
MAX_DOUBLINGS = 16


class OverdueSettings(NamedTuple):
    """Parameters of the timeout after which a response is overdue."""

    #: Multiple of the average response time. A server that becomes four times as slow
    #: must not be reported as overdue.
    factor: float = 8.0
    #: Lower bound of the timeout. The local process may pause for up to 50 ms, for
    #: example during a long planner pass, without any response being lost.
    min_timeout: timedelta = timedelta(milliseconds=80)
    #: Upper bound of the timeout: twice the 300 ms of a response from a store that is
    #: eighty times slower than usual.
    max_timeout: timedelta = timedelta(milliseconds=600)
    #: Weight of the latest sample in the moving average. After three much slower
    #: responses, the timeout has reached at least half of its new value.
    newest_weight: float = 0.25


class AnswerTimes:
    """Exponential moving average of response times."""

    def __init__(
        self,
        settings: OverdueSettings = OverdueSettings(),  # noqa: B008 - immutable.
    ) -> None:
        """Start without samples; the timeout is then the lower bound."""
        self._settings = settings
        self._average: timedelta | None = None

    def add_sample(self, took: timedelta) -> None:
        """Add the response time of one call to the average."""
        if self._average is None:
            self._average = took
        else:
            self._average += (took - self._average) * self._settings.newest_weight

    def overdue_after(self, misses: int = 0) -> timedelta:
        """Return the timeout after which a response is overdue.

        It doubles with each of ``misses``, the number of consecutive overdue responses,
        so that calls to a slow server eventually succeed.
        """
        settings = self._settings
        average = self._average or timedelta(0)
        wait = max(settings.min_timeout, average * settings.factor)
        return min(settings.max_timeout, wait * 2 ** min(misses, MAX_DOUBLINGS))
