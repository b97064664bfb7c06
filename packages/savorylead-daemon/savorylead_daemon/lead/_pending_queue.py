"""Hands tasks to the planner with what was learned about them."""

from __future__ import annotations

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import TaskRecord
from savorylead.placement import PendingTask, Planner
from savorylead.resources import Resources

from ._fleet import ShardFleet
from ._run_care import RunCare
from ._waiting_room import WaitingRoom


class PendingQueue:
    """Corrects sizes, remembers workers to avoid, and counts what waits."""

    def __init__(
        self,
        planner: Planner,
        fleet: ShardFleet,
        care: RunCare,
        room: WaitingRoom,
        clock: Clock,
    ) -> None:
        self._planner = planner
        self._fleet = fleet
        self._care = care
        self._room = room
        self._clock = clock
        #: What the planner was told that a task needs, if not what it declares.
        self._corrected: dict[TaskId, Resources] = {}

    def fresh(self, spec: TaskSpec, accepted_at_ms: int) -> PendingTask:
        """Return a task as the planner is to see it, with its size corrected."""
        corrected = self._care.corrected(spec)
        if corrected == spec.resources:
            self._corrected.pop(spec.id, None)
            return PendingTask(spec, accepted_at_ms)
        self._corrected[spec.id] = corrected
        return PendingTask(spec._replace(resources=corrected), accepted_at_ms)

    def take_corrected(self, task: TaskId) -> Resources | None:
        """Return what a task that is placed now holds, if not what it declares."""
        return self._corrected.pop(task, None)

    def add_again(self, record: TaskRecord) -> None:
        """Queue a task that the planner does not know any more."""
        self._room.readmit(record.spec, self._now_ms())
        self._planner.add_pending(self._again(record))

    def requeue(self, record: TaskRecord) -> None:
        """Queue a task again that the planner holds as running."""
        self._room.readmit(record.spec, self._now_ms())
        self._planner.requeue(self._again(record))

    def hold_back(self, record: TaskRecord, worker: str) -> None:
        """Take a placement back that the worker must not get."""
        pending = self._again(record)
        avoid = (*pending.avoid, worker)
        self._planner.requeue(pending._replace(avoid=avoid))

    def remove(self, task: TaskId) -> None:
        """Take a waiting task out, since it was answered or handed elsewhere."""
        self._planner.remove(task)
        self._room.removed(task, self._now_ms())
        self._corrected.pop(task, None)

    def _again(self, record: TaskRecord) -> PendingTask:
        pending = self.fresh(record.spec, record.accepted_at_ms)
        return pending._replace(
            next_attempt=record.attempt + 1, avoid=self._avoided(record)
        )

    def _avoided(self, record: TaskRecord) -> tuple[str, ...]:
        """Return the workers where the task failed, but never all that fit it."""
        if not record.avoid:
            return ()
        wanted = record.spec.resources
        able = sum(1 for s in self._fleet if wanted.fits(s.worker.capacity))
        return record.avoid[-(able - 1) :] if able > 1 else ()

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())
