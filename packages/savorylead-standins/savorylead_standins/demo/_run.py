"""Runs a short day of an example on real processes, with two planned mishaps."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from savorylead.clock import TwistedClock, to_millis
from savorylead.config import ConfigEditor
from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.workers import RunState
from savorylead_daemon.http import HttpLinks, HttpStore
from savorylead_standins.checkers import RunHistory
from savorylead_standins.rig import (
    HOST,
    CallRecorder,
    CellProcesses,
    HttpCaller,
)
from savorylead_standins.workers import Execution

from ._report import DayReport
from ._workload import DAY_S, Arrival, Day, WorkPlace

#: Everything ends after this long, whatever happens.
RUN_LIMIT_S = 58.0
#: When one daemon is killed, and when another is stopped.
KILL_AT_S = 10.0
STOP_AT_S = 17.0
#: Services are cancelled so long after the day's end.
SERVICES_END_S = 1.0
DAEMONS = 3
READY_POLL = timedelta(milliseconds=200)
ANSWER_WAIT = timedelta(seconds=2)
#: Requests that one call waits for.
ANSWERS_PER_CALL = 200


class DemoRun:
    """One day, from the start of the platform to the report."""

    def __init__(self, reactor: Any, example: Path, seed: int) -> None:
        self._reactor = reactor
        self._example = json.loads(example.read_text())
        self._clock = TwistedClock.starting_now(reactor)
        self._rng = random.Random(seed)
        self._cell = CellProcesses(reactor, example, RUN_LIMIT_S)
        self._recorder = CallRecorder(self._clock)
        self._callers: dict[str, HttpCaller] = {}
        self._keys: dict[str, str] = self._example["demo"]["keys"]
        self._events: list[str] = []
        self._began = time.monotonic()
        self._open_calls: list[Deferred[None]] = []

    async def run(self) -> DayReport:
        """Return the report of the day; raises ChildError or CallFailedError."""
        try:
            await self._start()
            await self._live_through_day()
            await self._collect_answers()
            return DayReport(
                await self._history(), await self._store_calls(), self._events
            )
        finally:
            for caller in self._callers.values():
                caller.close()
            await self._cell.end_all()

    async def _start(self) -> None:
        await self._cell.start_platform()
        await self._write_configuration()
        domains = list(self._example["cell"]["shards"].values())
        for number in range(DAEMONS):
            place = domains[number % len(domains)]
            name = f"{place['region']}-{number + 1}"
            self._cell.start_daemon(name, place["region"], place["domain"])
        endpoints = {
            name: f"{HOST}:{ports.callers}" for name, ports in self._cell.ports.items()
        }
        for team, key in self._keys.items():
            self._callers[team] = HttpCaller(
                self._reactor, self._clock, self._rng, key, endpoints
            )
        await self._wait_until_ready()
        self._note(f"{DAEMONS} daemons lead {len(domains)} shards")

    async def _write_configuration(self) -> None:
        links = HttpLinks(self._reactor, self._clock, self._rng, {})
        calls = links.open(self._cell.platform_ports["store"])
        watches = links.open(self._cell.platform_ports["store"])
        store = HttpStore(self._clock, self._rng, calls, watches)
        editor = ConfigEditor(store, self._clock, self._rng, lambda revision: None)
        await editor.apply(self._example["cell"], 0, by="demo")
        calls.close()
        watches.close()

    async def _wait_until_ready(self) -> None:
        """Wait until every shard has a lead, as any daemon tells."""
        operator = HttpCaller(
            self._reactor,
            self._clock,
            self._rng,
            self._example["demo"]["operator_key"],
            {
                name: f"{HOST}:{ports.callers}"
                for name, ports in self._cell.ports.items()
            },
        )
        while True:
            answer = await operator.call("GET", "/v1/operators/shards")
            shards = answer["shards"]
            if shards and all(shard["lead"] for shard in shards):
                break
            await self._clock.sleep(READY_POLL)
        operator.close()

    async def _live_through_day(self) -> None:
        places = {
            name: WorkPlace(**place)
            for name, place in self._example["demo"]["load"].items()
        }
        arrivals = Day(places, self._rng).arrivals()
        began = self._clock.now()
        self._clock.call_later(timedelta(seconds=KILL_AT_S), self._kill_one)
        self._clock.call_later(timedelta(seconds=STOP_AT_S), self._stop_one)
        for arrival in arrivals:
            due = began + timedelta(seconds=arrival.at_s)
            await self._clock.sleep(max(due - self._clock.now(), timedelta(0)))
            self._open_calls.append(Deferred.fromCoroutine(self._submit(arrival)))
        ends = began + timedelta(seconds=DAY_S + SERVICES_END_S)
        await self._clock.sleep(max(ends - self._clock.now(), timedelta(0)))
        results = await DeferredList(self._open_calls, consumeErrors=True)
        for succeeded, result in results:
            if not succeeded:
                result.raiseException()
        await self._cancel_services(places["services"])

    async def _submit(self, arrival: Arrival) -> None:
        team = arrival.team
        self._recorder.submitting(team, self._keys[team], arrival.tasks)
        drafts = [
            {k: v for k, v in task.items() if k != "expected_result"}
            for task in arrival.tasks
        ]
        replies = await self._callers[team].submit(drafts)
        for task, reply in zip(arrival.tasks, replies, strict=True):
            name = TaskId(team, task["workspace"], task["request"])
            self._recorder.replied(name, reply)

    async def _cancel_services(self, place: WorkPlace) -> None:
        services = [
            task.request
            for task in self._recorder.unanswered()
            if task.workspace == place.workspace and task.request.startswith("services")
        ]
        await self._callers[place.team].cancel(place.workspace, services)
        self._note(f"{len(services)} services cancelled at the end of the day")

    async def _collect_answers(self) -> None:
        """Wait for the outcome of every accepted task, until the time is up."""
        while self._recorder.unanswered() and not self._is_late():
            groups: dict[tuple[str, str], list[str]] = {}
            for task in self._recorder.unanswered():
                groups.setdefault((task.team, task.workspace), []).append(task.request)
            for (team, workspace), requests in sorted(groups.items()):
                asked = requests[:ANSWERS_PER_CALL]
                views = await self._callers[team].answers(workspace, asked, ANSWER_WAIT)
                for view in views:
                    self._recorder.seen(view)

    def _kill_one(self) -> None:
        name = sorted(self._cell.daemons)[0]
        self._cell.daemons[name].signal("KILL")
        self._note(f"{name} killed with SIGKILL")

    def _stop_one(self) -> None:
        name = sorted(self._cell.daemons)[1]
        child = self._cell.daemons[name]
        child.signal("TERM")
        child.ended.addCallback(
            lambda code: self._note(f"{name} stopped by SIGTERM, exit code {code}")
        )
        self._note(f"{name} told to stop with SIGTERM")

    async def _history(self) -> RunHistory:
        histories = await self._ask_platform("workers", "/admin/executions")
        vms = await self._ask_platform("vm_list", "/vms")
        capacities = {entry[0][0]: Resources(*entry[0][3]) for entry in vms}
        history = RunHistory(capacities)
        history.ended_at_ms = to_millis(self._clock.now())
        history.submissions = list(self._recorder.submissions.values())
        history.answers = self._recorder.answers
        for worker in histories:
            for raw in worker["ended"] + worker["running"]:
                history.executions.append(_read_execution(raw))
            refusals = worker["over_capacity_refusals"]
            history.over_capacity_refusals[worker["worker"]] = refusals
        return history

    async def _store_calls(self) -> Mapping[str, int]:
        return await self._ask_platform("store", "/admin/calls")

    async def _ask_platform(self, part: str, path: str) -> Any:
        endpoint = self._cell.platform_ports[part]
        caller = HttpCaller(
            self._reactor, self._clock, self._rng, "demo", {"platform": endpoint}
        )
        try:
            return await caller.call("GET", path)
        finally:
            caller.close()

    def _is_late(self) -> bool:
        return time.monotonic() - self._began > RUN_LIMIT_S - 5

    def _note(self, event: str) -> None:
        self._events.append(f"{time.monotonic() - self._began:5.1f} s  {event}")


def _read_execution(raw: list[Any]) -> Execution:
    task, attempt, worker, resources, started, ended, state = raw
    return Execution(
        TaskId(*task),
        attempt,
        worker,
        Resources(*resources),
        started,
        ended,
        RunState(state),
    )
