"""A short workload on a small cell with every kind of work and of change."""

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

from ._faulty_cell import CallerObservation, FaultyCell
from ._operator import RecordingOperator, add_key
from ._recording_caller import RecordingCaller, Request

#: Three domains with two workers each. Only the first has accelerators, so tasks that
#: need one and have their home elsewhere must overflow.
SHAPE = CellShape(
    teams=("dispatch", "planning", "probes"), limit_cores=8, accelerated=("dom1",)
)
#: Seconds during which work is submitted.
WORK_S = 24
#: Seconds from the beginning until the services are cancelled.
SERVICES_END_S = 28
#: A key that is granted and withdrawn during the run.
SPARE_KEY = "spare.secret"
#: The worker whose VM leaves during the run.
LEAVING_WORKER = "dom2-w1"
#: Number of concurrent operators, and of changes that each of them makes.
CONCURRENT_OPERATORS = 3
CHANGES_PER_OPERATOR = 2


class Scenario:
    """Submits the work and makes the changes of one run."""

    def __init__(self, cell: FaultyCell) -> None:
        self._cell = cell
        rng = random.Random(cell.rng.getrandbits(64))
        self.callers = RecordingCaller(cell, rng)
        self.operator = RecordingOperator(cell, rng)
        #: All submitted requests by task id.
        self.requests: dict[TaskId, Request] = {}
        #: The daemon that is shut down and restarted.
        self._stopped = ""
        cell.cancel_all = self._cancel_all
        cell.race_operators = self._race_operators
        for worker in cell.workers.values():
            worker.refuses_when_leaving = False

    def begin(self) -> None:
        """Schedule all submissions and changes."""
        self.operator.begin()
        for second in range(WORK_S):
            self._at(second, lambda second=second: self._work(second))
        self._at(SERVICES_END_S, self._end_services)
        self._at(3, lambda: self.operator.change(_grant_spare_key))
        self._at(6, lambda: self.operator.change(_set_preset_peak))
        self._at(9, lambda: self.operator.withdraw("planning", SPARE_KEY))
        self._at(11, self._start_worker_departure)
        self._at(13, lambda: self.operator.change(_lower_limit))
        self._at(16, self._stop_daemon)
        self._at(24, self._start_daemon)

    def submit(self, team: str, name: str, key: str = "", **fields: Any) -> None:
        """Submit one task, whose answer contains its name."""
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
        """Submit the tasks that are due in the given second."""
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

    def _start_worker_departure(self) -> None:
        self._cell.leave_worker(LEAVING_WORKER)
        self._cell.workers[LEAVING_WORKER].accepting = False
        departure = Departure(LEAVING_WORKER, self._cell.now_ms())
        self._cell.history.departures.append(departure)

    def _stop_daemon(self) -> None:
        """Shut down a ready daemon, preferably one that leads a shard."""
        leads = [name for names in self._cell.leads().values() for name in names]
        running = sorted(r.process.name for r in self._cell.ready_daemons())
        candidates = [name for name in running if name in leads] or running
        if candidates:
            self._stopped = candidates[0]
            self._cell.shut_down(self._stopped)
            self._cell.notify_watchers(CallerObservation("shutdown", self._stopped))

    def _start_daemon(self) -> None:
        if self._stopped and self._stopped not in self._cell.daemons:
            self._cell.start_daemon(self._stopped)

    def _race_operators(self) -> None:
        for racer in range(CONCURRENT_OPERATORS):
            for change in range(CHANGES_PER_OPERATOR):
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
