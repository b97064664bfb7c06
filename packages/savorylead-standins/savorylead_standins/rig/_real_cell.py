"""A whole cell of real processes, with callers that note what they were told."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from savorylead.clock import TwistedClock, to_millis
from savorylead.config import ConfigEditor
from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.workers import RunState
from savorylead_daemon.http import HttpLinks, HttpStore
from savorylead_standins.checkers import RunHistory
from savorylead_standins.workers import Execution

from ._http_caller import NO_ANSWER, NOT_READY, CallFailedError, HttpCaller
from ._processes import HOST, CellProcesses, Child, ChildError
from ._recorder import CallRecorder

READY_POLL = timedelta(milliseconds=200)
#: Longest wait for a lead of every shard. A daemon is ready within 15 s, also on a busy
#: machine, and an election follows.
READY_TIMEOUT = timedelta(seconds=30)
#: Requests that one call waits for.
ANSWERS_PER_CALL = 200


class DaemonPlace(NamedTuple):
    """Where one daemon stands."""

    name: str
    region: str
    domain: str


class RealCell:
    """The platform, daemons and callers of an example, on loopback."""

    def __init__(
        self,
        reactor: Any,
        example: Path,
        seed: int,
        run_limit_s: float,
        profiles: Path | None = None,
    ) -> None:
        self.example = json.loads(example.read_text())
        self.clock = TwistedClock.starting_now(reactor)
        self.rng = random.Random(seed)
        self.processes = CellProcesses(reactor, example, run_limit_s, profiles=profiles)
        self.recorder = CallRecorder(self.clock)
        self.keys: dict[str, str] = self.example["demo"]["keys"]
        self.callers: dict[str, HttpCaller] = {}
        self.places: dict[str, DaemonPlace] = {}
        #: What happened, with the time since the start, for a person.
        self.events: list[str] = []
        self._reactor = reactor
        self._began = time.monotonic()

    async def start(self, daemons: int) -> None:
        """Start everything; return once every shard has a lead."""
        await self.processes.start_platform()
        await self._write_configuration()
        shards = list(self.example["cell"]["shards"].values())
        for number in range(daemons):
            shard = shards[number % len(shards)]
            name = f"{shard['region']}-{number + 1}"
            self.places[name] = DaemonPlace(name, shard["region"], shard["domain"])
            self.start_daemon(name)
        for team, key in self.keys.items():
            self.callers[team] = self.open_caller(key)
        await self.wait_until_led()
        self.note(f"{daemons} daemons lead {len(shards)} shards")

    async def close(self) -> None:
        """Close every connection and end every process."""
        for caller in self.callers.values():
            caller.close()
        await self.processes.end_all()

    def start_daemon(self, name: str) -> Child:
        """Start a daemon, or start it again under its name and ports."""
        return self.processes.start_daemon(*self.places[name])

    def endpoints(self) -> dict[str, str]:
        """Return the "IP:port" for callers of each daemon by its name."""
        ports = self.processes.ports
        return {name: f"{HOST}:{port.callers}" for name, port in ports.items()}

    def open_caller(
        self, key: str, endpoints: Mapping[str, str] | None = None
    ) -> HttpCaller:
        """Return a caller; the one who opens it closes it."""
        reached = self.endpoints() if endpoints is None else endpoints
        return HttpCaller(self._reactor, self.clock, self.rng, key, reached)

    def open_operator(self, endpoints: Mapping[str, str] | None = None) -> HttpCaller:
        """Return a caller with the operator's key; the one who opens it closes it."""
        return self.open_caller(self.example["demo"]["operator_key"], endpoints)

    async def wait_until_led(self) -> None:
        """Wait until every shard has a lead, as any daemon tells.

        Raises ChildError if a daemon ends, or if that takes longer than READY_TIMEOUT.
        """
        operator = self.open_operator()
        deadline = self.clock.now() + READY_TIMEOUT
        try:
            while not await self._is_led(operator):
                for daemon in self.processes.daemons.values():
                    daemon.raise_if_ended()
                if self.clock.now() >= deadline:
                    raise ChildError(f"a shard has no lead after {READY_TIMEOUT}")
                await self.clock.sleep(READY_POLL)
        finally:
            operator.close()

    async def _is_led(self, operator: HttpCaller) -> bool:
        try:
            answer = await operator.call(
                "GET", "/v1/operators/shards", give_up_after=READY_POLL
            )
        except CallFailedError as exc:
            if exc.status not in (NO_ANSWER, NOT_READY):
                raise
            return False
        shards = answer["shards"]
        return bool(shards) and all(shard["lead"] for shard in shards)

    async def submit(
        self,
        team: str,
        tasks: Sequence[Mapping[str, Any]],
        caller: HttpCaller,
        key: str,
    ) -> None:
        """Submit tasks and note the replies; raises CallFailedError."""
        self.recorder.submitting(team, key, tasks)
        drafts = [
            {k: v for k, v in task.items() if k != "expected_result"} for task in tasks
        ]
        replies = await caller.submit(drafts)
        for task, reply in zip(tasks, replies, strict=True):
            name = TaskId(team, task["workspace"], task["request"])
            self.recorder.replied(name, reply)

    async def read_answers(self, tasks: Iterable[TaskId], wait: timedelta) -> None:
        """Ask once for the outcomes of tasks, and note those that are there."""
        groups: dict[tuple[str, str], list[str]] = {}
        for task in tasks:
            groups.setdefault((task.team, task.workspace), []).append(task.request)
        for (team, workspace), requests in sorted(groups.items()):
            asked = requests[:ANSWERS_PER_CALL]
            views = await self.callers[team].answers(workspace, asked, wait)
            for view in views:
                self.recorder.seen(view)

    async def history(self) -> RunHistory:
        """Return what workers executed and callers saw so far."""
        histories = await self.ask_platform("workers", "/admin/executions")
        vms = await self.ask_platform("vm_list", "/vms")
        capacities = {entry[0][0]: Resources(*entry[0][3]) for entry in vms}
        history = RunHistory(capacities)
        history.ended_at_ms = self.now_ms()
        history.submissions = list(self.recorder.submissions.values())
        history.answers = list(self.recorder.answers)
        for worker in histories:
            for raw in worker["ended"] + worker["running"]:
                history.executions.append(_read_execution(raw))
            refusals = worker["over_capacity_refusals"]
            history.over_capacity_refusals[worker["worker"]] = refusals
        return history

    async def store_calls(self) -> Mapping[str, int]:
        """Return the calls that the store took so far, by kind."""
        return await self.ask_platform("store", "/admin/calls")

    async def ask_platform(self, part: str, path: str) -> Any:
        """Read from a stand-in; ``part`` is a name in its ports."""
        return await self._call_platform(part, "GET", path, None)

    async def tell_platform(self, part: str, path: str, content: Any) -> None:
        """Change a stand-in, such as its faults."""
        await self._call_platform(part, "POST", path, content)

    def now_ms(self) -> int:
        """Return the time in Unix milliseconds."""
        return to_millis(self.clock.now())

    def elapsed_s(self) -> float:
        """Return the seconds since this object was made."""
        return time.monotonic() - self._began

    def note(self, event: str) -> None:
        """Keep an event with its time."""
        self.events.append(f"{self.elapsed_s():5.1f} s  {event}")

    async def _call_platform(
        self, part: str, method: str, path: str, content: Any
    ) -> Any:
        endpoint = self.processes.platform_ports[part]
        caller = self.open_caller("operator", {"platform": endpoint})
        try:
            return await caller.call(method, path, content)
        finally:
            caller.close()

    async def _write_configuration(self) -> None:
        links = HttpLinks(self._reactor, self.clock, self.rng, {})
        calls = links.open(self.processes.platform_ports["store"])
        watches = links.open(self.processes.platform_ports["store"])
        store = HttpStore(self.clock, self.rng, calls, watches)
        editor = ConfigEditor(store, self.clock, self.rng, lambda revision: None)
        await editor.apply(self.example["cell"], 0, by="operator")
        calls.close()
        watches.close()


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
