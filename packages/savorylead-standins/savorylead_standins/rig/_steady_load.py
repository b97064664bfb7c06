"""Work that comes at a steady rate while faults befall the cell."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from savorylead.clock import Timer

from ._http_caller import CallFailedError, HttpCaller
from ._real_cell import RealCell
from ._task_drafts import TaskDrafts, WorkPlace

Draft = Callable[[random.Random], dict[str, Any]]


def urgent_draft(rng: random.Random) -> dict[str, Any]:
    """Return a short urgent task that may not be repeated."""
    return {
        "kind": "batch",
        "repeatable": False,
        "urgent": True,
        "run_s": 0.05 + 0.3 * rng.random(),
        "resources": {"cores": 1, "memory_mb": 512},
    }


def batch_draft(rng: random.Random) -> dict[str, Any]:
    """Return a batch task of one to three cores."""
    cores = rng.randint(1, 3)
    return {
        "kind": "batch",
        "run_s": 0.5 + 2.5 * rng.random(),
        "resources": {"cores": cores, "memory_mb": 1024 * cores},
    }


def service_draft(rng: random.Random) -> dict[str, Any]:
    """Return a service, which runs until it is cancelled."""
    return {
        "kind": "service",
        "run_s": None,
        "resources": {"cores": 2, "memory_mb": 4096, "connections": 4},
    }


class LoadStream:
    """Submits a few tasks of one kind again and again, until it is stopped."""

    def __init__(
        self,
        cell: RealCell,
        drafts: TaskDrafts,
        name: str,
        place: WorkPlace,
        draft: Draft,
        key: str,
        caller: HttpCaller,
    ) -> None:
        """Take ``name``, the prefix of the tasks' request ids."""
        #: Calls that got no reply for tasks, by HTTP status; 0 if nobody answered.
        self.failures: Counter[int] = Counter()
        self._cell = cell
        self._drafts = drafts
        self._name = name
        self._place = place
        self._draft = draft
        self._key = key
        self._caller = caller
        self._timer: Timer | None = None
        self._open: list[Deferred[None]] = []

    def run_every(self, interval: timedelta, tasks: int) -> None:
        """Submit ``tasks`` tasks now and after each ``interval``."""
        self.submit(tasks)
        self._timer = self._cell.clock.call_later(
            interval, self.run_every, interval, tasks
        )

    def submit(self, tasks: int) -> None:
        """Submit some tasks once."""
        made = [
            self._drafts.task(self._place, self._name, self._draft(self._cell.rng))
            for _ in range(tasks)
        ]
        self._open = [call for call in self._open if not call.called]
        self._open.append(Deferred.fromCoroutine(self._submit(made)))

    async def stop(self) -> None:
        """Submit no more, and wait for the replies; raises what a call raised."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for succeeded, result in await DeferredList(self._open, consumeErrors=True):
            if not succeeded:
                result.raiseException()

    async def _submit(self, tasks: list[dict[str, Any]]) -> None:
        try:
            await self._cell.submit(self._place.team, tasks, self._caller, self._key)
        except CallFailedError as exc:
            self.failures[exc.status] += 1
