"""Tells which reports decide in which incarnation of a worker a run began."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple


class Poll(NamedTuple):
    """A request for a report; later ones have higher numbers."""

    number: int
    sent_at_ms: int


#: A run on one worker, by task name and run number.
RunKey = tuple[str, int]


class StartAnswers:
    """Compares polls with answers to starts, which name no incarnation.

    Load pattern: an idle worker is polled rarely. It restarts under its id meanwhile,
    and starts are answered before the first report of the new incarnation.
    """

    def __init__(self) -> None:
        self._polls = 0
        #: The last poll before another incarnation may have received a start; 0 if a
        #: later report has told which one answers.
        self._last_doubtful = 0
        #: The last poll before a start was answered, by run; without those runs that a
        #: later report has told of.
        self._answered: dict[RunKey, int] = {}

    @property
    def is_doubtful(self) -> bool:
        """Whether another incarnation than the last reported one may have answered."""
        return self._last_doubtful > 0

    def new_poll(self, now_ms: int) -> Poll:
        """Return a poll that is about to be sent."""
        self._polls += 1
        return Poll(self._polls, now_ms)

    def note_answered(self, run: RunKey) -> None:
        """Record that a worker has confirmed a run's start."""
        self._answered[run] = self._polls

    def note_doubtful(self) -> None:
        """Record that another incarnation may have received a start."""
        self._last_doubtful = self._polls

    def have_overtaken(self, poll: Poll, runs: Container[RunKey]) -> bool:
        """Return whether the start of one of the runs was answered after the poll."""
        return any(
            last_poll >= poll.number and run in runs
            for run, last_poll in self._answered.items()
        )

    def note_report(self, poll: Poll, runs: Container[RunKey]) -> None:
        """Record the answer to a poll; ``runs`` are those that may still be there."""
        if poll.number > self._last_doubtful:
            self._last_doubtful = 0
        self._answered = {
            run: last_poll
            for run, last_poll in self._answered.items()
            if last_poll >= poll.number and run in runs
        }
