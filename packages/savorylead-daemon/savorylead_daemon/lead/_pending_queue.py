"""Passes tasks to the planner with corrected sizes and workers to avoid."""

from __future__ import annotations

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import TaskRecord
from savorylead.placement import PendingTask, Planner
from savorylead.resources import Resources

from ._admission_control import AdmissionControl
from ._fleet import ShardFleet
from ._run_monitor import RunMonitor


class PendingQueue:
    """Adds and removes pending tasks in the planner and in admission control."""

    def __init__(
        self,
        planner: Planner,
        fleet: ShardFleet,
        monitor: RunMonitor,
        admission: AdmissionControl,
        clock: Clock,
    ) -> None:
        self._planner = planner
        self._fleet = fleet
        self._monitor = monitor
        self._admission = admission
        self._clock = clock
        #: Corrected size by pending task, where it differs from the declared size.
        self._corrected: dict[TaskId, Resources] = {}

    def new_pending(self, spec: TaskSpec, accepted_at_ms: int) -> PendingTask:
        """Return a new task for the planner, with its size corrected."""
        corrected = self._monitor.corrected(spec)
        if corrected == spec.resources:
            self._corrected.pop(spec.id, None)
            return PendingTask(spec, accepted_at_ms)
        self._corrected[spec.id] = corrected
        return PendingTask(spec._replace(resources=corrected), accepted_at_ms)

    def pop_corrected(self, task: TaskId) -> Resources | None:
        """Remove and return the corrected size of a task that is being placed."""
        return self._corrected.pop(task, None)

    def readd(self, record: TaskRecord) -> None:
        """Queue a task that is not in the planner."""
        self._admission.readmit(record.spec, self._now_ms())
        self._planner.add_pending(self._pending_of(record))

    def requeue(self, record: TaskRecord) -> None:
        """Queue a task that is running according to the planner."""
        self._admission.readmit(record.spec, self._now_ms())
        self._planner.requeue(self._pending_of(record))

    def requeue_avoiding(self, record: TaskRecord, worker: str) -> None:
        """Requeue a task placed on a worker that must not run it; avoid the worker."""
        pending = self._pending_of(record)
        avoid = (*pending.avoid, worker)
        self._planner.requeue(pending._replace(avoid=avoid))

    def remove(self, task: TaskId) -> None:
        """Remove a pending task that has an outcome or is offered to another shard."""
        self._planner.remove(task)
        self._admission.removed(task, self._now_ms())
        self._corrected.pop(task, None)

    def _pending_of(self, record: TaskRecord) -> PendingTask:
        pending = self.new_pending(record.spec, record.accepted_at_ms)
        return pending._replace(
            next_attempt=record.attempt + 1, avoid=self._avoided(record)
        )

    def _avoided(self, record: TaskRecord) -> tuple[str, ...]:
        """Return workers on which the task failed, but never all that could hold it."""
        if not record.avoid:
            return ()
        wanted = record.spec.resources
        able = sum(1 for s in self._fleet if wanted.fits(s.worker.capacity))
        return record.avoid[-(able - 1) :] if able > 1 else ()

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())
