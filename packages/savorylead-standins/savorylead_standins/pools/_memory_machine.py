"""In-memory stand-in of one worker: its lease, fencing token and runs."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

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
    WorkerEntry,
    WorkerReport,
)
from savorylead.resources import Resources

if TYPE_CHECKING:
    from ._memory_workers import MemoryWorkers

#: Time between a stop order and the end of the run.
STOP_DELAY = timedelta(milliseconds=100)
#: Time that a member of a gang waits for the other members.
GANG_TIMEOUT = timedelta(seconds=3)
#: Maximum lease of a worker.
MAX_LEASE_MS = 6_000
#: Fraction by which every worker's clock runs slow; the largest allowed drift.
CLOCK_DRIFT = 0.02
_MS = timedelta(milliseconds=1)


class _Active:
    def __init__(self, order: RunOrder, began_at: datetime, cores: Resources) -> None:
        self.order = order
        self.began_at = began_at
        self.resources = cores
        self.timer: Any = None
        #: When work began; None while a gang member waits for the others.
        self.works_since: datetime | None = None


class MemoryMachine:
    """One worker: its incarnation, its lease and its runs."""

    def __init__(self, entry: WorkerEntry, owner: MemoryWorkers) -> None:
        self.entry = entry
        self._owner = owner
        self._clock = owner.clock
        self._began_at = self._clock.now()
        #: The reading of its clock when the incarnation began, in milliseconds.
        self.clock_began_at_ms = 1_000
        self.fence = 0
        self.deadline_ms = 0
        self.active: dict[tuple[str, int], _Active] = {}
        self.ended: list[EndedRun] = []
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._waiting: list[Deferred[None]] = []
        #: While True, the worker receives no calls and its responses are lost.
        self.is_cut = False
        self._returned_at = owner.long_ago
        #: While True, it has crashed and not returned; what arrives is lost.
        self.is_down = False
        #: While True, another worker answers at its address.
        self.is_replaced = False
        #: Number of next starts that take effect but whose response is lost.
        self.lost_starts = 0
        #: Number of next starts that time out and are executed after ``late_by``.
        self.late_starts = 0
        self.late_by = timedelta(seconds=3)

    def clock_ms(self) -> int:
        """Return the time of the worker's own clock, in milliseconds."""
        elapsed = (self._clock.now() - self._began_at) / _MS
        return self.clock_began_at_ms + int(elapsed * (1 - CLOCK_DRIFT))

    def crash(self) -> None:
        """Restart under the same id with a new incarnation; all state is lost."""
        self._owner.note_lost_ends(self)
        for run in self.active.values():
            run.timer.cancel()
        incarnation_start_ms = self.entry.incarnation_start_ms + 1
        self.__init__(
            self.entry._replace(incarnation_start_ms=incarnation_start_ms), self._owner
        )

    def crash_and_return(self, down_for: timedelta, is_new_worker: bool) -> None:
        """Crash, be unreachable for ``down_for``, and return without any run.

        Then either another incarnation answers under the same id, or a worker with
        another id at the same address.
        """
        self._owner.crashed(self)
        waiting = self._waiting
        self.crash()
        self.is_cut = self.is_down = True
        if self._owner.refuses_when_down:
            self._fire(waiting)
        self._clock.call_later(down_for, self._return, is_new_worker)

    def _return(self, is_new_worker: bool) -> None:
        self.is_cut = self.is_down = False
        self._returned_at = self._clock.now()
        self.is_replaced = is_new_worker
        self._owner.returned(self)

    def expire(self) -> None:
        """End all runs if the lease has expired."""
        if self.active and self.clock_ms() >= self.deadline_ms:
            for key in list(self.active):
                self._end(key, RunEnd.LAPSED)

    def expired_for(self) -> timedelta:
        """Return how long ago the lease expired; negative while it is valid."""
        return (self.clock_ms() - self.deadline_ms) * _MS / (1 - CLOCK_DRIFT)

    def check_fence(self, fence: int) -> None:
        """Raise StaleFenceError if a higher fencing token was seen before."""
        if fence < self.fence:
            raise StaleFenceError
        self.fence = fence

    def start_late(self, order: RunOrder, fence: int) -> None:
        """Execute a start order that got no answer, unless it arrives nowhere."""
        is_new = self._clock.now() - self._returned_at < (
            self._owner.refuses_late_starts_for
        )
        if not self.is_down and not self.is_replaced and not is_new:
            self.start(order, fence)

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
        self._owner.crash_if_due(self, order)
        return RunStarted(clock_ms)

    def _rejection(self, order: RunOrder) -> StartRejection | None:
        owner = self._owner
        if order.number <= self._highest.get(str(order.task), 0):
            # A start of a run that has already ended still extends the lease.
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
        """Begin the work of a run; a gang member has waited for the others."""
        run = self.active[key]
        if run.timer is not None:
            run.timer.cancel()
        run.works_since = self._clock.now()
        length = self._owner.duration_of(run.order.task)
        run.timer = self._clock.call_later(length, self._finish, key)

    def break_off(self, key: tuple[str, int]) -> None:
        """End a run, if active, because another member of its gang ended."""
        self._end(key, RunEnd.BROKEN)

    def stop(self, task: TaskName, number: int, fence: int) -> None:
        """Execute a stop order."""
        self.check_fence(fence)
        self.expire()
        highest = self._highest.get(str(task), 0)
        self._highest[str(task)] = max(highest, number)
        key = (str(task), number)
        if key in self.active:
            self._clock.call_later(STOP_DELAY, self._end, key, RunEnd.STOPPED)

    def renew_and_report(
        self, fence: int, released: int, deadline_ms: int | None
    ) -> WorkerReport | None:
        """Renew the lease; return the report, or None if there are no ended runs."""
        self.check_fence(fence)
        self.expire()
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self.ended = [e for e in self.ended if e.sequence > released]
        return self.report() if self.ended else None

    def report(self) -> WorkerReport:
        """Return the active runs and the ended runs not yet released."""
        active = tuple(
            ActiveRun(r.order.task, r.order.number, "", self._percent(r), 0)
            for r in self.active.values()
        )
        return WorkerReport(
            self.clock_ms(),
            self.entry.incarnation_start_ms,
            active,
            tuple(self.ended),
            False,
        )

    def _percent(self, run: _Active) -> int:
        """Return the progress of a run in percent."""
        if run.works_since is None:
            return 0
        if self._owner.is_long_running(run.order.task):
            return 100
        length = self._owner.duration_of(run.order.task)
        return min(99, int(100 * (self._clock.now() - run.works_since) / length))

    def end_is_void(self, name: str) -> bool:
        """Return whether the lease expired before the end of a task was released.

        Such an end counts as unrecorded, so the task may run again.
        """
        unreleased = any(str(ended.task) == name for ended in self.ended)
        return unreleased and self.clock_ms() >= self.deadline_ms

    def next_end(self) -> Deferred[None]:
        """Return a Deferred that fires when the next run ends."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        return waiting

    def held(self) -> Resources:
        """Return the total resources of the active runs."""
        total = Resources()
        for run in self.active.values():
            total = total.plus(run.resources)
        return total

    def _extend(self, deadline_ms: int) -> None:
        bounded = min(deadline_ms, self.clock_ms() + MAX_LEASE_MS)
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
        self._fire(waiting)

    @staticmethod
    def _fire(waiting: list[Deferred[None]]) -> None:
        for each in waiting:
            if not each.called:
                each.callback(None)
