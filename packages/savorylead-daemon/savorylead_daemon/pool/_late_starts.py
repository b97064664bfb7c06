"""Makes each incarnation of a worker refuse the starts that its lead has given up."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from savorylead.clock import Clock, to_millis
from savorylead.pools import (
    PoolWorker,
    RunOrder,
    StaleFenceError,
    UnansweredStart,
    UnansweredStarts,
    WorkerCalls,
    WorkerReport,
    WorkerUnhealthyError,
    WrongIncarnationError,
)
from savorylead.workers import WorkerError
from savorylead_daemon.concurrency import TaskSet, supervised
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._session_owner import MAY_ACT_CHECK_INTERVAL, RETRY_AFTER, SessionOwner


class LateStarts:
    """Stops the runs of unanswered starts in every incarnation of one worker."""

    def __init__(
        self,
        worker: PoolWorker,
        owner: SessionOwner,
        calls: WorkerCalls,
        clock: Clock,
        log: EventLog,
        tasks: TaskSet,
        starts: UnansweredStarts,
        incarnation_start_ms: Callable[[], int],
        report_now: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """``starts`` outlive the session, which owns ``tasks``.

        ``incarnation_start_ms()`` tells which incarnation answers, ``report_now()``
        requests a report and applies it.
        """
        self._worker = worker
        self._owner = owner
        self._calls = calls
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._starts = starts
        self._incarnation_start_ms = incarnation_start_ms
        self._report_now = report_now
        self._is_refusing = False

    @property
    def may_arrive(self) -> bool:
        """Whether a restart of the worker has to be noticed soon."""
        return self._starts.may_arrive(self._now_ms())

    @property
    def has_open(self) -> bool:
        """Whether the next incarnation has to be told soon after its start."""
        return self._starts.has_open(self._now_ms())

    def start_of(self, order: RunOrder) -> UnansweredStart:
        """Return an order that is about to be sent, in case it is not answered."""
        return UnansweredStart(
            order.task, order.number, self._now_ms(), self._incarnation_start_ms()
        )

    def note_unanswered(self, start: UnansweredStart) -> None:
        """Record that an order was not answered."""
        self._starts.note_unanswered(start)
        self._owner.count_unanswered_start("unanswered")

    def note_executed(self, report: WorkerReport) -> None:
        """Forget the orders of runs that a report lists."""
        if self._starts.is_empty:
            return
        runs = (*report.active, *report.ended)
        listed = {(str(run.task), run.number) for run in runs}
        for start in self._starts.note_executed(listed):
            self._owner.count_unanswered_start("listed")
            self._log_start("unanswered_start_listed", start)

    def refuse(self) -> bool:
        """Stop the runs of orders that the present incarnation may still execute.

        Returns whether there are any; nothing should start on the worker before its
        next report.
        """
        is_needed = bool(self._to_refuse())
        if is_needed and not self._is_refusing:
            self._is_refusing = True
            name = "refusal of late starts"
            self._tasks.spawn(name, supervised(name, self._clock, self._refuse_all))
        return is_needed

    def _to_refuse(self) -> list[UnansweredStart]:
        return self._starts.to_refuse(self._incarnation_start_ms(), self._now_ms())

    async def _refuse_all(self) -> None:
        while starts := self._to_refuse():
            if not self._owner.may_act():
                await self._clock.sleep(MAY_ACT_CHECK_INTERVAL)
                continue
            try:
                await self._refuse(starts[0])
            except StaleFenceError:
                self._owner.superseded()
                return
            except (WorkerError, WrongIncarnationError, WorkerUnhealthyError):
                await self._clock.sleep(RETRY_AFTER)
        self._is_refusing = False
        await self._report_now()

    async def _refuse(self, start: UnansweredStart) -> None:
        # If the worker restarts again meanwhile, its next report asks for another stop.
        incarnation_ms = self._incarnation_start_ms()
        await self._calls.stop(
            self._worker.entry, self._owner.fence, start.task, start.number
        )
        self._starts.note_refused(start, incarnation_ms)
        run = self._worker.runs.get(start.key)
        if run is not None:
            run.stopped_at_ms = self._now_ms()
        self._owner.count_unanswered_start("refused")
        self._log_start("late_start_refused", start)

    def _log_start(self, event: str, start: UnansweredStart) -> None:
        self._log.log_event(
            LogLevel.INFO,
            event,
            worker=self._worker.id,
            task_run=f"{start.task}/{start.number}",
            sent_ms_ago=self._now_ms() - start.sent_at_ms,
            sent_to_born=start.sent_to_ms,
            born=self._incarnation_start_ms(),
        )

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())
