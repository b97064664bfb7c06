"""Load on a cell of real processes, and what it costs each process."""

from __future__ import annotations

import os
import re
import time
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, DeferredList

from savorylead_standins.rig import (
    CallFailedError,
    HttpCaller,
    RealCell,
    TaskDrafts,
    WorkPlace,
)

_SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$", re.MULTILINE)
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB = 1024
#: Fields of /proc/PID/stat, counted after the command's name.
_UTIME_FIELD, _STIME_FIELD = 11, 12

#: Values of metrics by name and labels.
Samples = dict[tuple[str, str], float]


class ProcessUse(NamedTuple):
    """What one process has used."""

    cpu_s: float
    memory_mib: float


class Snapshot(NamedTuple):
    """What was used and counted up to one moment."""

    at_s: float
    processes: dict[str, ProcessUse]
    store_calls: dict[str, int]
    metrics: dict[str, Samples]


def read_use(pid: int) -> ProcessUse:
    """Return what a process has used; of this machine's kernel."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[_UTIME_FIELD]) + int(stat[_STIME_FIELD])
    status = Path(f"/proc/{pid}/status").read_text()
    memory = re.search(r"VmRSS:\s+(\d+) kB", status)
    memory_mib = int(memory.group(1)) / _KIB if memory else 0.0
    return ProcessUse(ticks / _CLOCK_TICKS_PER_S, memory_mib)


async def take_snapshot(cell: RealCell) -> Snapshot:
    """Return what every process of the cell has used."""
    processes = {"generator": read_use(os.getpid())}
    for child in cell.processes.running():
        processes[child.name] = read_use(child.pid)
    metrics = {}
    for name in cell.processes.daemons:
        metrics[name] = await read_metrics(cell, name)
    calls = dict(await cell.store_calls())
    return Snapshot(time.monotonic(), processes, calls, metrics)


async def read_metrics(cell: RealCell, name: str) -> Samples:
    """Return the metrics of one daemon."""
    caller = cell.open_operator({name: cell.endpoints()[name]})
    try:
        text = await caller.call_text("GET", "/metrics")
    finally:
        caller.close()
    return {(m[1], m[2] or ""): float(m[3]) for m in _SAMPLE.finditer(text)}


def metric_growth(before: Snapshot, after: Snapshot, name: str, *labels: str) -> float:
    """Return by how much a metric grew over all daemons; all ``labels`` must match."""
    return sum(
        value - before.metrics[daemon].get(key, 0.0)
        for daemon, samples in after.metrics.items()
        for key, value in samples.items()
        if key[0] == name and all(label in key[1] for label in labels)
    )


def calls_growth(before: Snapshot, after: Snapshot, *kinds: str) -> int:
    """Return how many calls of some kinds the store took in between."""
    return sum(
        after.store_calls.get(kind, 0) - before.store_calls.get(kind, 0)
        for kind in kinds
    )


def cpu_shares(before: Snapshot, after: Snapshot) -> Mapping[str, float]:
    """Return the part of a core that each process used in between."""
    seconds = after.at_s - before.at_s
    return {
        name: (use.cpu_s - before.processes[name].cpu_s) / seconds
        for name, use in after.processes.items()
        if name in before.processes
    }


class SteadySubmits:
    """Submits batches of tasks at a steady rate, whatever the answers."""

    def __init__(
        self, cell: RealCell, name: str, place: WorkPlace, fields: Mapping[str, Any]
    ) -> None:
        """Take ``name``, the prefix of the tasks' request ids."""
        #: Tasks by the status of their reply, or of the call if it failed.
        self.replies: Counter[str] = Counter()
        self._cell = cell
        self._name = name
        self._place = place
        self._fields = fields
        self._drafts = TaskDrafts()

    async def run(
        self, tasks_per_s: float, tasks_per_call: int, seconds: float
    ) -> None:
        """Submit for so long, and wait for the replies."""
        clock = self._cell.clock
        caller = self._cell.callers[self._place.team]
        began = clock.now()
        calls = round(tasks_per_s * seconds / tasks_per_call)
        open_calls = []
        for number in range(calls):
            due = began + timedelta(seconds=number * tasks_per_call / tasks_per_s)
            await clock.sleep(max(due - clock.now(), timedelta(0)))
            tasks = [self.draft() for _ in range(tasks_per_call)]
            open_calls.append(Deferred.fromCoroutine(self._submit(caller, tasks)))
        await DeferredList(open_calls)

    def draft(self) -> dict[str, Any]:
        """Return one task as the callers' interface takes it."""
        task = self._drafts.task(self._place, self._name, self._fields)
        del task["expected_result"]
        return task

    async def _submit(self, caller: HttpCaller, tasks: list[dict[str, Any]]) -> None:
        try:
            replies = await caller.submit(tasks)
        except CallFailedError as exc:
            self.replies[str(exc.status)] += len(tasks)
        else:
            self.replies.update(reply["status"] for reply in replies)
