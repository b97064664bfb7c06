"""Workers in memory, no kinder than the platform says of real ones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.jobs import TaskName
from savorylead.pools import (
    ActiveRun,
    EndedRun,
    RunEnd,
    RunOrder,
    RunRejected,
    RunStarted,
    StaleFenceError,
    StartRejection,
    WorkerCalls,
    WorkerEntry,
    WorkerReport,
)
from savorylead.resources import Resources
from savorylead.workers import WorkerTimeoutError

DELAY = timedelta(milliseconds=1)
GIVE_UP = timedelta(milliseconds=400)
#: A hold without an answer is given up this long after its wait, as in the adapter.
HOLD_SLACK = timedelta(milliseconds=700)
#: A stop takes this long.
STOP = timedelta(milliseconds=100)
#: Members of a gang wait for the others this long.
GANG_TIMEOUT = timedelta(seconds=3)
#: Longest lease of a worker, in milliseconds.
HOLD_MAX_MS = 6_000
#: Every worker's clock runs this much slow, the most that is allowed.
SLOW_CLOCK = 0.02
_MS = timedelta(milliseconds=1)


class RunRecord(NamedTuple):
    """A start that a worker made, for checks after a test."""

    task: TaskName
    number: int
    worker: str
    fence: int
    began_at: datetime


class _Active:
    def __init__(self, order: RunOrder, began_at: datetime, cores: Resources) -> None:
        self.order = order
        self.began_at = began_at
        self.resources = cores
        self.timer: Any = None
        #: When it began to work; a member of a gang waits for the others before.
        self.works_since: datetime | None = None


class MemoryMachine:
    """One worker: its incarnation, its lease and what runs on it."""

    def __init__(self, entry: WorkerEntry, owner: MemoryWorkers) -> None:
        self.entry = entry
        self._owner = owner
        self._clock = owner.clock
        self._began_at = self._clock.now()
        self.fence = 0
        self.deadline_ms = 0
        self.active: dict[tuple[str, int], _Active] = {}
        self.ended: list[EndedRun] = []
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._waiting: list[Deferred[None]] = []
        #: While True, nothing reaches it and no answer leaves it.
        self.is_cut = False
        #: Answers of this many further starts are lost after they took effect.
        self.lost_starts = 0
        #: This many further starts are executed this much later, without an answer.
        self.late_starts = 0
        self.late_by = timedelta(seconds=3)

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        elapsed = (self._clock.now() - self._began_at) / _MS
        return 1_000 + int(elapsed * (1 - SLOW_CLOCK))

    def crash(self) -> None:
        """Start again under the same id; nothing of before is known."""
        for run in self.active.values():
            run.timer.cancel()
        born_ms = self.entry.born_ms + 1
        self.__init__(self.entry._replace(born_ms=born_ms), self._owner)

    def expire(self) -> None:
        """Kill everything if the lease is over."""
        if self.active and self.clock_ms() >= self.deadline_ms:
            for key in list(self.active):
                self._end(key, RunEnd.LAPSED)

    def check_fence(self, fence: int) -> None:
        """Raise StaleFenceError for a lower fencing token than one seen before."""
        if fence < self.fence:
            raise StaleFenceError
        self.fence = fence

    def start(self, order: RunOrder, fence: int) -> RunStarted | RunRejected:
        """Execute a start order."""
        self.expire()
        clock_ms = self.clock_ms()
        if fence < self.fence:
            return RunRejected(StartRejection.STALE_FENCE, clock_ms)
        self.fence = fence
        key = (str(order.task), order.number)
        if key in self.active:
            return RunStarted(clock_ms)
        if order.deadline_ms <= clock_ms:
            return RunRejected(StartRejection.TOO_LATE, clock_ms)
        rejection = self._rejection(order)
        if rejection is not None:
            self._owner.rejections[rejection] += 1
            return RunRejected(rejection, clock_ms)
        self._extend(order.deadline_ms)
        resources = self._owner.resources_of(order.task)
        run = _Active(order, self._clock.now(), resources)
        self.active[key] = run
        if self._owner.gang_size_of(order.task):
            run.timer = self._clock.call_later(
                GANG_TIMEOUT, self._end, key, RunEnd.ALONE
            )
            self._owner.started(self, order, fence)
            self._owner.gang_joined(self, order)
        else:
            self.begin_work(key)
            self._owner.started(self, order, fence)
        return RunStarted(clock_ms)

    def _rejection(self, order: RunOrder) -> StartRejection | None:
        owner = self._owner
        if order.number <= self._highest.get(str(order.task), 0):
            # A start that comes too late for its run still extends the lease.
            self._extend(order.deadline_ms)
            return StartRejection.STALE_NUMBER
        if not owner.ticket_accepted(order.ticket, order.task, self.entry.id):
            return StartRejection.BAD_TICKET
        needed = self.held().plus(owner.resources_of(order.task))
        if owner.reject_overload and not needed.fits(self.entry.capacity):
            self._extend(order.deadline_ms)
            return StartRejection.NO_ROOM
        return None

    def begin_work(self, key: tuple[str, int]) -> None:
        """Let a run work; a member of a gang waits for the others before."""
        run = self.active[key]
        if run.timer is not None:
            run.timer.cancel()
        run.works_since = self._clock.now()
        length = self._owner.length_of(run.order.task)
        run.timer = self._clock.call_later(length, self._finish, key)

    def break_off(self, key: tuple[str, int]) -> None:
        """End a run, if it is there, because another member of its gang ended."""
        self._end(key, RunEnd.BROKEN)

    def stop(self, task: TaskName, number: int, fence: int) -> None:
        """Execute a stop order."""
        self.check_fence(fence)
        self.expire()
        highest = self._highest.get(str(task), 0)
        self._highest[str(task)] = max(highest, number)
        key = (str(task), number)
        if key in self.active:
            self._clock.call_later(STOP, self._end, key, RunEnd.STOPPED)

    def look(
        self, fence: int, released: int, deadline_ms: int | None
    ) -> WorkerReport | None:
        """Renew the lease; return the report, None if there is no end to tell."""
        self.check_fence(fence)
        self.expire()
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self.ended = [e for e in self.ended if e.sequence > released]
        return self.report() if self.ended else None

    def report(self) -> WorkerReport:
        """Return what runs and what ended."""
        active = tuple(
            ActiveRun(r.order.task, r.order.number, "", self._percent(r), 0)
            for r in self.active.values()
        )
        return WorkerReport(
            self.clock_ms(), self.entry.born_ms, active, tuple(self.ended), False
        )

    def _percent(self, run: _Active) -> int:
        """Return how far a run is."""
        if run.works_since is None:
            return 0
        length = self._owner.length_of(run.order.task)
        return min(99, int(100 * (self._clock.now() - run.works_since) / length))

    def end_is_void(self, name: str) -> bool:
        """Return whether the lease lapsed before the end of a task was released.

        Such an end counts as not taken note of, so the task may run again.
        """
        unreleased = any(str(ended.task) == name for ended in self.ended)
        return unreleased and self.clock_ms() >= self.deadline_ms

    def ended_soon(self) -> Deferred[None]:
        """Return a Deferred that fires when a run ends."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        return waiting

    def held(self) -> Resources:
        """Return what the active runs take."""
        total = Resources()
        for run in self.active.values():
            total = total.plus(run.resources)
        return total

    def _extend(self, deadline_ms: int) -> None:
        bounded = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        self.deadline_ms = max(self.deadline_ms, bounded)

    def _finish(self, key: tuple[str, int]) -> None:
        self.expire()
        if key in self.active:
            task = self.active[key].order.task
            self._end(key, self._owner.how_ends(task, key[1]))

    def _end(self, key: tuple[str, int], how: RunEnd) -> None:
        run = self.active.pop(key, None)
        if run is None:
            return
        run.timer.cancel()
        self._sequence += 1
        highest = self._highest.get(key[0], 0)
        self._highest[key[0]] = max(highest, key[1])
        self.ended.append(EndedRun(self._sequence, run.order.task, key[1], how, ""))
        self._owner.ended(self, run.order.task, key[1], how)
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if not each.called:
                each.callback(None)


