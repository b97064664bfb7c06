"""A cell whose processes can be frozen; it records orders given without a lease."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from typing import Any
from unittest.mock import patch

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, Timer
from savorylead.jobs import TaskName
from savorylead.pools import (
    Changes,
    RunOrder,
    RunRejected,
    RunStarted,
    WorkerCalls,
    WorkerEntry,
    WorkerReport,
)
from savorylead.store import StoreTimeoutError
from savorylead_standins.pools import MemoryWorkers, PoolCell, _pool_cell
from savorylead_standins.pools._memory_cell_store import StoreView


class _GatedTimer(Timer):
    def __init__(self) -> None:
        self.is_cancelled = False
        self.inner: Timer | None = None

    def cancel(self) -> None:
        self.is_cancelled = True
        if self.inner is not None:
            self.inner.cancel()


class Process:
    """A process that can be frozen; meanwhile its timers and responses are queued."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_frozen = False
        self._waiting: list[Callable[[], None]] = []

    def freeze(self, seconds: float) -> None:
        """Suspend the process for a time."""
        self.is_frozen = True
        self.clock.call_later(timedelta(seconds=seconds), self._resume)

    def _resume(self) -> None:
        self.is_frozen = False
        # All queued calls are due by now; they run in the order of their arrival.
        waiting, self._waiting = self._waiting, []
        for func in waiting:
            func()

    def when_running(self, func: Callable[[], None]) -> None:
        """Call ``func()`` now, or once the process resumes."""
        if self.is_frozen:
            self._waiting.append(func)
        else:
            func()

    async def receive(self, call: Coroutine[Any, Any, Any]) -> Any:
        """Return a call's result once the process runs and can receive it."""
        try:
            return await call
        finally:
            if self.is_frozen:
                resumed: Deferred[None] = Deferred()
                self._waiting.append(lambda: resumed.called or resumed.callback(None))
                await resumed


class ProcessClock(Clock):
    """Advances while the process is frozen, as boot time does; its timers wait."""

    def __init__(self, process: Process) -> None:
        self._process = process

    def now(self) -> datetime:
        return self._process.clock.now()

    def call_later(
        self, delay: timedelta, func: Callable[..., Any], *args: Any
    ) -> Timer:
        timer = _GatedTimer()

        def run() -> None:
            if not timer.is_cancelled:
                func(*args)

        timer.inner = self._process.clock.call_later(
            delay, self._process.when_running, run
        )
        return timer


class ProcessView(StoreView):
    """The store connection of a process that can be frozen."""

    def __init__(self, view: StoreView, process: Process) -> None:
        super().__init__(view._store)
        self._process = process
        #: While True, watches report no changes.
        self.is_deaf = False

    async def _answer(self) -> None:
        await self._process.receive(super()._answer())

    async def changes(
        self, prefix: str, after_revision: int, wait: timedelta
    ) -> Changes:
        """Return changes after a revision; a stalled watch times out."""
        if self.is_deaf and wait:
            await self._process.clock.sleep(wait)
            raise StoreTimeoutError("the watch is stalled")
        return await super().changes(prefix, after_revision, wait)


class ProcessWorkers(WorkerCalls):
    """Forwards calls to workers and records those made without the lease."""

    def __init__(
        self, inner: MemoryWorkers, process: Process, may_act: Callable[[], bool]
    ) -> None:
        self._inner = inner
        self._process = process
        self._may_act = may_act
        self.unpermitted: list[str] = []
        #: Term number and time of each start order.
        self.starts: list[tuple[int, datetime]] = []

    def _record_unpermitted(self, order: str) -> None:
        if not self._may_act():
            self.unpermitted.append(order)

    async def start(
        self, worker: WorkerEntry, fence: int, order: RunOrder
    ) -> RunStarted | RunRejected:
        self._record_unpermitted(f"start of {order.task}/{order.number}")
        self.starts.append((fence, self._process.clock.now()))
        return await self._process.receive(self._inner.start(worker, fence, order))

    async def stop(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int
    ) -> None:
        self._record_unpermitted(f"stop of {task}/{number}")
        await self._process.receive(self._inner.stop(worker, fence, task, number))

    async def pace(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int, percent: int
    ) -> None:
        self._record_unpermitted(f"pace of {task}/{number}")
        await self._process.receive(
            self._inner.pace(worker, fence, task, number, percent)
        )

    async def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        released: int,
        deadline_ms: int | None,
        wait: timedelta,
    ) -> WorkerReport:
        self._record_unpermitted(f"hold of {worker.id}")
        return await self._process.receive(
            self._inner.hold(worker, fence, released, deadline_ms, wait)
        )


class FrozenCell(PoolCell):
    """A cell with one process per node, each of which can be frozen."""

    def __init__(self, **changes: Any) -> None:
        self.processes: dict[str, Process] = {}
        self.calls: dict[str, ProcessWorkers] = {}
        #: Worker calls of earlier processes of nodes that were restarted.
        self.former_calls: list[ProcessWorkers] = []
        super().__init__(**changes)

    def start_node(self, name: str) -> None:
        """Start a process with its own clock and connections to store and peers."""
        clock, workers = self.clock, self.workers
        process = self.processes[name] = Process(clock)
        self.views[name] = ProcessView(StoreView(self.store), process)
        if name in self.calls:
            self.former_calls.append(self.calls[name])
        calls = ProcessWorkers(workers, process, lambda: self._holds(name))
        self.calls[name] = calls
        self.clock, self.workers = ProcessClock(process), calls  # type: ignore[assignment]
        try:
            with patch.object(_pool_cell, "_Peers", _gated(process)):
                super().start_node(name)
        finally:
            self.clock, self.workers = clock, workers

    def _holds(self, name: str) -> bool:
        node = self.nodes.get(name)
        return node is not None and node._lease.holds()

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a process; it does not respond to other nodes meanwhile."""
        self.processes[name].freeze(seconds)
        self.mute.add(name)
        self.clock.call_later(timedelta(seconds=seconds), self.mute.discard, name)

    def overlap(self) -> timedelta:
        """Return for how long a term ordered starts after a later term began to."""
        starts = [each for calls in self._all_calls() for each in calls.starts]
        first: dict[int, datetime] = {}
        last: dict[int, datetime] = {}
        for fence, at in sorted(starts, key=lambda row: row[1]):
            first.setdefault(fence, at)
            last[fence] = at
        longest = timedelta(0)
        for fence, at in last.items():
            later = [begin for other, begin in first.items() if other > fence]
            if later:
                longest = max(longest, at - min(later))
        return longest

    def unpermitted(self) -> list[str]:
        """Return the orders that a process gave without holding its lease."""
        return [order for calls in self._all_calls() for order in calls.unpermitted]

    def _all_calls(self) -> list[ProcessWorkers]:
        return [*self.former_calls, *self.calls.values()]


def _gated(process: Process) -> type:
    class Gated(_pool_cell._Peers):
        async def send_message(self, address: str, message: Any) -> Any:
            return await process.receive(super().send_message(address, message))

        async def send_request(self, address: str, asked: Any) -> bool:
            return await process.receive(super().send_request(address, asked))

        async def advise(self, address: str, asked: Any) -> Any:
            return await process.receive(super().advise(address, asked))

    return Gated
