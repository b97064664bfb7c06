"""Orders that throttle a run on a worker to a percentage of its full pace."""

from __future__ import annotations

from savorylead.jobs import Run
from savorylead.pools import (
    PoolWorker,
    StaleFenceError,
    WorkerCalls,
    WorkerUnhealthyError,
    WrongIncarnationError,
)
from savorylead.workers import WorkerError
from savorylead_daemon.concurrency import TaskSet
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._session_owner import SessionOwner


class PaceOrders:
    """Sends pace orders to one worker; restores a run's known pace if one fails."""

    def __init__(
        self,
        worker: PoolWorker,
        owner: SessionOwner,
        calls: WorkerCalls,
        log: EventLog,
        tasks: TaskSet,
    ) -> None:
        self._worker = worker
        self._owner = owner
        self._calls = calls
        self._log = log
        self._tasks = tasks

    def send(self, run: Run, percent: int) -> None:
        """Set a run's pace, in percent of its full pace."""
        self._tasks.spawn("pace of a run", self._send(run, percent))

    async def _send(self, run: Run, percent: int) -> None:
        # The report behind this order may have been polled a second ago, and the
        # lease may have been lost since.
        if not self._owner.may_act():
            return
        before, run.pace_percent = run.pace_percent, percent
        try:
            await self._calls.pace(
                self._worker.entry,
                self._owner.fence,
                run.task.name,
                run.number,
                percent,
            )
        except StaleFenceError:
            self._owner.superseded()
        except (WorkerError, WrongIncarnationError, WorkerUnhealthyError) as exc:
            run.pace_percent = before
            self._log.log_event(
                LogLevel.INFO, "pace_failed", worker=self._worker.id, detail=str(exc)
            )
