"""Journal as a ring of log slots and a snapshot in the platform's store."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from twisted.internet.defer import CancelledError, Deferred, fail
from twisted.python.failure import Failure

from savorylead.clock import Clock
from savorylead.store import RetryPolicy, Store

from ._append_queue import AppendQueue, PendingAppend, fail_all, split_batch
from ._events import Event, Resigned
from ._head_writer import HeadWriter
from ._journal import DeposedError, Journal
from ._layout import JournalLayout
from ._log_writer import LogPosition, LogWriter
from ._settings import (
    MAX_ENTRY_BYTES,
    MIN_RING_SLOTS,
    AlreadyOpenError,
    AppendTooLargeError,
    JournalSettings,
)
from ._snapshot_writer import SnapshotCut, SnapshotWriter
from ._state import ShardState
from ._takeover import Takeover
from ._write_priority import write_priority

_DEFAULTS = JournalSettings()


class RingJournal(Journal):
    """Stores a shard's events in a ring of log slots.

    The journal applies every durable event to a state of its own, from which it writes
    snapshots; the state that ``open`` returns is a copy owned by the caller.
    ``on_closed`` is called once when the journal closes for any reason, with the error
    that later appends fail with.
    """

    def __init__(
        self,
        store: Store,
        shard: str,
        clock: Clock,
        rng: random.Random,
        settings: JournalSettings = _DEFAULTS,
        on_closed: Callable[[Exception], None] | None = None,
    ) -> None:
        if not 0 < settings.entry_bytes <= MAX_ENTRY_BYTES:
            raise ValueError(f"entry_bytes {settings.entry_bytes}")
        if settings.ring_slots < MIN_RING_SLOTS:
            raise ValueError(f"ring_slots {settings.ring_slots}")
        retry = RetryPolicy(clock, rng, settings.retry_base, settings.retry_cap)
        layout = JournalLayout(shard)
        head = HeadWriter(store, layout, rng, retry)
        snapshots = SnapshotWriter(store, layout, head, retry, settings.chunk_bytes)
        self._shard = shard
        self._settings = settings
        self._on_closed = on_closed
        self._head = head
        self._snapshots = snapshots
        self._takeover = Takeover(store, layout, head, snapshots, rng, retry)
        self._log = LogWriter(store, layout, clock, rng, retry)
        self._queue = AppendQueue(clock, settings)
        #: The state after the log entries up to ``_applied``.
        self._state = ShardState()
        self._applied = LogPosition(0, 0)
        self._epoch = 0
        self._opened = False
        self._resigning = False
        #: The error of later appends; None while the journal accepts appends.
        self._closed_error: Exception | None = None
        self._in_flight: list[PendingAppend] = []
        self._completing = False
        self._write_loop: Deferred[None] | None = None
        self._snapshot_task: Deferred[None] | None = None

    @property
    def epoch(self) -> int:
        """The epoch of this lead; 0 until ``open`` has returned."""
        return self._epoch

    @property
    def stalled(self) -> bool:
        """Whether the write has failed or waits for a snapshot to free a slot."""
        return self._log.stalled

    @property
    def entries_written(self) -> int:
        """Log entries written by this lead, for metrics."""
        return self._log.entries_written

    @property
    def log_bytes_written(self) -> int:
        """Bytes of log entries written by this lead, for metrics."""
        return self._log.bytes_written

    @property
    def snapshot_bytes_written(self) -> int:
        """Bytes of snapshot chunks written by this lead, for metrics."""
        return self._snapshots.written_bytes

    @property
    def retries(self) -> int:
        """Retries of log writes, for metrics."""
        return self._log.retries

    async def open(self, lead: str) -> ShardState:
        """Take over the shard at a new epoch and return a copy of its state.

        See Journal.open. Raises AlreadyOpenError on a second call.
        """
        if self._opened:
            raise AlreadyOpenError(self._shard)
        self._opened = True
        replay = await self._takeover.run(lead, self._settings.ring_slots)
        head = self._head.head
        self._log.start(head, replay.index, replay.log_bytes)
        await self._log.prefetch_revisions()
        self._state = replay.state
        self._applied = LogPosition(replay.index, replay.log_bytes)
        self._epoch = head.epoch
        if self._closed_error is not None:
            raise self._closed_error
        self._snapshot_if_due()
        return self._state.copy()

    def append(self, events: Sequence[Event]) -> Deferred[None]:
        """Make events durable; see Journal.append.

        The events of one call become durable atomically. Fails immediately with
        AppendTooLargeError if one event is larger than an entry, or all of them are
        larger than the entries of an eighth of the ring.
        """
        if self._closed_error is not None or self._resigning or not self._epoch:
            return fail(self._closed_error or DeposedError(self._shard, self._epoch))
        append = PendingAppend(events, write_priority(events, self._state))
        entry_bytes = self._settings.entry_bytes
        if append.largest_event > entry_bytes:
            return fail(
                AppendTooLargeError(self._shard, append.largest_event, entry_bytes)
            )
        limit = entry_bytes * (self._head.head.ring_slots // 8)
        if append.size > limit:
            return fail(AppendTooLargeError(self._shard, append.size, limit))
        self._queue.put(append)
        if self._write_loop is None:
            self._start_write_loop()
        return append.done

    async def resign(self) -> None:
        """Resign after all pending appends; raises DeposedError.

        Later appends fail immediately.
        """
        resigned = self.append([Resigned(self._epoch)])
        self._resigning = True
        await resigned
        self._stop_snapshot()
        try:
            await self._head.release()
        finally:
            self.close()

    def close(self) -> None:
        """Stop without resigning; pending appends fail with DeposedError."""
        self._terminate(DeposedError(self._shard, self._epoch), self._unsettled_error())

    def observe_epoch(self, epoch: int) -> None:
        """Close if ``epoch``, read from the shard's head, belongs to a later lead."""
        if self._epoch and epoch > self._epoch:
            self.close()

    def _start_write_loop(self) -> None:
        write_loop = Deferred.fromCoroutine(self._run_write_loop())
        write_loop.addCallbacks(lambda _: None, self._on_write_loop_failure)
        if not write_loop.called:
            self._write_loop = write_loop

    async def _run_write_loop(self) -> None:
        while self._queue and self._closed_error is None:
            self._in_flight = await self._queue.next_batch()
            await self._write_batch(self._in_flight)
            written, self._in_flight = self._in_flight, []
            for append in written:
                self._state.apply_all(append.events)
            self._applied = self._log.position
            self._snapshot_if_due()
            self._complete(written)
        self._write_loop = None

    def _complete(self, written: list[PendingAppend]) -> None:
        """Fire the Deferreds; their callbacks may append or close the journal."""
        self._completing = True
        for append in written:
            append.done.callback(None)
        self._completing = False

    async def _write_batch(self, batch: list[PendingAppend]) -> None:
        encoded = [event for append in batch for event in append.encoded]
        if not encoded:
            return
        parts = list(split_batch(encoded, self._settings.entry_bytes))
        for number, part in enumerate(parts, start=1):
            await self._log.write(part, more=number < len(parts))

    def _snapshot_if_due(self) -> None:
        """Start a snapshot if the log since the last one is at least as large as it.

        Also starts one if the ring is half full.
        """
        if self._snapshot_task is not None or self._closed_error is not None:
            return
        if self._applied.index <= self._head.head.covered:
            # Later entries are parts of an append that is not complete yet.
            return
        pointer = self._head.head.snapshot
        threshold_bytes = self._settings.snapshot_log_bytes
        if pointer is not None:
            threshold_bytes = max(threshold_bytes, pointer.size_bytes)
        half_full = self._log.uncovered * 2 >= self._head.head.ring_slots
        if self._log.uncovered_bytes >= threshold_bytes or half_full:
            self._start_snapshot()

    def _start_snapshot(self) -> None:
        cut = SnapshotCut.of(self._state, self._applied.index)
        snapshot = Deferred.fromCoroutine(self._write_snapshot(cut, self._applied))
        snapshot.addCallbacks(lambda _: None, self._on_snapshot_failure)
        if not snapshot.called:
            self._snapshot_task = snapshot

    async def _write_snapshot(self, cut: SnapshotCut, position: LogPosition) -> None:
        await self._snapshots.write(cut)
        self._log.mark_covered(position)
        await self._snapshots.delete_superseded()
        self._snapshot_task = None
        self._snapshot_if_due()

    def _stop_snapshot(self) -> None:
        snapshot, self._snapshot_task = self._snapshot_task, None
        if snapshot is not None:
            snapshot.cancel()

    def _on_write_loop_failure(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self._write_loop = None
            self._terminate(failure.value, failure.value)

    def _on_snapshot_failure(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self._terminate(failure.value, self._unsettled_error())

    def _unsettled_error(self) -> DeposedError:
        return DeposedError(self._shard, self._epoch, settled=False)

    def _terminate(self, error: Exception, writing_error: Exception) -> None:
        """Fail the write in flight, all pending appends and all later ones."""
        if self._closed_error is not None:
            return
        if isinstance(error, DeposedError):
            error = DeposedError(self._shard, self._epoch)
        self._closed_error = error
        in_flight, self._in_flight = self._in_flight, []
        waiting = self._queue.clear()
        write_loop, self._write_loop = self._write_loop, None
        if write_loop is not None and not self._completing:
            write_loop.cancel()
        self._stop_snapshot()
        fail_all(in_flight, writing_error)
        fail_all(waiting, error)
        if self._on_closed is not None:
            self._on_closed(error)
