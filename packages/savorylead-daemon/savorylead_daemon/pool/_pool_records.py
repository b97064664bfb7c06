"""What a lead reads and writes of its pool's records, beside progress."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec

from savorylead.clock import Clock
from savorylead.jobs import (
    JobRecord,
    ProgressRecord,
    RecordError,
    decode_job,
    decode_progress,
)
from savorylead.pools import CellStore, Committed, HistoryLostError, Put, WorkerEntry
from savorylead.store import StoreError
from savorylead_daemon.concurrency import gather, spawn
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._keys import intake_prefix, progress_prefix, workers_key
from ._term import Term

#: Time between two looks for jobs whose message was lost.
INTAKE_EVERY = timedelta(milliseconds=500)
#: Looks after which all records are read again, since changes may be missed.
LOOKS_PER_REREAD = 16
#: Time until a failed call is repeated.
RETRY_AFTER = timedelta(milliseconds=100)


class RecordedWorker(NamedTuple):
    """A worker on which a lead may have started tasks."""

    entry: WorkerEntry


class SavedProgress(NamedTuple):
    """A progress record and its revision."""

    progress: ProgressRecord
    revision: int


class LoadedPool(NamedTuple):
    """Everything that earlier leads and the gateways left."""

    jobs: list[tuple[JobRecord, int]]
    cancelled: set[str]
    progress: dict[str, SavedProgress]
    workers: list[RecordedWorker]


class PoolRecords:
    """Reads a pool's records, and records its workers before they are used."""

    def __init__(
        self, store: CellStore, clock: Clock, log: EventLog, term: Term
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._term = term
        self._revision = 0
        self._workers_revision = 0
        self._recorded: frozenset[str] = frozenset()
        #: Lists whose writes are under way or unclear.
        self._unclear: list[frozenset[str]] = []
        self._wanted: Sequence[RecordedWorker] = ()
        self._writing = False

    def is_recorded(self, worker_id: str) -> bool:
        """Return whether the next lead would know of the worker, whatever happens."""
        lists = [self._recorded, *self._unclear]
        return all(worker_id in workers for workers in lists)

    async def load(self) -> LoadedPool:
        """Return all records; repeats failed reads until it has them."""
        while True:
            try:
                return await self._load_once()
            except StoreError as exc:
                self._log.log_event(
                    LogLevel.INFO,
                    "load_repeated",
                    pool=self._term.pool,
                    detail=str(exc),
                )
                await self._clock.sleep(RETRY_AFTER)

    def want_workers(self, workers: Sequence[RecordedWorker]) -> None:
        """Record these workers, so that a later lead claims them."""
        self._wanted = workers
        if {w.entry.id for w in workers} != self._recorded and not self._writing:
            self._writing = True
            spawn("record of workers", self._write_workers())

    async def follow(
        self,
        on_job: Callable[[JobRecord, int], None],
        on_cancel: Callable[[str], None],
    ) -> None:
        """Tell of jobs and cancellations as they are written, for ever."""
        looks = 0
        while True:
            await self._clock.sleep(INTAKE_EVERY)
            if not self._revision:
                continue
            looks += 1
            try:
                if looks % LOOKS_PER_REREAD == 0:
                    await self._reread(on_job, on_cancel)
                else:
                    await self._read_changes(on_job, on_cancel)
            except HistoryLostError:
                await self.guarded(self._reread(on_job, on_cancel))
            except StoreError as exc:
                self._log.log_event(
                    LogLevel.INFO,
                    "intake_unread",
                    pool=self._term.pool,
                    detail=str(exc),
                )

    async def guarded(self, call: Coroutine[Any, Any, Any]) -> Any:
        """Return the result of a call to the store, None if it failed."""
        try:
            return await call
        except StoreError as exc:
            self._log.log_event(
                LogLevel.INFO, "store_failed", pool=self._term.pool, detail=str(exc)
            )
            return None

    async def _load_once(self) -> LoadedPool:
        # Earlier leads can write none of these any more, so the order is no matter,
        # and one after the other takes a second while the store is slow.
        intake, progress, workers = await gather(
            [
                self._store.list(intake_prefix(self._term.pool)),
                self._store.list(progress_prefix(self._term.pool)),
                self._store.get(workers_key(self._term.pool)),
            ]
        )
        loaded = LoadedPool([], set(), {}, [])
        for item in intake.items:
            job = self._job_of(item.key, item.value, loaded.cancelled.add)
            if job is not None:
                loaded.jobs.append((job, item.revision))
        prefix = progress_prefix(self._term.pool)
        for item in progress.items:
            saved = SavedProgress(decode_progress(item.key, item.value), item.revision)
            loaded.progress[item.key.removeprefix(prefix)] = saved
        if workers is not None:
            recorded = msgspec.json.decode(workers.value, type=list[RecordedWorker])
            loaded.workers.extend(recorded)
            self._workers_revision = workers.revision
        self._revision = intake.revision
        return loaded

    async def _read_changes(
        self,
        on_job: Callable[[JobRecord, int], None],
        on_cancel: Callable[[str], None],
    ) -> None:
        changes = await self._store.changes(
            intake_prefix(self._term.pool), self._revision, timedelta(0)
        )
        for change in changes.events:
            if change.value is None:
                continue
            job = self._job_of(change.key, change.value, on_cancel)
            if job is not None:
                on_job(job, change.revision)
        self._revision = changes.revision

    async def _reread(
        self,
        on_job: Callable[[JobRecord, int], None],
        on_cancel: Callable[[str], None],
    ) -> None:
        snapshot = await self._store.list(intake_prefix(self._term.pool))
        cancelled: list[str] = []
        for item in snapshot.items:
            job = self._job_of(item.key, item.value, cancelled.append)
            if job is not None:
                on_job(job, item.revision)
        for job_id in cancelled:
            on_cancel(job_id)
        self._revision = snapshot.revision

    def _job_of(
        self, key: str, value: bytes, on_cancel: Callable[[str], None]
    ) -> JobRecord | None:
        kind, _, job_id = key.removeprefix(intake_prefix(self._term.pool)).partition(
            "/"
        )
        if kind == "cancel":
            on_cancel(job_id)
            return None
        try:
            return decode_job(key, value)
        except RecordError as exc:
            self._log.log_event(
                LogLevel.ERROR, "job_record_unreadable", key=key, detail=str(exc)
            )
            return None

    async def _write_workers(self) -> None:
        try:
            while {w.entry.id for w in self._wanted} != self._recorded:
                workers = self._wanted
                done = await self.guarded(self._write_workers_once(workers))
                if not done:
                    await self._clock.sleep(RETRY_AFTER)
        finally:
            self._writing = False

    async def _write_workers_once(self, workers: Sequence[RecordedWorker]) -> bool:
        key = workers_key(self._term.pool)
        ids = frozenset(w.entry.id for w in workers)
        self._unclear.append(ids)
        result = await self._store.commit(
            {self._term.key: self._term.revision, key: self._workers_revision},
            [Put(key, msgspec.json.encode(list(workers)))],
        )
        if isinstance(result, Committed):
            self._workers_revision = result.revision
            self._recorded = ids
            self._unclear = []
            return True
        item = result.current.get(key)
        self._workers_revision = 0 if item is None else item.revision
        return False
