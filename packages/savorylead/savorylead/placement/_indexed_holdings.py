"""How the indexed planner holds and frees capacity."""

from __future__ import annotations

from savorylead.contracts import TaskId, TaskKind

from . import _rules as rules
from ._indexed_book import IndexedBook
from ._indexed_rows import RunningEntry, WorkerRow
from ._planner import PendingTask


class IndexedHoldings(IndexedBook):
    """Counts each running task once, on its worker, its team and the shard."""

    def add_running(self, task: PendingTask, worker: str, since_ms: int) -> None:
        """Hold capacity for a task that already runs, as after a replay."""
        if task.spec.id in self._running:
            self._free(task.spec.id)
        self._hold(task, self._row(worker), since_ms)

    def remove(self, task: TaskId) -> bool:
        """Forget a pending or running task; False if it is not known."""
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
        """Free a running task's capacity and queue it again."""
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
        row.held = row.held.plus(need)
        self._held = self._held.plus(need)
        team = self._team(spec.id.team)
        team.held = team.held.plus(need)
        team.room_stale = True
        self._order.touch(team)
        row.update_room()
        self._index.update(row)
        if rules.is_preemptible(task):
            row.preemptible = row.preemptible.plus(need)
        else:
            self._note_lasting(task, row, 1)
            self._index.update_potential(row)
        if row.reserved:
            self._open_reserved.shrank(row)
        else:
            self._open.shrank(row)

    def _free(self, task_id: TaskId) -> None:
        entry = self._running.pop(task_id)
        task, row = entry.task, entry.row
        need = task.spec.resources
        del row.tasks[task_id]
        row.held = row.held.minus(need)
        self._held = self._held.minus(need)
        team = self._team(task_id.team)
        team.held = team.held.minus(need)
        team.room_stale = True
        self._order.touch(team)
        row.update_room()
        self._index.update(row)
        if not rules.is_preemptible(task):
            self._note_lasting(task, row, -1)
            self._index.update_potential(row)
        elif task_id in self._stopping:
            self._stopping.discard(task_id)
            self._index.update_potential(row)
        else:
            row.preemptible = row.preemptible.minus(need)
        if row.reserved:
            self._open_reserved.grew(row)
        elif row.groups is not None:
            self._open.grew(row)
        self._growth += 1
        if row.worker is None:
            self._forget_row(row)

    def _note_lasting(self, task: PendingTask, row: WorkerRow, sign: int) -> None:
        """Count a task that urgent work may not checkpoint."""
        spec = task.spec
        if spec.kind is TaskKind.SERVICE:
            row.lasting = row.lasting.plus(spec.resources.times(sign))
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
        self._place_row(row)

    def _drop_claim(self, task_id: TaskId) -> None:
        claim = self._claims.pop(task_id)
        row = self._rows.get(claim.worker)
        if row is not None:
            row.claim = None
            self._place_row(row)

    def _stop(self, task_id: TaskId) -> None:
        """Note that the task was asked to checkpoint."""
        entry = self._running[task_id]
        self._stopping.add(task_id)
        need = entry.task.spec.resources
        entry.row.preemptible = entry.row.preemptible.minus(need)
        self._index.update_potential(entry.row)
