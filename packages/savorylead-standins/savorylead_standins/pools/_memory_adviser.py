"""In-memory policy adviser; it serves one call at a time per calling machine."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.jobs import TaskName
from savorylead.pools import (
    Advice,
    AdviserBusyError,
    AdviserRefusedError,
    PolicyAdviser,
)

#: Number of workers out of ten that the policy allows.
ALLOWED_OF_TEN = 7
#: Maximum number of workers in one call.
MAX_NAMED_WORKERS = 100


def policy_allows(step: str, worker: str) -> bool:
    """Return whether the policy allows a worker for a step; the result is fixed."""
    return zlib.crc32(f"{step}/{worker}".encode()) % 10 < ALLOWED_OF_TEN


class IssuedTicket(NamedTuple):
    """A ticket's scope: one step on one incarnation of a worker, until it expires."""

    step: str
    worker: str
    incarnation_start_ms: int
    valid_until: datetime


class TicketIssuer:
    """Issues tickets for all advisers of a cell and validates them at starts."""

    def __init__(
        self, clock: Clock, incarnation_start_ms: Callable[[str], int]
    ) -> None:
        """``incarnation_start_ms`` returns the start time of a worker's incarnation."""
        self._clock = clock
        self._incarnation_start_ms = incarnation_start_ms
        self._issued: dict[str, IssuedTicket] = {}

    def issue(self, step: str, worker: str, valid_ms: int) -> str:
        """Issue a new ticket, valid for ``valid_ms``."""
        ticket = f"ticket-{len(self._issued)}"
        valid_until = self._clock.now() + timedelta(milliseconds=valid_ms)
        self._issued[ticket] = IssuedTicket(
            step, worker, self._incarnation_start_ms(worker), valid_until
        )
        return ticket

    def accepts(self, ticket: str, task: TaskName, worker: str) -> bool:
        """Return whether a ticket is valid now for starting the task on the worker."""
        issued = self._issued.get(ticket)
        return (
            issued is not None
            and str(task).startswith(f"{issued.step}.")
            and issued.worker == worker
            and issued.incarnation_start_ms == self._incarnation_start_ms(worker)
            and self._clock.now() < issued.valid_until
        )


class MemoryAdviser(PolicyAdviser):
    """Allows a fixed subset of the workers for each step.

    Each instance models the call queue that the platform has for one calling machine.
    """

    def __init__(
        self,
        clock: Clock,
        issuer: TicketIssuer,
        decide: timedelta = timedelta(milliseconds=20),
        valid_ms: int = 2_000,
    ) -> None:
        self._clock = clock
        self._issuer = issuer
        self._decide = decide
        self._valid_ms = valid_ms
        self._busy_until = clock.now()
        self.calls = 0
        self.max_queued_calls = 32

    async def advise(self, step: str, workers: Sequence[str]) -> Advice:
        """Return which of the workers may run the step."""
        if len(workers) > MAX_NAMED_WORKERS:
            raise AdviserRefusedError("too many workers in one call")
        self.calls += 1
        now = self._clock.now()
        waiting = (self._busy_until - now) / self._decide
        if waiting > self.max_queued_calls:
            raise AdviserBusyError("too many calls are queued")
        self._busy_until = max(now, self._busy_until) + self._decide
        await self._clock.sleep(self._busy_until - now)
        tickets = {
            w: self._issuer.issue(step, w, self._valid_ms)
            for w in workers
            if policy_allows(step, w)
        }
        return Advice(tickets, self._valid_ms)
