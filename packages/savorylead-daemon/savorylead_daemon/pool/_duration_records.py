"""Reads and writes the record of a pool's durations, for the next lead."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.jobs import RecordError
from savorylead.links import DeadlineExceededError, within
from savorylead.pools import (
    CellStore,
    Committed,
    LearnedDurations,
    Put,
    decode_durations,
    encode_durations,
)
from savorylead.store import StoreError
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._keys import durations_key
from ._term_writes import TermWrites

#: Shortest interval between two writes, and the time after which one is overdue. What a
#: killed lead has learned in this time is lost, about 1% of what it knows.
WRITE_INTERVAL = timedelta(seconds=5)
#: Fewest observations since the last write for which the record is written again.
MIN_OBSERVATIONS = 32
#: Delay before a failed read is retried.
RETRY_AFTER = timedelta(milliseconds=100)


class DurationRecords:
    """Keeps a pool's learned durations in the store; nothing waits for it."""

    def __init__(
        self,
        pool: str,
        durations: LearnedDurations,
        store: CellStore,
        writes: TermWrites,
        clock: Clock,
        log: EventLog,
        tasks: TaskSet,
    ) -> None:
        self._pool = pool
        self._key = durations_key(pool)
        self._durations = durations
        self._store = store
        self._writes = writes
        self._clock = clock
        self._log = log
        self._tasks = tasks
        #: Revision of the record; 0 if there is none.
        self._revision = 0
        #: Number of observations of which the store has what was learned.
        self._written = 0

    def start(self) -> None:
        """Read the record, then write it again as more is learned."""
        keeping = supervised("record of durations", self._clock, self._keep)
        self._tasks.spawn("record of durations", keeping)

    async def _keep(self) -> None:
        await self._read()
        left = WRITE_INTERVAL
        while True:
            await self._clock.sleep(left)
            began_at = self._clock.now()
            if self._durations.observations - self._written >= MIN_OBSERVATIONS:
                await self._write()
            left = max(timedelta(0), WRITE_INTERVAL - (self._clock.now() - began_at))

    async def _read(self) -> None:
        """Read the record, which no earlier lead can write any more."""
        is_logged = False
        while True:
            try:
                item = await self._store.get(self._key)
            except StoreError as exc:
                if not is_logged:
                    self._log_unreadable(f"not read yet: {exc}")
                    is_logged = True
                await self._clock.sleep(RETRY_AFTER)
            else:
                break
        if item is None:
            self._log_unreadable("absent")
            return
        self._revision = item.revision
        try:
            record = decode_durations(self._key, item.value)
        except RecordError as exc:
            self._log_unreadable(exc.problem, LogLevel.ERROR)
            return
        self._durations.restore(record)
        self._log.log_event(
            LogLevel.INFO,
            "durations_loaded",
            pool=self._pool,
            queues=len(record.queues),
            workers=len(record.workers),
        )

    async def _write(self) -> None:
        observations = self._durations.observations
        record = self._durations.record()
        value = encode_durations(record)
        call = self._writes.commit({self._key: self._revision}, [Put(self._key, value)])
        try:
            result = await within(
                self._clock, WRITE_INTERVAL, Deferred.fromCoroutine(call)
            )
        except StoreError as exc:
            self._log_unwritten(observations, str(exc))
            return
        except DeadlineExceededError:
            self._log_unwritten(observations, "no answer")
            return
        if not isinstance(result, Committed):
            # An earlier write took effect although its answer was lost.
            item = result.current.get(self._key)
            self._revision = 0 if item is None else item.revision
            self._log_unwritten(observations, "another revision")
            return
        self._revision = result.revision
        self._log.log_event(
            LogLevel.INFO,
            "durations_written",
            pool=self._pool,
            queues=len(record.queues),
            workers=len(record.workers),
            observations=observations - self._written,
            bytes=len(value),
        )
        self._written = observations

    def _log_unreadable(self, detail: str, level: LogLevel = LogLevel.INFO) -> None:
        self._log.log_event(
            level,
            "durations_unreadable",
            pool=self._pool,
            key=self._key,
            detail=detail,
        )

    def _log_unwritten(self, observations: int, detail: str) -> None:
        self._log.log_event(
            LogLevel.INFO,
            "durations_unwritten",
            pool=self._pool,
            observations=observations - self._written,
            detail=detail,
        )
