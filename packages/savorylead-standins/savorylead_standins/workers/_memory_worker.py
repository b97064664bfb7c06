"""The platform's workers in memory: they run attempts under leases."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

import msgspec

from savorylead.clock import Clock, Timer, to_millis
from savorylead.contracts import TaskId
from savorylead.resources import ZERO, Resources
from savorylead.workers import (
    Declined,
    Inventory,
    RunReport,
    RunState,
    StaleEpoch,
    StartAccepted,
    StartOrder,
    StartRefused,
    Worker,
    WrongIncarnation,
)


class Execution(NamedTuple):
    """One span during which an attempt really ran; checkers read these."""

    task: TaskId
    attempt: int
    worker: str
    resources: Resources
    started_at_ms: int
    #: 0 while it runs.
    ended_at_ms: int
    state: RunState


class _PayloadDocument(msgspec.Struct):
    """What the stand-in reads from a payload; other fields are left alone."""

    #: How long the attempt runs; None runs until it is stopped.
    run_ms: int | None = 100
    #: Whether the attempt fails at its end.
    fail: bool = False
    #: The answer of a successful run.
    answer: str = "ok"


@dataclass
class _Run:
    """One attempt on the worker."""

    order: StartOrder
    started_at_ms: int
    state: RunState = RunState.RUNNING
    result: str = ""
    ended_at_ms: int = 0
    finish_timer: Timer | None = None


class MemoryWorker:
    """One worker. It keeps every execution, for checkers, beyond its own restarts."""

    def __init__(self, worker: Worker, clock: Clock, rng: random.Random) -> None:
        self.worker = worker
        #: Every span that ran here since the beginning.
        self.executions: list[Execution] = []
        #: Starts that were refused for want of capacity; the daemons should not
        #: cause any, since they hold capacity until an end is confirmed.
        self.over_capacity_refusals = 0
        #: Fails whatever it starts while True.
        self.broken = False
        #: False once the VM leaves.
        self.accepting = True
        #: Whether it refuses starts once it leaves; otherwise only its reports tell.
        self.refuses_when_leaving = True
        #: Starts that took effect, by task.
        self.starts: Counter[TaskId] = Counter()
        self._clock = clock
        self._rng = rng
        self._epoch = 0
        self._incarnation = self._new_incarnation()
        self._lease_timer: Timer | None = None
        self._runs: dict[tuple[TaskId, int], _Run] = {}
        self._held = ZERO
        self._never_start: set[tuple[TaskId, int]] = set()

    def start(
        self, epoch: int, incarnation: str, orders: Sequence[StartOrder]
    ) -> list[StartAccepted | StartRefused] | Declined:
        """Start attempts that are not known yet."""
        declined = self._decline(epoch, incarnation)
        if declined is not None:
            return declined
        return [self._start_one(order) for order in orders]

    def renew(self, epoch: int, lease: timedelta) -> Inventory | StaleEpoch:
        """Renew all running attempts and report."""
        if epoch < self._epoch:
            return StaleEpoch(self._epoch)
        self._epoch = epoch
        if lease > timedelta(0):
            self._set_lease(lease)
        return self.inventory()

    def stop(
        self, epoch: int, incarnation: str, attempts: Sequence[tuple[TaskId, int]]
    ) -> list[RunReport] | Declined:
        """Stop attempts."""
        return self._end_each(epoch, incarnation, attempts, RunState.STOPPED)

    def checkpoint(
        self, epoch: int, incarnation: str, attempts: Sequence[tuple[TaskId, int]]
    ) -> list[RunReport] | Declined:
        """Save progress and stop."""
        return self._end_each(epoch, incarnation, attempts, RunState.CHECKPOINTED)

    def throttle(
        self,
        epoch: int,
        incarnation: str,
        caps: Sequence[tuple[TaskId, int, Resources]],
    ) -> list[RunReport] | Declined:
        """Cap what attempts may use; the stand-in only reports them."""
        declined = self._decline(epoch, incarnation)
        if declined is not None:
            return declined
        keys = [(task, attempt) for task, attempt, _ in caps]
        return [self._report(self._runs[key]) for key in keys if key in self._runs]

    def release(
        self, epoch: int, incarnation: str, attempts: Sequence[tuple[TaskId, int]]
    ) -> None | Declined:
        """Forget ended attempts."""
        declined = self._decline(epoch, incarnation)
        if declined is not None:
            return declined
        for task, attempt in attempts:
            run = self._runs.get((task, attempt))
            if run is not None and run.state is not RunState.RUNNING:
                del self._runs[task, attempt]
                self._never_start.add((task, attempt))
        return None

    def inventory(self) -> Inventory:
        """Report every attempt known."""
        reports = tuple(self._report(run) for run in self._runs.values())
        return Inventory(self._incarnation, self.accepting, reports)

    def crash(self) -> None:
        """Lose everything, as a VM that dies; executions stay for checkers."""
        if self._lease_timer is not None:
            self._lease_timer.cancel()
            self._lease_timer = None
        self._stop_all()
        self._runs.clear()
        self._never_start.clear()
        self._epoch = 0
        self._incarnation = self._new_incarnation()

    def held(self) -> Resources:
        """Return what running attempts hold."""
        return self._held

    def _new_incarnation(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _decline(self, epoch: int, incarnation: str) -> Declined | None:
        if incarnation != self._incarnation:
            return WrongIncarnation(self._incarnation)
        if epoch < self._epoch:
            return StaleEpoch(self._epoch)
        self._epoch = epoch
        return None

    def _start_one(self, order: StartOrder) -> StartAccepted | StartRefused:
        key = (order.task, order.attempt)
        if key in self._runs:
            return StartAccepted(order.task)
        if key in self._never_start:
            return StartRefused(order.task, "stopped before its start")
        if self._lease_timer is None:
            return StartRefused(order.task, "no lease")
        if not self.accepting and self.refuses_when_leaving:
            return StartRefused(order.task, "leaving")
        if not order.resources.fits(self.worker.capacity.minus(self.held())):
            self.over_capacity_refusals += 1
            return StartRefused(order.task, "capacity")
        self.starts[order.task] += 1
        run = _Run(order, to_millis(self._clock.now()))
        self._runs[key] = run
        self._held = self._held.plus(order.resources)
        self._schedule_finish(run)
        return StartAccepted(order.task)

    def _schedule_finish(self, run: _Run) -> None:
        payload = _read_payload(run.order.payload)
        failing = payload.fail or self.broken
        state = RunState.FAILED if failing else RunState.DONE
        result = "failed" if failing else payload.answer
        run_ms = 0 if self.broken else payload.run_ms
        if run_ms is None:
            return
        delay = timedelta(milliseconds=run_ms)
        run.finish_timer = self._clock.call_later(delay, self._end, run, state, result)

    def _set_lease(self, lease: timedelta) -> None:
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self._lease_timer = self._clock.call_later(lease, self._lapse)

    def _lapse(self) -> None:
        """Stop everything and refuse orders that were given before."""
        self._lease_timer = None
        self._stop_all()
        self._incarnation = self._new_incarnation()

    def _stop_all(self) -> None:
        for run in list(self._runs.values()):
            self._end(run, RunState.STOPPED, "")

    def _end_each(
        self,
        epoch: int,
        incarnation: str,
        attempts: Sequence[tuple[TaskId, int]],
        state: RunState,
    ) -> list[RunReport] | Declined:
        declined = self._decline(epoch, incarnation)
        if declined is not None:
            return declined
        reports = []
        for key in attempts:
            run = self._runs.get(key)
            if run is None:
                self._never_start.add(key)
                reports.append(RunReport(*key, RunState.NEVER_STARTED))
                continue
            self._end(run, state, "")
            reports.append(self._report(run))
        return reports

    def _end(self, run: _Run, state: RunState, result: str) -> None:
        if run.state is not RunState.RUNNING:
            return
        if run.finish_timer is not None:
            run.finish_timer.cancel()
        self._held = self._held.minus(run.order.resources)
        run.state = state
        run.result = result
        run.ended_at_ms = to_millis(self._clock.now())
        self.executions.append(self._execution(run))

    def running(self) -> list[Execution]:
        """Return the spans that run now."""
        return [
            self._execution(run)
            for run in self._runs.values()
            if run.state is RunState.RUNNING
        ]

    def _execution(self, run: _Run) -> Execution:
        return Execution(
            run.order.task,
            run.order.attempt,
            self.worker.name,
            run.order.resources,
            run.started_at_ms,
            run.ended_at_ms,
            run.state,
        )

    def _report(self, run: _Run) -> RunReport:
        until_ms = run.ended_at_ms or to_millis(self._clock.now())
        digest = ""
        if run.state in (RunState.DONE, RunState.FAILED):
            digest = hashlib.sha256(run.result.encode()).hexdigest()
        return RunReport(
            task=run.order.task,
            attempt=run.order.attempt,
            state=run.state,
            result=run.result,
            digest=digest,
            used=run.order.resources,
            ran_ms=until_ms - run.started_at_ms,
        )


def _read_payload(payload: str) -> _PayloadDocument:
    try:
        return msgspec.json.decode(payload or "{}", type=_PayloadDocument)
    except msgspec.DecodeError:
        return _PayloadDocument()
