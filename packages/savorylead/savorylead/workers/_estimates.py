"""Estimates of sizes and run times, corrected by observed usage."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.resources import ZERO, Resources

from ._quantiles import QuantileSketch

#: Ended tasks of a workspace that are required for a correction.
MIN_SAMPLES = 10
#: Workspaces stored; the least recently updated one is evicted.
MAX_WORKSPACES = 1_000
#: Largest factor by which a declared amount is corrected, up or down.
MAX_FACTOR = 32.0
#: Fraction of a workspace's tasks that stay below a corrected amount of memory.
MEMORY_QUANTILE = 0.95
#: Fraction of a workspace's tasks that stay below corrected cores.
CORES_QUANTILE = 0.9
#: Fraction of a workspace's tasks that end within a corrected run time.
RUN_TIME_QUANTILE = 0.9


class Estimate(NamedTuple):
    """Expected resources and run time of a task."""

    #: Resources to hold on a worker.
    resources: Resources
    #: Run time in milliseconds; 0 if unknown.
    run_time_ms: int


class _WorkspaceUsage:
    """Ratios of observed to declared amounts for the tasks of one workspace."""

    def __init__(self) -> None:
        self.cores = QuantileSketch()
        self.memory = QuantileSketch()
        self.run_time = QuantileSketch()
        #: Observed run times, for tasks that declare none.
        self.run_time_ms = QuantileSketch()


class UsageEstimator:
    """Learns from ended tasks, per workspace, in bounded memory.

    Cores are corrected up or down, since a worker can throttle a task that needs
    more. Memory is only corrected up: a task may use all its declared memory at any
    time, and a task that exceeds the worker's memory can't be throttled, only lost.
    Other dimensions are never corrected.
    """

    def __init__(self) -> None:
        self._usage: OrderedDict[tuple[str, str], _WorkspaceUsage] = OrderedDict()
        self._peaks: dict[TaskId, Resources] = {}

    def observe(self, task: TaskId, used: Resources) -> None:
        """Record the usage that a worker reports for a running task.

        Reports are samples and lag; their maximum is used. The caller must end each
        task by ``observe_end`` or ``forget``.
        """
        peak = self._peaks.get(task, ZERO)
        self._peaks[task] = Resources(*map(max, peak, used))

    def observe_end(self, spec: TaskSpec, ran_ms: int) -> None:
        """Record that a task ran to completion in ``ran_ms`` milliseconds."""
        usage = self._workspace(spec.id)
        peak = self._peaks.pop(spec.id, ZERO)
        _add_ratio(usage.cores, peak.cores_milli, spec.resources.cores_milli)
        _add_ratio(usage.memory, peak.memory_mb, spec.resources.memory_mb)
        _add_ratio(usage.run_time, ran_ms, spec.run_time_ms)
        usage.run_time_ms.add(ran_ms)

    def forget(self, task: TaskId) -> None:
        """Discard the observations of a task that failed or was stopped.

        Its run time does not indicate how long it would have run.
        """
        self._peaks.pop(task, None)

    def estimate(self, spec: TaskSpec, largest_worker: Resources) -> Estimate:
        """Return the corrected size and run time.

        A size is never corrected above ``largest_worker``, so that a correction
        can't make a task unplaceable.
        """
        usage = self._usage.get((spec.id.team, spec.id.workspace))
        if usage is None:
            return Estimate(spec.resources, spec.run_time_ms)
        declared = spec.resources
        cores = _corrected(declared.cores_milli, usage.cores, CORES_QUANTILE)
        memory = _corrected(declared.memory_mb, usage.memory, MEMORY_QUANTILE)
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
        """Return the expected remaining time of a task that has run ``ran_ms``.

        It is based on the median of the workspace's tasks that ran longer; 0 if there
        are none.
        """
        usage = self._usage.get((spec.id.team, spec.id.workspace))
        if usage is None or usage.run_time_ms.samples < MIN_SAMPLES:
            return max(0, spec.run_time_ms - ran_ms)
        median_ms = usage.run_time_ms.quantile(0.5, above=ran_ms)
        return max(0, int(median_ms) - ran_ms)

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


def _corrected(declared: int, ratios: QuantileSketch, fraction: float) -> int:
    if ratios.samples < MIN_SAMPLES:
        return declared
    factor = ratios.quantile(fraction)
    factor = min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)
    return max(1, round(declared * factor)) if declared else 0


def _bounded(declared: int, corrected: int, largest: int) -> int:
    return max(min(corrected, largest), min(declared, corrected))


def _run_time_ms(spec: TaskSpec, usage: _WorkspaceUsage) -> int:
    if spec.run_time_ms:
        return _corrected(spec.run_time_ms, usage.run_time, RUN_TIME_QUANTILE)
    if usage.run_time_ms.samples < MIN_SAMPLES:
        return 0
    return round(usage.run_time_ms.quantile(RUN_TIME_QUANTILE))
