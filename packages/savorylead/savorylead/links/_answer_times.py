"""How long answers take, and from when on one is overdue."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple


class OverdueSettings(NamedTuple):
    """When an answer counts as overdue."""

    #: Times the usual time, which is an average. Chosen, not measured: a server that is
    #: four times as slow as before is still waited for.
    factor: float = 8.0
    #: The shortest wait: a pause of this end's own process of up to 50 ms, as a long
    #: pass of a planner makes one, is no lost answer.
    shortest: timedelta = timedelta(milliseconds=80)
    #: The longest wait. Twice what an answer takes from a store that is eighty times as
    #: slow as usual, 300 ms.
    longest: timedelta = timedelta(milliseconds=600)
    #: Weight of the newest answer in the average: after three answers that take much
    #: longer, the wait is at least half of what it will be.
    newest: float = 0.25


class AnswerTimes:
    """Learns the usual time of answers from those that came."""

    def __init__(
        self,
        settings: OverdueSettings = OverdueSettings(),  # noqa: B008 - immutable.
    ) -> None:
        """Start without knowledge: an answer is overdue after the shortest wait."""
        self._settings = settings
        self._usual: timedelta | None = None

    def note(self, took: timedelta) -> None:
        """Learn from an answer that took so long."""
        if self._usual is None:
            self._usual = took
        else:
            self._usual += (took - self._usual) * self._settings.newest

    def overdue_after(self, misses: int = 0) -> timedelta:
        """Return the wait after which an answer is overdue.

        It doubles with each of ``misses``, the answers that were overdue one after
        the other: what is only slow must come through in the end.
        """
        settings = self._settings
        usual = self._usual or timedelta(0)
        wait = max(settings.shortest, usual * settings.factor)
        return min(settings.longest, wait * 2**misses)
