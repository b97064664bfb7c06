"""Configurations of queues that were removed while their jobs are open."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from datetime import timedelta

from savorylead.clock import Clock
from savorylead.jobs import JobRecord, RecordError
from savorylead.pools import CellStore, Queue
from savorylead.store import StoreError
from savorylead_daemon.concurrency import TaskSet
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._job_claims import decode_claim
from ._keys import claim_key

#: Delay before a failed read is retried.
RETRY_AFTER = timedelta(milliseconds=200)


class FormerQueues:
    """Reads the queues of open jobs that this daemon's configurations lack.

    A lead keeps a queue that is removed during its term. A later lead learns of it by
    the claim of one of its jobs, which holds the queue as it was.
    """

    def __init__(
        self,
        store: CellStore,
        clock: Clock,
        log: EventLog,
        pool: str,
        tasks: TaskSet,
        queues: MutableMapping[str, Queue],
        on_found: Callable[[], None],
    ) -> None:
        """``on_found()`` is called once a queue was added to ``queues``."""
        self._store = store
        self._clock = clock
        self._log = log
        self._pool = pool
        self._tasks = tasks
        self._queues = queues
        self._on_found = on_found
        #: Ids of the jobs whose claims are still to be read, by queue.
        self._jobs: dict[str, list[str]] = {}

    def note(self, record: JobRecord) -> None:
        """Find the queue of an open job unless it is known."""
        if record.queue in self._queues:
            return
        if record.queue in self._jobs:
            self._jobs[record.queue].append(record.id)
            return
        self._jobs[record.queue] = [record.id]
        self._tasks.spawn("read of a removed queue", self._find(record.queue))

    async def _find(self, name: str) -> None:
        jobs = self._jobs[name]
        while jobs and name not in self._queues:
            job_id = jobs.pop(0)
            try:
                queue = await self._read(job_id)
            except StoreError as exc:
                self._log_unread(job_id, exc)
                jobs.append(job_id)
                await self._clock.sleep(RETRY_AFTER)
                continue
            except RecordError as exc:
                self._log_unread(job_id, exc)
                continue
            if queue is not None and name not in self._queues:
                self._queues[name] = queue
                self._on_found()
        del self._jobs[name]
        self._log.log_event(
            LogLevel.INFO,
            "removed_queue_read",
            pool=self._pool,
            queue=name,
            found=name in self._queues,
        )

    async def _read(self, job_id: str) -> Queue | None:
        key = claim_key(job_id)
        item = await self._store.get(key)
        if item is None:
            return None
        return decode_claim(key, item.value).accepted_queue()

    def _log_unread(self, job_id: str, exc: Exception) -> None:
        self._log.log_event(
            LogLevel.INFO,
            "claim_unread",
            pool=self._pool,
            job=job_id,
            detail=f"{type(exc).__name__}: {exc}",
        )
