"""A short, steady day of a small cell: every kind of work and of change."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from savorylead.config import CellDocument
from savorylead.contracts import TaskId
from savorylead_daemon.services import TaskDocument
from savorylead_standins.cell import CellShape, key_of
from savorylead_standins.checkers import Departure

from ._faulty_cell import CallerSight, FaultyCell
from ._operator import RecordingOperator, add_key
from ._recording_caller import RecordingCaller, Request

#: Three domains of two workers; only the first has accelerators, so that tasks
#: that want one and are homed elsewhere must overflow.
SHAPE = CellShape(
    teams=("dispatch", "planning", "probes"), limit_cores=8, accelerated=("dom1",)
)
#: For how long work is submitted, in seconds.
WORK_S = 24
#: When the services are cancelled, in seconds from the beginning.
SERVICES_END_S = 28
#: A key that is granted during the run and withdrawn again.
SPARE_KEY = "spare.secret"
#: The worker that leaves.
LEAVING_WORKER = "dom2-w1"
#: How many operators race each other, and how often each changes something.
RACERS = 3
CHANGES_PER_RACER = 2


class Scenario:
    """Drives the work and the changes of one run."""

    def __init__(self, cell: FaultyCell) -> None:
        self._cell = cell
        rng = random.Random(cell.rng.getrandbits(64))
        self.callers = RecordingCaller(cell, rng)
        self.operator = RecordingOperator(cell, rng)
        #: Everything that was submitted, by id.
        self.requests: dict[TaskId, Request] = {}
        #: The daemon that is stopped as planned and started again.
        self._stopped = ""
        cell.cancel_all = self._cancel_all
        cell.race_operators = self._race_operators
        for worker in cell.workers.values():
            worker.refuses_when_leaving = False

    def begin(self) -> None:
        """Schedule everything."""
        self.operator.begin()
        for second in range(WORK_S):
            self._at(second, lambda second=second: self._work(second))
        self._at(SERVICES_END_S, self._end_services)
        self._at(3, lambda: self.operator.change(_grant_spare_key))
        self._at(6, lambda: self.operator.change(_set_preset_peak))
        self._at(9, lambda: self.operator.withdraw("planning", SPARE_KEY))
        self._at(11, self._leave_worker)
        self._at(13, lambda: self.operator.change(_lower_limit))
        self._at(16, self._stop_daemon)
        self._at(24, self._start_daemon)

    def submit(self, team: str, name: str, key: str = "", **fields: Any) -> None:
        """Submit one task; its answer names it."""
        run_ms = fields.pop("run_ms")
        payload = {"run_ms": run_ms, "answer": f"answer of {name}"}
        task = TaskDocument(
            request=name,
            workspace="main",
            queue="day",
            kind=fields.pop("kind", "batch"),
            resources={"cores": 1, "memory_mb": 500, **fields.pop("resources", {})},
            run_time_s=(run_ms or 0) / 1000,
            payload=msgspec.json.encode(payload).decode(),
            **fields,
        )
        task_id = TaskId(team, "main", name)
        request = Request(task, key or key_of(team), key_of(team), task_id)
        self.requests[task_id] = request
        self.callers.submit(request)

    def _work(self, second: int) -> None:
        """Submit what is due each second."""
        self.submit(
            "dispatch",
            f"urgent-{second}",
            kind="batch",
            urgent=True,
            repeatable=False,
            run_ms=400,
        )
        self.submit("dispatch", f"batch-{second}", run_ms=4_500)
        self.submit("planning", f"route-{second}", run_ms=3_500)
        self.submit("planning", f"once-{second}", repeatable=False, run_ms=1_500)
        self.submit("planning", f"spare-{second}", SPARE_KEY, run_ms=300)
        if second % 3 == 0:
            wants = {"accelerators": 1}
            self.submit("dispatch", f"image-{second}", run_ms=2_000, resources=wants)
        if second % 6 == 1:
            self.submit(
                "planning",
                f"gang-{second}",
                kind="all_at_once",
                members=2,
                run_ms=2_000,
            )
        if second in (0, 12):
            self.submit("dispatch", f"service-{second}", kind="service", run_ms=None)

    def _end_services(self) -> None:
        for request in self.requests.values():
            if request.task["kind"] == "service":
                self.callers.cancel(request)

    def _cancel_all(self) -> None:
        for request in list(self.callers.open.values()):
            self.callers.cancel(request)

    def _leave_worker(self) -> None:
        self._cell.leave_worker(LEAVING_WORKER)
        self._cell.workers[LEAVING_WORKER].accepting = False
        departure = Departure(LEAVING_WORKER, self._cell.now_ms())
        self._cell.history.departures.append(departure)

    def _stop_daemon(self) -> None:
        """Stop a daemon that leads something, if one does."""
        leads = [name for names in self._cell.leads().values() for name in names]
        running = sorted(r.process.name for r in self._cell.ready_daemons())
        candidates = [name for name in running if name in leads] or running
        if candidates:
            self._stopped = candidates[0]
            self._cell.shut_down(self._stopped)
            self._cell.see(CallerSight("shutdown", self._stopped))

    def _start_daemon(self) -> None:
        if self._stopped and self._stopped not in self._cell.daemons:
            self._cell.start_daemon(self._stopped)

    def _race_operators(self) -> None:
        for racer in range(RACERS):
            for change in range(CHANGES_PER_RACER):
                name = f"race-{racer}-{change}"
                delay = timedelta(milliseconds=20 * change)
                self._cell.clock.call_later(
                    delay, self.operator.change, _open_queue(name)
                )

    def _at(self, second: float, act: Callable[[], None]) -> None:
        self._cell.clock.call_later(timedelta(seconds=second), act)


def _grant_spare_key(document: CellDocument) -> None:
    add_key(document, "planning", SPARE_KEY)


def _set_preset_peak(document: CellDocument) -> None:
    document["preset"] = "peak"


def _lower_limit(document: CellDocument) -> None:
    document["teams"]["planning"]["limit"]["cores"] = 5


def _open_queue(name: str) -> Callable[[CellDocument], None]:
    def change(document: CellDocument) -> None:
        queue = {"open": True, "teams": [], "max_waiting": 100}
        document["queues"].setdefault(name, queue)

    return change
