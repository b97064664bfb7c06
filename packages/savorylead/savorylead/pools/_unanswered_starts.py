"""Tells which start orders a worker may still execute, and where they are refused.

Load pattern: one order in twenty gets no answer and is executed seconds later.
Meanwhile its run was stopped and its task started elsewhere. The stop proves that the
order takes no effect only in the incarnation that accepted it: the worker's next one
knows neither the stop nor a fencing token, and reads the order's deadline on a clock
that began anew.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from savorylead.jobs import TaskName

#: Longest time between sending an order and its execution, in milliseconds: an order
#: that gets no answer is executed up to 12 s late, and its call takes up to 0.3 s. The
#: rest allows for clocks that run slow.
MAX_ORDER_DELAY_MS = 15_000


class UnansweredStart(NamedTuple):
    """A start order whose fate its lead does not know."""

    task: TaskName
    number: int
    #: When it was sent, in Unix milliseconds.
    sent_at_ms: int
    #: The incarnation that its lead knew then, as its start in Unix milliseconds.
    sent_to_ms: int

    @property
    def key(self) -> tuple[str, int]:
        """The key of its run among the runs of a worker."""
        return str(self.task), self.number


class UnansweredStarts:
    """The start orders that one worker may still execute, in any incarnation."""

    def __init__(self, former_until_ms: int = 0) -> None:
        """Orders of earlier leads may be executed until ``former_until_ms``.

        A worker refuses them once it has seen a later lead's fencing token, which each
        incarnation does with the first call that it answers.
        """
        self._former_until_ms = former_until_ms
        #: By run, with the last incarnation that refuses the order.
        self._refused_in: dict[UnansweredStart, int] = {}

    def note_unanswered(self, start: UnansweredStart) -> None:
        """Record an order without an answer.

        Its run is stopped until the incarnation that the lead knew has accepted that.
        """
        self._refused_in[start] = start.sent_to_ms

    @property
    def is_empty(self) -> bool:
        """Whether none is recorded."""
        return not self._refused_in

    def note_executed(self, runs: Container[tuple[str, int]]) -> list[UnansweredStart]:
        """Forget the orders of runs that a report lists: each is executed only once.

        Returns these orders.
        """
        executed = [start for start in self._refused_in if start.key in runs]
        for start in executed:
            del self._refused_in[start]
        return executed

    def note_refused(self, start: UnansweredStart, incarnation_ms: int) -> None:
        """Record that a stop was accepted, by this incarnation or a later one."""
        if start in self._refused_in:
            self._refused_in[start] = incarnation_ms

    def to_refuse(self, incarnation_ms: int, now_ms: int) -> list[UnansweredStart]:
        """Return the orders that this incarnation may still execute."""
        self._forget_expired(now_ms)
        return [
            start
            for start, refused_in_ms in self._refused_in.items()
            if refused_in_ms != incarnation_ms
        ]

    def has_open(self, now_ms: int) -> bool:
        """Return whether some incarnation may still execute an order of this lead."""
        self._forget_expired(now_ms)
        return not self.is_empty

    def may_arrive(self, now_ms: int) -> bool:
        """Return whether some incarnation may still execute an order of any lead."""
        return now_ms < self._former_until_ms or self.has_open(now_ms)

    def _forget_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - MAX_ORDER_DELAY_MS
        for start in [s for s in self._refused_in if s.sent_at_ms <= oldest_ms]:
            del self._refused_in[start]