class MemoryWorkers(WorkerCalls):
    """All workers, and what they did, seen from outside."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.machines: dict[str, MemoryMachine] = {}
        #: How long a task runs, what it takes and how its runs end.
        self.length_of: Callable[[TaskName], timedelta] = lambda _: timedelta(seconds=1)
        self.resources_of: Callable[[TaskName], Resources] = lambda _: Resources(1_000)
        self.how_ends: Callable[[TaskName, int], RunEnd] = lambda *_: RunEnd.DONE
        #: Returns whether a start may use its ticket for the task on the worker.
        self.ticket_accepted: Callable[[str, TaskName, str], bool] = lambda *_: True
        #: How many tasks work only together; 0 for a task that works by itself.
        self.gang_size_of: Callable[[TaskName], int] = lambda _: 0
        #: Members of gangs that wait or work, by step and number of the run.
        self._gangs: dict[tuple[str, int], list[tuple[MemoryMachine, TaskName]]] = {}
        #: Names of the tasks that must be done before a task starts.
        self.waits_for: Callable[[TaskName], Iterable[str]] = lambda _: ()
        #: Whether workers reject what has no room; else they start it all the same.
        self.reject_overload = False
        #: Returns whether the answer to a hold is lost, after it took effect.
        self.loses_hold: Callable[[], bool] = lambda: False
        self.rejections: Counter[StartRejection] = Counter()
        self.records: list[RunRecord] = []
        self.ends: list[tuple[TaskName, int, RunEnd]] = []
        #: What broke a promise, in words; a test asserts that it is empty.
        self.breaches: list[str] = []
        #: The worker on which a task was done.
        self._done: dict[str, MemoryMachine] = {}

    def add(self, entry: WorkerEntry) -> MemoryMachine:
        """Add a worker."""
        machine = self.machines[entry.id] = MemoryMachine(entry, self)
        return machine

    def started(self, machine: MemoryMachine, order: RunOrder, fence: int) -> None:
        """Check a start against the promises."""
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
        if elsewhere:
            self.breaches.append(f"{name}/{order.number} runs twice: {elsewhere}")
        if name in self._done and not self._done[name].end_is_void(name):
            self.breaches.append(f"{name}/{order.number} starts after it was done")
        early = [
            other for other in self.waits_for(order.task) if other not in self._done
        ]
        if early:
            self.breaches.append(f"{name}/{order.number} starts before {early}")
        if not machine.held().fits(machine.entry.capacity):
            self.breaches.append(f"{machine.entry.id} holds too much")

    def gang_joined(self, machine: MemoryMachine, order: RunOrder) -> None:
        """Let a gang work once all its members are present."""
        members = self._gangs.setdefault(_gang_of(order.task, order.number), [])
        members.append((machine, order.task))
        if len(members) == self.gang_size_of(order.task):
            for where, task in members:
                where.begin_work((str(task), order.number))

    def _gang_ended(self, task: TaskName, number: int, how: RunEnd) -> None:
        """Break the rest of a gang off; one that is done is done as a whole."""
        members = self._gangs.pop(_gang_of(task, number), [])
        if how is RunEnd.DONE:
            return
        for machine, other in members:
            if other != task:
                machine.break_off((str(other), number))

    def done_is_void(self, task: TaskName) -> bool:
        """Return whether a task was done, but its lease lapsed before the release."""
        name = str(task)
        return name in self._done and self._done[name].end_is_void(name)

    def ended(
        self, machine: MemoryMachine, task: TaskName, number: int, how: RunEnd
    ) -> None:
        """Take note of an end."""
        self.ends.append((task, number, how))
        self._gang_ended(task, number, how)
        if how is RunEnd.DONE:
            self._done[str(task)] = machine

    async def start(
        self, worker: WorkerEntry, fence: int, order: RunOrder
    ) -> RunStarted | RunRejected:
        """Carry a start order to its worker."""
        machine = await self._arrive(worker)
        if machine.late_starts:
            machine.late_starts -= 1
            self.clock.call_later(machine.late_by, machine.start, order, fence)
            await self._give_up()
        result = machine.start(order, fence)
        if machine.lost_starts:
            machine.lost_starts -= 1
            await self._give_up()
        await self._answer(machine)
        return result

    async def stop(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int
    ) -> None:
        """Carry a stop order to its worker."""
        machine = await self._arrive(worker)
        machine.stop(task, number, fence)
        await self._answer(machine)

    async def pace(
        self, worker: WorkerEntry, fence: int, task: TaskName, number: int, percent: int
    ) -> None:
        """Do nothing: tasks here do not disturb each other."""
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
        report = machine.look(fence, released, deadline_ms)
        if self.loses_hold():
            await self.clock.sleep(wait + HOLD_SLACK)
            raise WorkerTimeoutError("no answer")
        if report is None and wait:
            ended = machine.ended_soon()
            timer = self.clock.call_later(wait, _fire, ended)
            await ended
            timer.cancel()
            machine.expire()
        report = machine.report()
        await self._answer(machine)
        return report

    async def _arrive(self, worker: WorkerEntry) -> MemoryMachine:
        await self.clock.sleep(DELAY)
        machine = self.machines.get(worker.id)
        if machine is None or machine.is_cut:
            await self._give_up()
        assert machine is not None
        return machine

    async def _answer(self, machine: MemoryMachine) -> None:
        await self.clock.sleep(DELAY)
        if machine.is_cut:
            await self._give_up()

    async def _give_up(self) -> None:
        await self.clock.sleep(GIVE_UP)
        raise WorkerTimeoutError("no answer")


def _gang_of(task: TaskName, number: int) -> tuple[str, int]:
    return f"{task.job}.{task.occurrence}.{task.step}", number


def _fire(waiting: Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)
