"""Tracks worker health, failing jobs and actual resource usage from runs."""

from __future__ import annotations

from collections.abc import Callable

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import ZERO, Resources
from savorylead.workers import (
    AttemptBudget,
    AttemptsExhausted,
    CheckpointMemory,
    HealthState,
    MostSeverePolicy,
    OverrunAction,
    OverrunWatch,
    RunningUsage,
    RunReport,
    ThrottleCores,
    UsageEstimator,
    WorkerHealth,
)

from ._fleet import ShardFleet


class RunMonitor:
    """Tracks worker health, attempt budgets, estimates and overruns of one shard.

    The state is not stored: after a takeover the new lead collects it again.
    """

    def __init__(
        self, fleet: ShardFleet, held_on: Callable[[str], Resources], clock: Clock
    ) -> None:
        """``held_on`` returns the resources that tasks hold on a worker."""
        self._fleet = fleet
        self._held_on = held_on
        self._largest = ZERO
        #: Corrected sizes by team, workspace and declared size, until the next refresh.
        self._corrected: dict[tuple[str, str, Resources], Resources] = {}
        self._clock = clock
        self._health = WorkerHealth(workers=0)
        self._budget = AttemptBudget()
        self._estimator = UsageEstimator()
        self._overruns = OverrunWatch(
            MostSeverePolicy([ThrottleCores(), CheckpointMemory()])
        )
        #: Workers with recent failures, and the probe task that each runs, if any.
        self._suspects: dict[str, TaskId | None] = {}

    def admits(self, worker: str, spec: TaskSpec) -> bool:
        """Return whether the task may start on the worker."""
        if worker not in self._suspects:
            return True
        return self._health.may_start(worker, spec, self._now_ms())

    def placed(self, worker: str, task: TaskId) -> None:
        """Record a placement; a probed worker gets no task besides its probe."""
        if worker not in self._suspects:
            return
        self._health.record_start(worker, task, self._now_ms())
        if self._health.state(worker, self._now_ms()) is HealthState.PROBED:
            self._suspects[worker] = task
            self._fleet.quarantine(worker, True)

    def succeeded(self, worker: str, spec: TaskSpec, ran_ms: int) -> None:
        """Record that a task completed."""
        if spec.kind is not TaskKind.SERVICE:
            self._estimator.observe_end(spec, ran_ms)
        self._health.record_success(worker, spec.id, self._now_ms())
        self._overruns.forget(spec.id)
        self._budget.forget(spec.id)
        self._close_probe(worker, spec.id)

    def failed(
        self, worker: str, spec: TaskSpec, error: str
    ) -> AttemptsExhausted | None:
        """Record a failed attempt; return the reason if no attempts remain."""
        self._health.workers = sum(1 for _ in self._fleet)
        proved = self._health.is_proved(worker)
        self._health.record_failure(worker, spec.id, self._now_ms())
        self._suspects.setdefault(worker, None)
        self._drop_run(worker, spec.id)
        exhausted = self._budget.record_failure(spec.id, worker, error, proved)
        if exhausted is not None:
            self._health.record_attempts_exhausted(spec.id)
        self.refresh()
        return exhausted

    def ended_without_result(self, worker: str, task: TaskId) -> None:
        """Record that an attempt ended without success or failure."""
        self._health.record_withdrawal(worker, task)
        self._drop_run(worker, task)

    def forget_job(self, task: TaskId) -> None:
        """Drop the state of a task that has its outcome."""
        self._health.forget_job(task)
        self._budget.forget(task)
        self._estimator.forget(task)

    def refresh(self) -> None:
        """Update quarantines for the time elapsed, and clear cached sizes."""
        now_ms = self._now_ms()
        self._largest = self._largest_worker()
        self._corrected.clear()
        for worker, probe in list(self._suspects.items()):
            state = self._health.state(worker, now_ms)
            quarantined = state is HealthState.QUARANTINED or probe is not None
            self._fleet.quarantine(worker, quarantined)
            if state is HealthState.TRUSTED:
                del self._suspects[worker]

    def corrected(self, spec: TaskSpec) -> Resources:
        """Return the estimated size of a task, cached until the next refresh."""
        key = (spec.id.team, spec.id.workspace, spec.resources)
        corrected = self._corrected.get(key)
        if corrected is None:
            corrected = self._corrected[key] = self._correct(spec)
        return corrected

    def _correct(self, spec: TaskSpec) -> Resources:
        estimate = self._estimator.estimate(spec, self._largest).resources
        if estimate == spec.resources:
            return estimate
        # A small set of sizes lets the planner group tasks of equal size.
        return estimate._replace(
            cores_milli=_rounded_up(estimate.cores_milli, self._largest.cores_milli),
            memory_mb=_rounded_up(estimate.memory_mb, self._largest.memory_mb),
        )

    def observe(
        self, worker: str, spec: TaskSpec, held: Resources, report: RunReport
    ) -> OverrunAction:
        """Record a running task's usage; return the action on an overrun."""
        if not any(report.used):
            return OverrunAction.NONE
        self._estimator.observe(spec.id, report.used)
        if report.used.fits(held):
            self._overruns.forget(spec.id)
            return OverrunAction.NONE
        capacity = self._fleet.ensure_by_name(worker).worker.capacity
        usage = RunningUsage(
            spec=spec,
            held=held,
            used=report.used,
            ran_ms=report.ran_ms,
            expected_ms=spec.run_time_ms,
            worker_free=capacity.minus(self._held_on(worker)),
        )
        return self._overruns.report(usage)

    def _drop_run(self, worker: str, task: TaskId) -> None:
        self._overruns.forget(task)
        self._estimator.forget(task)
        self._close_probe(worker, task)

    def _close_probe(self, worker: str, task: TaskId) -> None:
        if self._suspects.get(worker) == task:
            self._suspects[worker] = None
            self.refresh()

    def _largest_worker(self) -> Resources:
        largest = ZERO
        for session in self._fleet:
            capacity = session.worker.capacity
            largest = Resources(*map(max, largest, capacity))
        return largest

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())


def _rounded_up(amount: int, most: int) -> int:
    """Round up to a power of two or 1.5 times one, at most to ``most``."""
    power = 1 << max(amount - 1, 0).bit_length()
    smaller = power * 3 // 4
    rounded = smaller if smaller >= amount else power
    return max(amount, min(rounded, most)) if amount else 0
