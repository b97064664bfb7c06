"""In-memory workers that give no more guarantees than the platform's workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.jobs import TaskName
from savorylead.pools import (
    RunEnd,
    RunOrder,
    RunRejected,
    RunStarted,
    StartRejection,
    WorkerCalls,
    WorkerEntry,
    WorkerNotReachedError,
    WorkerReport,
    WrongIncarnationError,
)
from savorylead.resources import Resources
from savorylead.workers import WorkerTimeoutError, WorkerUnavailableError

from ._memory_machine import MemoryMachine

ONE_WAY_DELAY = timedelta(milliseconds=1)
CALL_TIMEOUT = timedelta(milliseconds=400)
#: A hold times out this long after its wait ends, as in the adapter.
HOLD_TIMEOUT_MARGIN = timedelta(milliseconds=700)


class RunRecord(NamedTuple):
    """A start that a worker executed, recorded for checks after a test."""

    task: TaskName
    number: int
    worker: str
    fence: int
    began_at: datetime


class MemoryWorkers(WorkerCalls):
    """All workers of a cell, with a record of their starts and ends."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        #: A time before anything that a test observes.
        self.long_ago = clock.now() - timedelta(days=1)
        self.machines: dict[str, MemoryMachine] = {}
        #: Duration of a task, the resources it uses and the outcome of its runs.
        self.duration_of: Callable[[TaskName], timedelta] = lambda _: timedelta(
            seconds=1
        )
        self.resources_of: Callable[[TaskName], Resources] = lambda _: Resources(1_000)
        self.how_ends: Callable[[TaskName, int], RunEnd] = lambda *_: RunEnd.DONE
        #: Whether a task runs until it is stopped; it is in service at once.
        self.is_long_running: Callable[[TaskName], bool] = lambda _: False
        #: Returns whether a ticket is valid for starting the task on the worker.
        self.ticket_accepted: Callable[[str, TaskName, str], bool] = lambda *_: True
        #: Number of members in a task's gang; 0 for a task outside a gang.
        self.gang_size_of: Callable[[TaskName], int] = lambda _: 0
        #: Gang members that wait or work, by step and run number.
        self._gangs: dict[tuple[str, int], list[tuple[MemoryMachine, TaskName]]] = {}
        #: Whether two runs of a task may be active at once, since its step is
        #: speculative; no third one may.
        self.may_run_twice: Callable[[TaskName], bool] = lambda _: False
        #: Returns the names of the tasks that must be done before a task starts.
        self.waits_for: Callable[[TaskName], Iterable[str]] = lambda _: ()
        #: Whether workers reject starts that exceed their capacity; if not, they
        #: execute them all the same.
        self.reject_overload = False
        #: Returns whether the response to a hold is lost after it took effect.
        self.loses_hold: Callable[[], bool] = lambda: False
        #: Returns the age at which a run crashes its worker; None for never.
        self.crashes_after: Callable[[TaskName], timedelta | None] = lambda _: None
        #: How long a crashed worker is unreachable, and whether it returns as a new
        #: worker at its address rather than under its own id.
        self.crash_duration = timedelta(seconds=3.2)
        self.returns_as_new = True
        #: Whether a crashed worker's machine closes and refuses connections, as it does
        #: if only the process has ended; otherwise calls time out.
        self.refuses_when_down = False
        #: For how long a worker that has returned executes no late start.
        self.refuses_late_starts_for = timedelta(0)
        #: Called with the entry of each worker that crashes, and of each that returns.
        self.on_crash: Callable[[WorkerEntry], None] = lambda _: None
        self.on_return: Callable[[WorkerEntry], None] = lambda _: None
        #: Ids of the workers that crashed, in order.
        self.crashed_workers: list[str] = []
        self.rejections: Counter[StartRejection] = Counter()
        self.records: list[RunRecord] = []
        self.ends: list[tuple[TaskName, int, RunEnd]] = []
        #: Violated guarantees, one message each; tests assert that it is empty.
        self.breaches: list[str] = []
        #: The worker on which a task was done.
        self._done: dict[str, MemoryMachine] = {}
        #: Names of the tasks whose ends a crashed worker still listed.
        self._lost_ends: set[str] = set()

    def add(self, entry: WorkerEntry) -> MemoryMachine:
        """Add a worker."""
        machine = self.machines[entry.id] = MemoryMachine(entry, self)
        return machine

    def started(self, machine: MemoryMachine, order: RunOrder, fence: int) -> None:
        """Record a start and check it against the scheduler's guarantees."""
        name = str(order.task)
        now = self.clock.now()
        self.records.append(
            RunRecord(order.task, order.number, machine.entry.id, fence, now)
        )
        elsewhere = [
            key
            for other in self.machines.values()
            for key in other.active
            if key[0] == name and not (other is machine and key[1] == order.number)
            if other.clock_ms() < other.deadline_ms
        ]
        may_run_twice = self.may_run_twice(order.task)
        if len(elsewhere) > may_run_twice:
            self.breaches.append(f"{name}/{order.number} runs twice: {elsewhere}")
        # The lead may not have read the end of the first run yet.
        is_over = name in self._done and not self.done_is_void(order.task)
        if is_over and not may_run_twice:
            self.breaches.append(f"{name}/{order.number} starts after it was done")
        early = [
            other for other in self.waits_for(order.task) if other not in self._done
        ]
        if early:
            self.breaches.append(f"{name}/{order.number} starts before {early}")
        if not machine.held().fits(machine.entry.capacity):
            self.breaches.append(f"{machine.entry.id} holds too much")

    def crash_if_due(self, machine: MemoryMachine, order: RunOrder) -> None:
        """Schedule the crash of a worker that has started a run that crashes it."""
        delay = self.crashes_after(order.task)
        if delay is not None:
            key = (str(order.task), order.number)
            self.clock.call_later(delay, self._crash_if_active, machine, key)

    def _crash_if_active(self, machine: MemoryMachine, key: tuple[str, int]) -> None:
        if key in machine.active:
            machine.crash_and_return(self.crash_duration, self.returns_as_new)

    def crashed(self, machine: MemoryMachine) -> None:
        """Record that a worker is about to crash; the gangs of its runs break."""
        self.crashed_workers.append(machine.entry.id)
        self.on_crash(machine.entry)
        for name, number in list(machine.active):
            self._gang_ended(TaskName.parse(name), number, RunEnd.BROKEN)

    def note_lost_ends(self, machine: MemoryMachine) -> None:
        """Record that a worker is about to forget the ends that it lists.

        Whether a lead has read them is unknown, so their tasks may run again.
        """
        self._lost_ends.update(str(ended.task) for ended in machine.ended)

    def returned(self, machine: MemoryMachine) -> None:
        """Register a crashed worker, or add the one that follows it at its address."""
        entry = machine.entry
        if machine.is_replaced:
            entry = entry._replace(id=f"{entry.id}+")
            self.add(entry)
        self.on_return(entry)

    def gang_joined(self, machine: MemoryMachine, order: RunOrder) -> None:
        """Begin a gang's work once all its members have started."""
        members = self._gangs.setdefault(_gang_of(order.task, order.number), [])
        members.append((machine, order.task))
        if len(members) == self.gang_size_of(order.task):
            for where, task in members:
                where.begin_work((str(task), order.number))

    def _gang_ended(self, task: TaskName, number: int, how: RunEnd) -> None:
        """End the other members of a gang, unless the gang is done as a whole."""
        members = self._gangs.pop(_gang_of(task, number), [])
        if how is RunEnd.DONE:
            return
        for machine, other in members:
            if other != task:
                machine.break_off((str(other), number))

    def done_is_void(self, task: TaskName) -> bool:
        """Return whether a task was done, but no lead may know it.

        Its worker's lease expired, or the worker crashed, before the end was released.
        """
        name = str(task)
        if name in self._lost_ends:
            return True
        return name in self._done and self._done[name].end_is_void(name)

    def ended(
        self, machine: MemoryMachine, task: TaskName, number: int, how: RunEnd
    ) -> None:
        """Record the end of a run."""
        self.ends.append((task, number, how))
        self._gang_ended(task, number, how)
        if how is RunEnd.DONE:
            self._done[str(task)] = machine
            self._lost_ends.discard(str(task))

    async def start(
        self, worker: WorkerEntry, fence: int, order: RunOrder
    ) -> RunStarted | RunRejected:
        """Send a start order to its worker."""
        try:
            machine = await self._arrive(worker)
        except WrongIncarnationError:
            return RunRejected(StartRejection.WRONG_INCARNATION, None)
        if machine.late_starts:
            machine.late_starts -= 1
            self.clock.call_later(machine.late_by, machine.start_late, order, fence)
            await self._time_out()
        result = machine.start(order, fence)
        if machine.lost_starts:
            machine.lost_starts -= 1
            await self._time_out()
        await self._answer(machine)
        return result

    async def stop(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int
    ) -> None:
        """Send a stop order to its worker."""
        machine = await self._arrive(worker)
        machine.stop(task, number, fence)
        await self._answer(machine)

    async def pace(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int, percent: int
    ) -> None:
        """Check the fencing token only; these tasks do not affect each other."""
        machine = await self._arrive(worker)
        machine.check_fence(fence)

    async def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        released: int,
        deadline_ms: int | None,
        wait: timedelta,
    ) -> WorkerReport:
        """Renew the lease and return the report."""
        machine = await self._arrive(worker)
        report = machine.renew_and_report(fence, released, deadline_ms)
        if self.loses_hold():
            await self.clock.sleep(wait + HOLD_TIMEOUT_MARGIN)
            raise WorkerTimeoutError("no answer")
        if report is None and wait:
            ended = machine.next_end()
            timer = self.clock.call_later(wait, _fire, ended)
            await ended
            timer.cancel()
            if machine.is_down and self.refuses_when_down:
                raise WorkerUnavailableError("connection closed")
            machine.expire()
        report = machine.report()
        await self._answer(machine)
        return report

    async def _arrive(self, worker: WorkerEntry) -> MemoryMachine:
        await self.clock.sleep(ONE_WAY_DELAY)
        machine = self.machines.get(worker.id)
        if machine is not None and machine.is_down and self.refuses_when_down:
            raise WorkerNotReachedError("connection refused")
        if machine is None or machine.is_cut:
            await self._time_out()
        assert machine is not None
        if machine.is_replaced:
            raise WrongIncarnationError
        return machine

    async def _answer(self, machine: MemoryMachine) -> None:
        await self.clock.sleep(ONE_WAY_DELAY)
        if machine.is_cut:
            await self._time_out()

    async def _time_out(self) -> None:
        await self.clock.sleep(CALL_TIMEOUT)
        raise WorkerTimeoutError("no answer")


def _gang_of(task: TaskName, number: int) -> tuple[str, int]:
    return f"{task.job}.{task.occurrence}.{task.step}", number


def _fire(waiting: Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)
