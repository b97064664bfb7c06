"""One daemon's network paths to the in-memory workers."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

from savorylead.clock import Clock
from savorylead.jobs import TaskName
from savorylead.pools import (
    RunOrder,
    RunRejected,
    RunStarted,
    WorkerCalls,
    WorkerEntry,
    WorkerReport,
)
from savorylead.workers import WorkerTimeoutError

T = TypeVar("T")

#: Timeout of a call that is lost, the same as for a worker that is cut from all.
CALL_TIMEOUT = timedelta(milliseconds=400)


class WorkersView(WorkerCalls):
    """Forwards a daemon's calls to the workers that it is not partitioned from."""

    def __init__(
        self, workers: WorkerCalls, clock: Clock, is_cut: Callable[[str], bool]
    ) -> None:
        """``is_cut`` returns whether the path to a worker's address is cut now."""
        self._workers = workers
        self._clock = clock
        self._is_cut = is_cut

    async def start(
        self, worker: WorkerEntry, fence: int, order: RunOrder
    ) -> RunStarted | RunRejected:
        """Send a start order to its worker."""
        return await self._send(
            worker, lambda: self._workers.start(worker, fence, order)
        )

    async def stop(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int
    ) -> None:
        """Send a stop order to its worker."""
        await self._send(
            worker, lambda: self._workers.stop(worker, fence, task, number)
        )

    async def pace(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int, percent: int
    ) -> None:
        """Send an order to throttle a run to its worker."""
        await self._send(
            worker, lambda: self._workers.pace(worker, fence, task, number, percent)
        )

    async def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        released: int,
        deadline_ms: int | None,
        wait: timedelta,
    ) -> WorkerReport:
        """Renew the lease and return the report."""
        return await self._send(
            worker,
            lambda: self._workers.hold(worker, fence, released, deadline_ms, wait),
        )

    def keep_only(self, worker_ids: frozenset[str]) -> None:
        """Close the connections to all other workers."""
        self._workers.keep_only(worker_ids)

    async def _send(
        self, worker: WorkerEntry, call: Callable[[], Coroutine[Any, Any, T]]
    ) -> T:
        await self._time_out_if_cut(worker)
        try:
            result = await call()
        except Exception:
            await self._time_out_if_cut(worker)
            raise
        await self._time_out_if_cut(worker)
        return result

    async def _time_out_if_cut(self, worker: WorkerEntry) -> None:
        if self._is_cut(worker.address):
            await self._clock.sleep(CALL_TIMEOUT)
            raise WorkerTimeoutError("no answer")
