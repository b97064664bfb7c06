"""Writes the progress of jobs to the store in batches, one write at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from datetime import datetime, timedelta
from itertools import chain, islice

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer
from savorylead.jobs import Job, ProgressRecord, encode_progress
from savorylead.links import AnswerTimes, DeadlineExceededError, within
from savorylead.pools import Committed, Conflict, Put
from savorylead.store import StoreError
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._keys import cancel_key, claim_key, job_key, progress_key
from ._term_writes import TermWrites

#: Jobs per transaction. Each takes two of its 32 entries, an expectation and a write.
JOBS_PER_WRITE = 15
#: Jobs per transaction whose changes are written before marks of other jobs. Starts
#: wait for marks, and callers and later leads for ends.
CHANGES_BEFORE_MARKS = 5
#: Jobs deleted per transaction, with up to four keys each.
JOBS_PER_DELETE = 7
#: Batching delay for ends that no caller waits for. It delays no start, and 40 ms
#: instead of 10 ms saves a seventh of all calls to the store.
BATCH_DELAY = timedelta(milliseconds=40)
#: Age from which a mark is logged as overdue; one takes 4 ms, and some 300 ms while the
#: store is eighty times slower.
MARK_OVERDUE = timedelta(milliseconds=500)
#: Shortest interval between two log lines on overdue marks.
MARK_LOG_INTERVAL = timedelta(seconds=1)
#: Delay before a failed write is retried.
RETRY_AFTER = timedelta(milliseconds=100)


class ProgressLog:
    """Writes changed records; every write expects that this daemon still leads.

    A write without an answer may take effect later, so each write also expects the
    revision of the record that it replaces. This makes it safe to repeat a write whose
    answer is overdue: if it took effect, the repeat conflicts and returns the new
    revision.
    """

    def __init__(
        self,
        writes: TermWrites,
        clock: Clock,
        log: EventLog,
        tasks: TaskSet,
        on_durable: Callable[[Job, ProgressRecord], None],
    ) -> None:
        """Call ``on_durable(job, progress)`` after each record that was written."""
        self._writes = writes
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._on_durable = on_durable
        self._answer_times = AnswerTimes()
        #: Number of consecutive overdue answers.
        self._misses = 0
        #: Jobs with changes that are not durable yet, and the number of their changes.
        self._dirty: dict[Job, int] = {}
        #: Jobs that get their first record, and since when they wait for it: those that
        #: were just submitted are written before those of a takeover.
        self._marks: tuple[dict[Job, datetime], dict[Job, datetime]] = ({}, {})
        self._marks_logged_until = clock.now()
        self._timer: Timer | None = None
        self._waiters: list[Deferred[None]] = []
        self._writing = False

    def schedule_write(self, job: Job, urgent: bool) -> None:
        """Schedule a write of the job's progress, immediate if callers wait for it.

        A record that could not be decoded is left unchanged for a process that can
        decode it.
        """
        if job.is_unreadable:
            return
        self._dirty[job] = self._dirty.get(job, 0) + 1
        if urgent:
            self._write_now()
        elif self._timer is None and not self._writing:
            self._timer = self._clock.call_later(BATCH_DELAY, self._write_now)

    def schedule_mark(self, job: Job, has_caller: bool) -> None:
        """Write a job's first record at once, which is empty unless it has progress.

        Marks of jobs that callers have just submitted are written before others.
        """
        if job.is_unreadable or self.mark_age(job) is not None:
            return
        submitted, loaded = self._marks
        (submitted if has_caller else loaded)[job] = self._clock.now()
        self._write_now()

    def mark_age(self, job: Job) -> timedelta | None:
        """Return how long a job has waited for its mark, None if it does not wait."""
        for marks in self._marks:
            if job in marks:
                return self._clock.now() - marks[job]
        return None

    def _unmarked(self) -> Iterator[Job]:
        return chain(*self._marks)

    def _write_now(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._writing:
            self._writing = True
            writing = supervised("progress log", self._clock, self._write_all)
            self._tasks.spawn("progress log", writing)

    async def wait_until_durable(self) -> None:
        """Return once everything noted so far is durable."""
        if not self._dirty:
            return
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        await waiter

    def unwritten(self) -> int:
        """Return how many jobs have changes that are not durable yet."""
        return len(self._dirty)

    def close(self) -> None:
        """Cancel the pending write and all waiters; the tasks are closed separately."""
        if self._timer is not None:
            self._timer.cancel()
        for waiter in self._waiters:
            if not waiter.called:
                waiter.cancel()
        self._waiters = []

    async def delete(self, jobs: Sequence[Job]) -> int:
        """Delete the records of ended jobs; return how many were deleted."""
        chosen = jobs[:JOBS_PER_DELETE]
        deletes = []
        for job in chosen:
            pool = job.record.pool
            deletes += [
                job_key(pool, job.id),
                progress_key(pool, job.id),
                claim_key(job.id),
            ]
            if job.cancelled:
                deletes.append(cancel_key(pool, job.id))
        result = await self._writes.commit({}, deletes=deletes)
        return len(chosen) if isinstance(result, Committed) else 0

    async def _write_all(self) -> None:
        try:
            while self._dirty or any(self._marks):
                self._log_overdue_marks()
                batch = self._next_batch()
                versions = {job: self._dirty.get(job, 0) for job in batch}
                if not await self._write(batch, versions):
                    await self._clock.sleep(RETRY_AFTER)
        finally:
            self._writing = False

    def _next_batch(self) -> list[Job]:
        changed = list(islice(self._dirty, JOBS_PER_WRITE))
        if not any(self._marks):
            return changed
        first = changed[:CHANGES_BEFORE_MARKS]
        marked = islice(self._unmarked(), JOBS_PER_WRITE)
        return list(dict.fromkeys([*first, *marked, *changed]))[:JOBS_PER_WRITE]

    def _log_overdue_marks(self) -> None:
        now = self._clock.now()
        if now < self._marks_logged_until or not any(self._marks):
            return
        # Each is in the order in which the marks were requested.
        oldest = min(next(iter(marks.values())) for marks in self._marks if marks)
        if now - oldest < MARK_OVERDUE:
            return
        self._marks_logged_until = now + MARK_LOG_INTERVAL
        self._log.log_event(
            LogLevel.WARNING,
            "marks_overdue",
            jobs=sum(map(len, self._marks)),
            oldest_ms=(now - oldest) // timedelta(milliseconds=1),
            first=next(self._unmarked()).id,
        )

    async def _write(self, jobs: list[Job], versions: Mapping[Job, int]) -> bool:
        written = {job: job.progress() for job in jobs}
        expected = {}
        puts = []
        for job, progress in written.items():
            key = progress_key(job.record.pool, job.id)
            expected[key] = job.progress_revision
            puts.append(Put(key, encode_progress(progress)))
        began_at = self._clock.now()
        timeout = self._answer_times.overdue_after(self._misses)
        writing = Deferred.fromCoroutine(self._writes.commit(expected, puts))
        try:
            result = await within(self._clock, timeout, writing)
        except StoreError as exc:
            self._note_unwritten(jobs, str(exc))
            return False
        except DeadlineExceededError:
            self._misses += 1
            self._note_unwritten(jobs, "the answer is overdue")
            # A delay would not make an answer to the next write more likely.
            return True
        self._misses = 0
        self._answer_times.add_sample(self._clock.now() - began_at)
        if isinstance(result, Committed):
            self._mark_written(written, versions, result.revision)
        else:
            self._adopt_revisions(jobs, result)
        return True

    def _note_unwritten(self, jobs: list[Job], detail: str) -> None:
        self._log.log_event(
            LogLevel.INFO, "progress_unwritten", jobs=len(jobs), detail=detail
        )

    def _mark_written(
        self,
        written: dict[Job, ProgressRecord],
        versions: Mapping[Job, int],
        revision: int,
    ) -> None:
        for job, progress in written.items():
            job.progress_revision = revision
            for marks in self._marks:
                marks.pop(job, None)
            if self._dirty.get(job, 0) == versions[job]:
                self._dirty.pop(job, None)
            self._on_durable(job, progress)
        if not self._dirty:
            waiting, self._waiters = self._waiters, []
            for waiter in waiting:
                if not waiter.called:
                    waiter.callback(None)

    def _adopt_revisions(self, jobs: list[Job], conflict: Conflict) -> None:
        """Adopt the revisions of earlier writes whose answers were lost."""
        for job in jobs:
            item = conflict.current.get(progress_key(job.record.pool, job.id))
            job.progress_revision = 0 if item is None else item.revision
