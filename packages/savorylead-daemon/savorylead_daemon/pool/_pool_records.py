"""A lead's access to its pool's records, except writes of progress."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from datetime import timedelta
from functools import partial
from typing import Any, NamedTuple

import msgspec

from savorylead.clock import Clock
from savorylead.jobs import (
    JobRecord,
    ProgressRecord,
    RecordError,
    SuspectTask,
    decode_job,
    decode_progress,
    decode_suspects,
)
from savorylead.pools import (
    CellStore,
    Committed,
    HistoryLostError,
    Put,
    StorePage,
    WorkerEntry,
    read_pages,
)
from savorylead.store import KeyValue, Snapshot, StoreError
from savorylead_daemon.concurrency import TaskSet, gather, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._early_ends import decode_term_leases, ended_early
from ._keys import (
    ENDED_LEASE_PREFIX,
    cancel_key,
    crashes_key,
    intake_prefix,
    marked_since_key,
    progress_prefix,
    term_leases_key,
    workers_key,
)
from ._marked_since import first_election
from ._term import Term
from ._term_writes import TermWrites

#: Interval between reads that find jobs and cancellations whose message was lost.
INTAKE_INTERVAL = timedelta(milliseconds=500)
#: All records are read again once per this many reads, since changes may be missed.
POLLS_PER_REREAD = 16
#: A lead resigns if no read of its takeover was answered for this long: two reads of
#: 1.5 s, each of which the link has retried several times.
LOAD_TIMEOUT = timedelta(seconds=3)
#: Delay before a failed call is retried.
RETRY_AFTER = timedelta(milliseconds=100)
_MS = timedelta(milliseconds=1)

_TakeIn = Callable[[Sequence[KeyValue]], Awaitable[None]]


class RecordedWorker(NamedTuple):
    """A worker on which a lead may have started tasks."""

    #: Its incarnation is 0 while a lease may hold that is longer than usual.
    entry: WorkerEntry


class SavedProgress(NamedTuple):
    """A progress record and its revision."""

    progress: ProgressRecord
    revision: int


class LoadedPool(NamedTuple):
    """All records of a pool that earlier leads and gateways have stored."""

    jobs: list[tuple[JobRecord, int]]
    cancelled: set[str]
    progress: dict[str, SavedProgress]
    #: Ids of jobs whose progress record cannot be decoded.
    unreadable: set[str]
    #: None if their record cannot be decoded.
    workers: list[RecordedWorker] | None
    #: Tasks under which workers have crashed, and the revision of their record; 0 if
    #: there is none.
    suspects: Sequence[SuspectTask] = ()
    suspects_revision: int = 0
    #: Whether the lead of an earlier term may have acted after its end.
    ended_early: bool = False
    #: Revision of the election since which every lead has marked jobs; None if the lead
    #: of this term has not recorded that it does.
    marked_since: int | None = None


class PoolRecords:
    """Reads a pool's records, and writes its workers' record before their use."""

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        term: Term,
        tasks: TaskSet,
        writes: TermWrites,
        on_unloadable: Callable[[], None],
        marks_jobs: bool = False,
    ) -> None:
        """``on_unloadable()`` is called while all reads of a takeover keep failing.

        ``marks_jobs`` is whether the lead marks jobs before it starts them.
        """
        self._store = store
        self._clock = clock
        self._log = log
        self._term = term
        self._tasks = tasks
        self._writes = writes
        self._on_unloadable = on_unloadable
        self._marks_jobs = marks_jobs
        #: Time of the last answered read of the takeover.
        self._unread_since = clock.now()
        self._revision = 0
        self._workers_revision = 0
        #: Incarnations of the recorded workers, by their id.
        self._recorded: Mapping[str, int] = {}
        #: Lists whose writes are in flight or have an unknown outcome.
        self._unclear: list[Mapping[str, int]] = []
        self._wanted_workers: Sequence[RecordedWorker] = ()
        self._writing = False

    def is_recorded(self, worker_id: str, incarnation_ms: int | None = None) -> bool:
        """Return whether the next lead will read the worker in any case.

        If ``incarnation_ms`` is given, the worker must be recorded with it.
        """
        lists = [self._recorded, *self._unclear]
        if incarnation_ms is None:
            return all(worker_id in workers for workers in lists)
        return all(workers.get(worker_id) == incarnation_ms for workers in lists)

    async def load(
        self, on_workers: Callable[[Sequence[RecordedWorker]], None]
    ) -> LoadedPool:
        """Return all records; each failed read is retried until it succeeds.

        ``on_workers(workers)`` is called as soon as the recorded workers are read,
        which is before the jobs are read if there are many.

        The term may end meanwhile. Nothing starts before the workers' record is written
        after this read, which proves the term.
        """
        # Earlier leads can no longer write these records, so they can be read in any
        # order; reading them in sequence takes a second while the store is slow.
        pool = self._term.pool
        (
            jobs,
            progress,
            workers,
            (suspects, suspects_revision),
            early,
            marked_since,
        ) = await gather(
            [
                self._read_all(intake_prefix(pool)),
                self._read_all(progress_prefix(pool)),
                self._read_workers(on_workers),
                self._read_suspects(),
                self._read_early_ends(),
                self._read_marked_since(),
            ]
        )
        loaded = LoadedPool(
            [],
            set(),
            {},
            set(),
            workers,
            suspects,
            suspects_revision,
            early,
            marked_since,
        )
        for item in jobs.items:
            job = self._decode_intake(item.key, item.value, loaded.cancelled.add)
            if job is not None:
                loaded.jobs.append((job, item.revision))
        for item in progress.items:
            job_id = item.key.removeprefix(progress_prefix(pool))
            try:
                progress = decode_progress(item.key, item.value)
            except RecordError as exc:
                loaded.unreadable.add(job_id)
                self._log_unreadable("progress_record_unreadable", item.key, exc)
                continue
            loaded.progress[job_id] = SavedProgress(progress, item.revision)
        self._revision = jobs.revision
        return loaded

    def save_workers(self, workers: Sequence[RecordedWorker]) -> None:
        """Write the list of workers that a later lead must claim."""
        self._wanted_workers = workers
        if not self.is_written() and not self._writing:
            self._writing = True
            writing = supervised("record of workers", self._clock, self._write_workers)
            self._tasks.spawn("record of workers", writing)

    def is_written(self) -> bool:
        """Return whether the store has the list last passed to ``save_workers``."""
        return _incarnations(self._wanted_workers) == self._recorded

    async def follow(
        self,
        is_known: Callable[[str], bool],
        on_job: Callable[[JobRecord, int], None],
        on_cancel: Callable[[str], None],
    ) -> None:
        """Report new jobs and cancellations in the store until cancelled.

        The term is proved after a read of jobs that are not known: the next lead starts
        those stored after its election at once, so only one of the two may get them.
        """
        take_in = partial(self._take_in, is_known, on_job, on_cancel)
        polls = 0
        while True:
            await self._clock.sleep(INTAKE_INTERVAL)
            if not self._revision:
                continue
            polls += 1
            try:
                if polls % POLLS_PER_REREAD == 0:
                    await self._reread(take_in)
                else:
                    await self._read_changes(take_in)
            except HistoryLostError:
                await self.log_store_errors(self._reread(take_in))
            except StoreError as exc:
                self._log.log_event(
                    LogLevel.INFO,
                    "intake_unread",
                    pool=self._term.pool,
                    detail=str(exc),
                )

    async def log_store_errors(self, call: Coroutine[Any, Any, Any]) -> Any:
        """Return the result of a call to the store, None if it failed."""
        try:
            return await call
        except StoreError as exc:
            self._log.log_event(
                LogLevel.INFO, "store_failed", pool=self._term.pool, detail=str(exc)
            )
            return None

    async def _read_workers(
        self, on_workers: Callable[[Sequence[RecordedWorker]], None]
    ) -> list[RecordedWorker] | None:
        key = workers_key(self._term.pool)
        recorded: list[RecordedWorker] = []
        for item in (await self._read_all(key)).items:
            if item.key != key:
                continue
            self._workers_revision = item.revision
            try:
                recorded = msgspec.json.decode(item.value, type=list[RecordedWorker])
            except msgspec.DecodeError as exc:
                self._log_unreadable("workers_record_unreadable", key, exc)
                return None
        on_workers(recorded)
        return recorded

    async def _read_suspects(self) -> tuple[Sequence[SuspectTask], int]:
        key = crashes_key(self._term.pool)
        for item in (await self._read_all(key)).items:
            if item.key != key:
                continue
            try:
                return decode_suspects(key, item.value), item.revision
            except RecordError as exc:
                self._log_unreadable("suspects_record_unreadable", key, exc)
                return (), item.revision
        return (), 0

    async def _read_early_ends(self) -> bool:
        """Return whether the lead of an earlier term may have acted after its end."""
        key = term_leases_key(self._term.pool)
        items, marks = await gather(
            [self._read_all(key), self._read_all(ENDED_LEASE_PREFIX)]
        )
        item = next((item for item in items.items if item.key == key), None)
        return ended_early(decode_term_leases(item), marks)

    async def _read_marked_since(self) -> int | None:
        """Return the revision since which every lead has marked jobs, None if unknown.

        It is read from the store, since the answer to this lead's own election may have
        been lost.
        """
        if not self._marks_jobs:
            return None
        key = marked_since_key(self._term.pool)
        items = (await self._read_all(key)).items
        item = next((item for item in items if item.key == key), None)
        try:
            return first_election(item, self._term.number)
        except RecordError as exc:
            self._log_unreadable("marked_since_unreadable", key, exc)
            return None

    def _log_unreadable(self, event: str, key: str, exc: Exception) -> None:
        self._log.log_event(LogLevel.ERROR, event, key=key, detail=str(exc))

    async def _read_all(self, prefix: str) -> Snapshot:
        """Return all keys below a prefix; a failed page is retried on its own."""
        return await read_pages(self._read_page, prefix)

    async def _read_page(self, prefix: str, after: str) -> StorePage:
        while True:
            began_at = self._clock.now()
            try:
                page = await self._store.page(prefix, after)
            except StoreError as exc:
                self._log.log_event(
                    LogLevel.INFO,
                    "load_repeated",
                    pool=self._term.pool,
                    term=self._term.number,
                    prefix=prefix,
                    after=after,
                    after_ms=(self._clock.now() - began_at) // _MS,
                    detail=str(exc),
                )
                if self._clock.now() - self._unread_since >= LOAD_TIMEOUT:
                    self._on_unloadable()
                await self._clock.sleep(RETRY_AFTER)
            else:
                self._unread_since = self._clock.now()
                return page

    async def _read_changes(self, take_in: _TakeIn) -> None:
        changes = await self._store.changes(
            intake_prefix(self._term.pool), self._revision, timedelta(0)
        )
        await take_in(
            [
                KeyValue(change.key, change.value, change.revision)
                for change in changes.events
                if change.value is not None
            ]
        )
        self._revision = changes.revision

    async def _reread(self, take_in: _TakeIn) -> None:
        snapshot = await self._store.list(intake_prefix(self._term.pool))
        # A cancellation must follow its job, whose key sorts after it.
        cancels = cancel_key(self._term.pool, "")
        await take_in(
            sorted(snapshot.items, key=lambda item: item.key.startswith(cancels))
        )
        self._revision = snapshot.revision

    async def _take_in(
        self,
        is_known: Callable[[str], bool],
        on_job: Callable[[JobRecord, int], None],
        on_cancel: Callable[[str], None],
        items: Sequence[KeyValue],
    ) -> None:
        """Report jobs and cancellations in order."""
        found: list[Callable[[], None]] = []
        has_unknown = False

        def note_cancel(job_id: str) -> None:
            found.append(partial(on_cancel, job_id))

        for item in items:
            job = self._decode_intake(item.key, item.value, note_cancel)
            if job is not None:
                has_unknown = has_unknown or not is_known(job.id)
                found.append(partial(on_job, job, item.revision))
        if has_unknown:
            await self._writes.prove()
        for report in found:
            report()

    def _decode_intake(
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
            self._log_unreadable("job_record_unreadable", key, exc)
            return None

    async def _write_workers(self) -> None:
        try:
            while not self.is_written():
                workers = self._wanted_workers
                done = await self.log_store_errors(self._write_workers_once(workers))
                if not done:
                    await self._clock.sleep(RETRY_AFTER)
        finally:
            self._writing = False

    async def _write_workers_once(self, workers: Sequence[RecordedWorker]) -> bool:
        key = workers_key(self._term.pool)
        incarnations = _incarnations(workers)
        self._unclear.append(incarnations)
        result = await self._writes.commit(
            {key: self._workers_revision},
            [Put(key, msgspec.json.encode(list(workers)))],
        )
        if isinstance(result, Committed):
            self._workers_revision = result.revision
            self._recorded = incarnations
            self._unclear = []
            return True
        item = result.current.get(key)
        self._workers_revision = 0 if item is None else item.revision
        return False


def _incarnations(workers: Sequence[RecordedWorker]) -> Mapping[str, int]:
    return {w.entry.id: w.entry.incarnation_start_ms for w in workers}
