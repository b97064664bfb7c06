"""A store, a fake clock and the leads of one shard."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.journal import (
    Accepted,
    JournalSettings,
    RingJournal,
    ShardState,
    replay_shard,
)
from savorylead.resources import Resources
from savorylead_standins.store import MemoryStore

#: So small that a few events fill entries, chunks and the ring; ends don't wait.
SMALL_JOURNAL = JournalSettings(
    ring_slots=16,
    entry_bytes=2000,
    chunk_bytes=1000,
    snapshot_log_bytes=1500,
    min_write_interval=timedelta(0),
    max_end_delay=timedelta(0),
)


def accepted_event(name: str, payload: str = "", urgent: bool = False) -> Accepted:
    """Return the acceptance of a task with this request id."""
    spec = TaskSpec(
        TaskId("dispatch", "bookings", name),
        TaskKind.BATCH,
        Resources(1000, 64, 0, 1),
        "day",
        urgent=urgent,
        payload=payload,
    )
    return Accepted(spec, 10)


class JournalCell:
    """Runs the leads of the shard "s1" on one store."""

    def __init__(self, settings: JournalSettings = SMALL_JOURNAL) -> None:
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryStore(self.clock, random.Random(1))
        self.settings = settings
        #: Why journals ended, in order.
        self.over: list[Exception] = []

    def journal(self, name: str) -> RingJournal:
        """Return a lead's journal that is not open yet."""
        rng = random.Random(name)
        return RingJournal(
            self.store.client(name),
            "s1",
            self.clock,
            rng,
            self.settings,
            self.over.append,
        )

    def run(self, awaitable: Awaitable[Any], seconds: float = 30.0) -> Any:
        """Let the clock go on until the result is there; return or raise it."""
        deferred = awaitable
        if not isinstance(awaitable, Deferred):
            deferred = Deferred.fromCoroutine(awaitable)
        results: list[Any] = []
        deferred.addBoth(results.append)
        for _ in range(int(seconds * 100)):
            if results:
                break
            self.provider.advance(0.01)
        assert results, "not done in time"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def opened(self, name: str) -> tuple[RingJournal, ShardState]:
        """Return an open journal and the state that it found."""
        journal = self.journal(name)
        return journal, self.run(journal.open(name))

    def names(self) -> list[str]:
        """Return the request ids that the journal holds, in order."""
        found = self.run(replay_shard(self.store.client("reader"), "s1"))
        return [task_id.request for task_id in found.state.records]
