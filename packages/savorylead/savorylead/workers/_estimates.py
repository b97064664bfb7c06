"""Corrects declared sizes and run times from observed usage."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.resources import ZERO, Resources

from ._quantiles import QuantileSketch

#: Ended tasks that a workspace needs before anything is corrected.
MIN_SAMPLES = 10
#: Workspaces remembered; the one not used for longest is forgotten.
MAX_WORKSPACES = 1_000
#: A declared amount is corrected by at most this factor, up or down.
MAX_FACTOR = 32.0
#: Part of a workspace's tasks that stay below a corrected amount of memory.
MEMORY_PART = 0.95
#: Part of a workspace's tasks that stay below corrected cores.
CORES_PART = 0.9
#: Part of a workspace's tasks that end within a corrected run time.
RUN_TIME_PART = 0.9


class Estimate(NamedTuple):
    """What a task is expected to need."""

    #: To be held on a worker.
    resources: Resources
    #: Run time in milliseconds; 0 when nothing is known.
    run_time_ms: int


class _WorkspaceUsage:
    """How tasks of one workspace compare with what was declared."""

    def __init__(self) -> None:
        self.cores = QuantileSketch()
        self.memory = QuantileSketch()
        self.run_time = QuantileSketch()
        #: In milliseconds, for tasks that declare none.
        self.run_time_ms = QuantileSketch()


class UsageEstimator:
    """Learns from ended tasks, per workspace, in bounded memory.

    Cores are corrected both ways, since a worker can throttle what needs more.
    Memory is corrected upwards only: a task may use all it declared at any time,
    and what exceeds a worker's memory cannot be slowed down, only lost. Other
    dimensions are never corrected.
    """

    def __init__(self) -> None:
        self._usage: OrderedDict[tuple[str, str], _WorkspaceUsage] = OrderedDict()
        self._peaks: dict[TaskId, Resources] = {}

    def observe(self, task: TaskId, used: Resources) -> None:
        """Take in the usage that a worker reports of a running task.

        Reports lag and are samples; the largest one counts. The caller ends each
        task with ``observe_end`` or ``forget``.
        """
        peak = self._peaks.get(task, ZERO)
        self._peaks[task] = Resources(*map(max, peak, used))

    def observe_end(self, spec: TaskSpec, ran_ms: int) -> None:
        """Take in that a task ran to its end after ``ran_ms`` milliseconds."""
        usage = self._workspace(spec.id)
        peak = self._peaks.pop(spec.id, ZERO)
        _add_ratio(usage.cores, peak.cores_milli, spec.resources.cores_milli)
        _add_ratio(usage.memory, peak.memory_mb, spec.resources.memory_mb)
        _add_ratio(usage.run_time, ran_ms, spec.run_time_ms)
        usage.run_time_ms.add(ran_ms)

    def forget(self, task: TaskId) -> None:
        """Drop what was observed of a task that failed or was stopped.

        How long it ran says nothing about how long it would have run.
        """
        self._peaks.pop(task, None)

    def estimate(self, spec: TaskSpec, largest_worker: Resources) -> Estimate:
        """Return the corrected size and run time.

        A size is never corrected above ``largest_worker``, so that a correction
        can't make a task impossible.
        """
        usage = self._usage.get((spec.id.team, spec.id.workspace))
        if usage is None:
            return Estimate(spec.resources, spec.run_time_ms)
        declared = spec.resources
        cores = _corrected(declared.cores_milli, usage.cores, CORES_PART)
        memory = _corrected(declared.memory_mb, usage.memory, MEMORY_PART)
        resources = declared._replace(
            cores_milli=_bounded(declared.cores_milli, cores, largest_worker[0]),
            memory_mb=_bounded(
                declared.memory_mb,
                max(memory, declared.memory_mb),
                largest_worker[1],
            ),
        )
        return Estimate(resources, _run_time_ms(spec, usage))

    def remaining_ms(self, spec: TaskSpec, ran_ms: int) -> int:
        """Return how long a task that has run ``ran_ms`` likely goes on.

        The median of the workspace's tasks that ran longer; 0 when none did.
        """
        usage = self._usage.get((spec.id.team, spec.id.workspace))
        if usage is None or usage.run_time_ms.samples < MIN_SAMPLES:
            return max(0, spec.run_time_ms - ran_ms)
        whole_ms = usage.run_time_ms.quantile(0.5, above=ran_ms)
        return max(0, int(whole_ms) - ran_ms)

    def _workspace(self, task: TaskId) -> _WorkspaceUsage:
        key = (task.team, task.workspace)
        usage = self._usage.get(key)
        if usage is None:
            usage = self._usage[key] = _WorkspaceUsage()
        self._usage.move_to_end(key)
        if len(self._usage) > MAX_WORKSPACES:
            self._usage.popitem(last=False)
        return usage


def _add_ratio(sketch: QuantileSketch, observed: int, declared: int) -> None:
    if observed > 0 and declared > 0:
        sketch.add(observed / declared)


def _corrected(declared: int, ratios: QuantileSketch, part: float) -> int:
    if ratios.samples < MIN_SAMPLES:
        return declared
    factor = ratios.quantile(part)
    factor = min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)
    return max(1, round(declared * factor)) if declared else 0


def _bounded(declared: int, corrected: int, largest: int) -> int:
    return max(min(corrected, largest), min(declared, corrected))


def _run_time_ms(spec: TaskSpec, usage: _WorkspaceUsage) -> int:
    if spec.run_time_ms:
        return _corrected(spec.run_time_ms, usage.run_time, RUN_TIME_PART)
    if usage.run_time_ms.samples < MIN_SAMPLES:
        return 0
    return round(usage.run_time_ms.quantile(RUN_TIME_PART))
