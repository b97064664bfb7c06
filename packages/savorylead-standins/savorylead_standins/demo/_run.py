"""Runs a short day of an example on real processes, with two planned mishaps."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from savorylead_standins.rig import RealCell, RunReport, WorkPlace

from ._workload import DAY_S, Arrival, Day

#: Everything ends after this long, whatever happens.
RUN_LIMIT_S = 58.0
#: When one daemon is killed, and when another is stopped.
KILL_AT_S = 10.0
STOP_AT_S = 17.0
#: Services are cancelled so long after the day's end.
SERVICES_END_S = 1.0
DAEMONS = 3
ANSWER_WAIT = timedelta(seconds=2)


class DemoRun:
    """One day, from the start of the platform to the report."""

    def __init__(self, reactor: Any, example: Path, seed: int) -> None:
        self._cell = RealCell(reactor, example, seed, RUN_LIMIT_S)
        self._open_calls: list[Deferred[None]] = []

    async def run(self) -> RunReport:
        """Return the report of the day; raises ChildError or CallFailedError."""
        cell = self._cell
        try:
            await cell.start(DAEMONS)
            await self._live_through_day()
            await self._collect_answers()
            return RunReport(
                await cell.history(), await cell.store_calls(), cell.events
            )
        finally:
            await cell.close()

    async def _live_through_day(self) -> None:
        clock = self._cell.clock
        places = {
            name: WorkPlace(**place)
            for name, place in self._cell.example["demo"]["load"].items()
        }
        arrivals = Day(places, self._cell.rng).arrivals()
        began = clock.now()
        clock.call_later(timedelta(seconds=KILL_AT_S), self._kill_one)
        clock.call_later(timedelta(seconds=STOP_AT_S), self._stop_one)
        for arrival in arrivals:
            due = began + timedelta(seconds=arrival.at_s)
            await clock.sleep(max(due - clock.now(), timedelta(0)))
            self._open_calls.append(Deferred.fromCoroutine(self._submit(arrival)))
        ends = began + timedelta(seconds=DAY_S + SERVICES_END_S)
        await clock.sleep(max(ends - clock.now(), timedelta(0)))
        results = await DeferredList(self._open_calls, consumeErrors=True)
        for succeeded, result in results:
            if not succeeded:
                result.raiseException()
        await self._cancel_services(places["services"])

    async def _submit(self, arrival: Arrival) -> None:
        cell, team = self._cell, arrival.team
        await cell.submit(team, arrival.tasks, cell.callers[team], cell.keys[team])

    async def _cancel_services(self, place: WorkPlace) -> None:
        services = [
            task.request
            for task in self._cell.recorder.unanswered()
            if task.workspace == place.workspace and task.request.startswith("services")
        ]
        await self._cell.callers[place.team].cancel(place.workspace, services)
        self._cell.note(f"{len(services)} services cancelled at the end of the day")

    async def _collect_answers(self) -> None:
        """Wait for the outcome of every accepted task, until the time is up."""
        recorder = self._cell.recorder
        while recorder.unanswered() and not self._is_late():
            await self._cell.read_answers(recorder.unanswered(), ANSWER_WAIT)

    def _kill_one(self) -> None:
        daemons = self._cell.processes.daemons
        name = sorted(daemons)[0]
        daemons[name].signal("KILL")
        self._cell.note(f"{name} killed with SIGKILL")

    def _stop_one(self) -> None:
        daemons = self._cell.processes.daemons
        name = sorted(daemons)[1]
        child = daemons[name]
        child.signal("TERM")
        child.ended.addCallback(
            lambda code: self._cell.note(f"{name} stopped by SIGTERM, exit code {code}")
        )
        self._cell.note(f"{name} told to stop with SIGTERM")

    def _is_late(self) -> bool:
        return self._cell.elapsed_s() > RUN_LIMIT_S - 5
