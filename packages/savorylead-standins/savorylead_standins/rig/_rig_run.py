"""Lets faults befall a whole cell of real processes in turn, and checks each."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from savorylead.clock import to_millis
from savorylead_standins.checkers import check_all

from ._observer import CellObserver
from ._real_cell import RealCell
from ._rig_report import RigReport, StepResult
from ._savoryctl import Savoryctl
from ._steady_load import LoadStream, batch_draft, service_draft, urgent_draft
from ._steps import (
    ApplyConfiguration,
    CrashVm,
    KillDaemon,
    LeaveVm,
    PauseDaemon,
    RefuseStoreCalls,
    Step,
    StepParts,
    StopDaemon,
    WithdrawKey,
)
from ._task_drafts import TaskDrafts, WorkPlace

#: Everything ends after this long, whatever happens.
RUN_LIMIT_S = 230.0
#: Time at the end of the run in which no more is waited for.
REPORT_S = 10.0
DAEMONS = 6
SERVICES = 12
#: Cores of the team of the batch work while its load asks for more.
LOW_LIMIT_CORES = 24
URGENT_INTERVAL = timedelta(milliseconds=100)
BATCH_INTERVAL = timedelta(milliseconds=500)
URGENT_TASKS_PER_CALL = 2
BATCH_TASKS_PER_CALL = 6
ANSWER_WAIT = timedelta(seconds=1)
#: Load before the first fault.
WARM_UP = timedelta(seconds=3)


class RigRun:
    """One run, from the start of the platform to the report."""

    def __init__(self, reactor: Any, example: Path, seed: int) -> None:
        self._cell = RealCell(reactor, example, seed, RUN_LIMIT_S)
        self._observer = CellObserver(self._cell)
        self._drafts = TaskDrafts()
        self._places = {
            name: WorkPlace(**place)
            for name, place in self._cell.example["demo"]["load"].items()
        }
        self._parts = StepParts(
            self._cell,
            self._observer,
            Savoryctl(reactor, self._cell),
            self._drafts,
            self._places["batch"],
            self._places["services"],
        )
        teams = self._cell.example["cell"]["teams"]
        limit = teams[self._places["batch"].team]["limit"]
        self._full_limit = dict(limit)
        limit["cores"] = LOW_LIMIT_CORES
        self._results: list[StepResult] = []
        self._seen: set[tuple[str, str]] = set()

    async def run(self) -> RigReport:
        """Return the report; raises what a step or the start raised."""
        try:
            await self._cell.start(DAEMONS)
            self._observer.begin()
            reading = Deferred.fromCoroutine(self._observer.read_answers())
            streams = self._begin_load()
            await self._cell.clock.sleep(WARM_UP)
            for step in self._steps():
                await self._take(step)
            for stream in streams:
                await stream.stop()
            await self._finish()
            self._observer.close()
            await reading
            return await self._report(streams)
        finally:
            self._observer.close()
            await self._cell.close()

    def _steps(self) -> list[Step]:
        parts = self._parts
        return [
            KillDaemon(parts),
            PauseDaemon(parts),
            StopDaemon(parts),
            RefuseStoreCalls(parts),
            CrashVm(parts),
            LeaveVm(parts),
            WithdrawKey(parts),
            ApplyConfiguration(parts, self._full_limit),
        ]

    def _begin_load(self) -> list[LoadStream]:
        urgent = self._stream("urgent", urgent_draft)
        batch = self._stream("batch", batch_draft)
        services = self._stream("services", service_draft)
        services.submit(SERVICES)
        urgent.run_every(URGENT_INTERVAL, URGENT_TASKS_PER_CALL)
        batch.run_every(BATCH_INTERVAL, BATCH_TASKS_PER_CALL)
        return [urgent, batch, services]

    def _stream(self, name: str, draft: Any) -> LoadStream:
        place = self._places[name]
        cell = self._cell
        key, caller = cell.keys[place.team], cell.callers[place.team]
        return LoadStream(cell, self._drafts, name, place, draft, key, caller)

    async def _take(self, step: Step) -> None:
        began_ms = to_millis(self._cell.clock.now())
        await step.run()
        ended_ms = to_millis(self._cell.clock.now())
        history = await self._observer.history(settled=False)
        found = [v for v in check_all(history) if v not in self._seen]
        self._seen.update(found)
        self._results.append(StepResult(step.name, began_ms, ended_ms, tuple(found)))

    async def _finish(self) -> None:
        """Cancel the services, and wait for every outcome until the time is up."""
        cell, place = self._cell, self._places["services"]
        unanswered = cell.recorder.unanswered()
        services = [t.request for t in unanswered if t.request.startswith("services")]
        await cell.callers[place.team].cancel(place.workspace, services)
        cell.note(f"load ends; {len(services)} services cancelled")
        while cell.recorder.unanswered() and not self._is_late():
            await cell.read_answers(cell.recorder.unanswered(), ANSWER_WAIT)
        cell.note(f"{len(cell.recorder.unanswered())} tasks without an outcome")

    async def _report(self, streams: list[LoadStream]) -> RigReport:
        if self._observer.error is not None:
            self._observer.error.raiseException()
        failures = sum((s.failures for s in streams), start=self._observer.failures)
        history = await self._observer.history(settled=True)
        calls = await self._cell.store_calls()
        return RigReport(history, calls, self._cell.events, self._results, failures)

    def _is_late(self) -> bool:
        return self._cell.elapsed_s() > RUN_LIMIT_S - REPORT_S
