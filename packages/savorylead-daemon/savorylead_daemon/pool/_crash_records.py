"""Writes the record of a pool's suspects, from which a later lead goes on."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.jobs import SuspectTask, encode_suspects
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import Committed, Put
from savorylead.store import StoreError
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._keys import crashes_key
from ._term_writes import TermWrites

#: Delay before a failed write is retried.
RETRY_AFTER = timedelta(milliseconds=100)
#: Longest wait of a suspect's start for the record. An outage of the store must not
#: stop accepted work; the lead then goes on with what it has in memory.
START_WAIT = timedelta(seconds=1)
#: Maximum number of suspects in the record, which is then about half of the largest
#: value that the store accepts. Those with the fewest crashes are left out.
MAX_SUSPECTS = 2_000


class CrashRecords:
    """Writes the newest list of suspects, one write at a time.

    Each write expects the revision that it replaces, so that a delayed one cannot
    overwrite a later one.
    """

    def __init__(
        self,
        pool: str,
        writes: TermWrites,
        clock: Clock,
        log: EventLog,
        tasks: TaskSet,
    ) -> None:
        self._pool = pool
        self._writes = writes
        self._clock = clock
        self._log = log
        self._tasks = tasks
        #: The newest list of suspects.
        self._suspects: Sequence[SuspectTask] = ()
        #: Revision of the record; 0 if there is none.
        self.revision = 0
        #: Number of the newest change, and of the newest one in the store.
        self._changes = 0
        self._written = 0
        self._is_writing = False
        self._waiters: list[Deferred[None]] = []

    def schedule_write(self, suspects: Sequence[SuspectTask]) -> None:
        """Write a new list of suspects, those with most crashes first."""
        self._suspects = suspects[:MAX_SUSPECTS]
        self._changes += 1
        if not self._is_writing:
            self._is_writing = True
            writing = supervised("record of suspects", self._clock, self._write_all)
            self._tasks.spawn("record of suspects", writing)

    async def wait_until_written(self) -> None:
        """Return once all changes so far are durable, or after START_WAIT."""
        if self._written == self._changes:
            return
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        try:
            await within(self._clock, START_WAIT, waiter)
        except DeadlineExceededError:
            self._log.log_event(
                LogLevel.INFO,
                "suspects_unwritten",
                pool=self._pool,
                changes=self._changes - self._written,
            )

    def close(self) -> None:
        """Cancel all waiters; the tasks are closed separately."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.cancel()

    async def _write_all(self) -> None:
        try:
            while self._written != self._changes:
                if not await self._write():
                    await self._clock.sleep(RETRY_AFTER)
        finally:
            self._is_writing = False

    async def _write(self) -> bool:
        changes = self._changes
        key = crashes_key(self._pool)
        value = encode_suspects(self._suspects)
        try:
            result = await self._writes.commit({key: self.revision}, [Put(key, value)])
        except StoreError as exc:
            self._log.log_event(
                LogLevel.INFO, "store_failed", pool=self._pool, detail=str(exc)
            )
            return False
        if not isinstance(result, Committed):
            # An earlier write took effect although its answer was lost.
            item = result.current.get(key)
            self.revision = 0 if item is None else item.revision
            return False
        self.revision = result.revision
        self._written = changes
        if self._written == self._changes:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                if not waiter.called:
                    waiter.callback(None)
        return True
