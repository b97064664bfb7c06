"""Allocation and release of capacity by the indexed planner."""

from __future__ import annotations

from savorylead.contracts import TaskId, TaskKind

from . import _rules as rules
from ._amounts import minus, plus
from ._indexed_rows import RunningEntry, WorkerRow
from ._indexed_state import IndexedState
from ._planner import PendingTask


class IndexedHoldings(IndexedState):
    """Accounts for each running task on its worker, its team and the shard."""

    def add_running(self, task: PendingTask, worker: str, since_ms: int) -> None:
        """Allocate capacity for a task that already runs, such as after a replay."""
        if task.spec.id in self._running:
            self._free(task.spec.id)
        self._hold(task, self._row(worker), since_ms)

    def remove(self, task: TaskId) -> bool:
        """Remove a pending or running task; return False if it is unknown."""
        if task in self._claims:
            self._drop_claim(task)
        if task in self._pending:
            self._unqueue(task)
            return True
        if task not in self._running:
            return False
        self._free(task)
        return True

    def requeue(self, task: PendingTask) -> None:
        """Release a running task's capacity and queue the task again."""
        if task.spec.id in self._running:
            self._free(task.spec.id)
        self.add_pending(task)

    def _hold(self, task: PendingTask, row: WorkerRow, since_ms: int) -> None:
        spec = task.spec
        need = spec.resources
        self._number += 1
        entry = RunningEntry(task, row, since_ms, self._number)
        self._running[spec.id] = entry
        row.tasks[spec.id] = entry
        self._held = plus(self._held, need)
        team = self._team(spec.id.team)
        team.held = plus(team.held, need)
        team.running[spec.id] = entry
        team.grant_stale = True
        self._order.invalidate(team)
        row.room = minus(row.room, need)
        self._index.update(row)
        if not rules.is_preemptible(task):
            self._count_non_preemptible(task, row, 1)
            row.free_after_preemption = minus(row.free_after_preemption, need)
            self._index.update_after_preemption(row)
        if row.reserved:
            self._open_reserved.capacity_decreased(row)
        else:
            self._open.capacity_decreased(row)

    def _free(self, task_id: TaskId) -> None:
        entry = self._running.pop(task_id)
        task, row = entry.task, entry.row
        need = task.spec.resources
        del row.tasks[task_id]
        self._held = minus(self._held, need)
        team = self._teams[task_id.team]
        team.held = minus(team.held, need)
        del team.running[task_id]
        team.grant_stale = True
        self._order.invalidate(team)
        row.room = plus(row.room, need)
        self._index.update(row)
        preemptible = rules.is_preemptible(task)
        if not preemptible:
            self._count_non_preemptible(task, row, -1)
        if not preemptible or task_id in self._stopping:
            self._stopping.discard(task_id)
            row.free_after_preemption = plus(row.free_after_preemption, need)
            self._index.update_after_preemption(row)
        if row.reserved:
            self._open_reserved.capacity_increased(row)
        elif row.groups is not None:
            self._open.capacity_increased(row)
        self._fit_version += 1
        if row.worker is None:
            self._drop_unused_row(row)

    def _count_non_preemptible(
        self, task: PendingTask, row: WorkerRow, sign: int
    ) -> None:
        """Add or remove a task that must not be preempted."""
        spec = task.spec
        if spec.kind is TaskKind.SERVICE:
            row.service_usage = row.service_usage.plus(spec.resources.times(sign))
            self._count_service(task, row, sign)
        elif spec.kind is TaskKind.ALL_AT_ONCE:
            job = spec.id.job()
            self._job_running[job] += sign
            if not self._job_running[job]:
                del self._job_running[job]

    def _claim(self, task_id: TaskId, claim: rules.Claim) -> None:
        row = self._rows[claim.worker]
        self._claims[task_id] = claim
        row.claim = claim
        row.room = minus(row.room, claim.need)
        self._reindex_row(row)

    def _drop_claim(self, task_id: TaskId) -> None:
        claim = self._claims.pop(task_id)
        row = self._rows.get(claim.worker)
        if row is not None:
            row.claim = None
            row.room = plus(row.room, claim.need)
            self._reindex_row(row)

    def _mark_stopping(self, task_id: TaskId) -> None:
        """Mark the task as being checkpointed."""
        entry = self._running[task_id]
        self._stopping.add(task_id)
        row = entry.row
        row.free_after_preemption = minus(
            row.free_after_preemption, entry.task.spec.resources
        )
        self._index.update_after_preemption(row)
