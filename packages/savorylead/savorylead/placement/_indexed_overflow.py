"""Rejections by the indexed planner, and overflow to other shards."""

from __future__ import annotations

import sys
from collections.abc import Iterable

from savorylead.contracts import TaskId
from savorylead.outcomes import Refusal

from . import _rules as rules
from ._indexed_balancing import IndexedBalancing
from ._indexed_teams import TaskClass
from ._planner import Decision, Overflow, PendingTask, Reject


class IndexedOverflow(IndexedBalancing):
    """Rejects tasks past their deadline and overflows tasks that do not fit here."""

    def __init__(self) -> None:
        super().__init__()
        self._overflowed_ms: dict[TaskId, int] = {}
        self._overflow_check_ms = 0

    def _start_by_ms(self, task_id: TaskId) -> int:
        queued_at_ms, number, cls = self._pending[task_id]
        return cls.queue[cls.position(queued_at_ms, number)][2].spec.start_by_ms

    def _late(self, now_ms: int) -> list[TaskId]:
        late = []
        for start_by_ms, _, task_id in self._deadlines:
            if start_by_ms >= now_ms:
                break
            late.append(task_id)
        return late

    def _reject_late(self, late: Iterable[TaskId]) -> list[Decision]:
        """Reject tasks, each with all pending members of its job."""
        found: dict[TaskId, tuple[int, int]] = {}
        for task_id in late:
            queued_at_ms, number, cls = self._pending[task_id]
            if cls.is_gang:
                found.update({t.spec.id: (at, n) for at, n, t in cls.queue})
            else:
                found[task_id] = (queued_at_ms, number)
        refused = sorted(found, key=found.__getitem__)
        for task_id in refused:
            self.remove(task_id)
        return [Reject(task_id, Refusal.DEADLINE_PASSED) for task_id in refused]

    def _overflow_impossible(self, now_ms: int) -> list[Decision]:
        """Overflow tasks that fit on no worker here, each at most once a minute."""
        if not self._impossible or now_ms < self._impossible_due_ms:
            return []
        self._impossible_due_ms = sys.maxsize
        entries = []
        for cls in self._impossible:
            units = [cls.queue] if cls.is_gang else [[entry] for entry in cls.queue]
            for unit in units:
                due_ms = max(
                    self._overflow_allowed_ms(task.spec.id) for _, _, task in unit
                )
                if due_ms <= now_ms:
                    entries.extend(unit)
                else:
                    self._impossible_due_ms = min(self._impossible_due_ms, due_ms)
        entries.sort()
        return self._overflow([task for _, _, task in entries], now_ms)

    def _overflow_allowed_ms(self, task_id: TaskId) -> int:
        """Return the earliest time at which the task may overflow again."""
        sent_ms = self._overflowed_ms.get(task_id)
        return 0 if sent_ms is None else sent_ms + rules.OVERFLOW_RETRY_MS

    def _overflow(self, tasks: list[PendingTask], now_ms: int) -> list[Decision]:
        for task in tasks:
            self.remove(task.spec.id)
            self._overflowed_ms[task.spec.id] = now_ms
        return [Overflow(task.spec.id) for task in tasks]

    def _overflow_waiting(self, now_ms: int) -> list[Decision]:
        """Overflow tasks that waited too long, as far as other shards have capacity."""
        if now_ms < self._overflow_check_ms:
            return []
        self._overflow_check_ms = now_ms + rules.OVERFLOW_CHECK_MS
        for task_id in list(self._overflowed_ms):
            if self._overflow_allowed_ms(task_id) <= now_ms:
                del self._overflowed_ms[task_id]
        free = self._order.fleet.minus(self._capacity).minus(self._elsewhere_total)
        if min(free) < 0 or not any(free):
            return []
        chosen: list[PendingTask] = []
        units = 0
        for queued_at_ms, _, cls in self._oldest_of_classes():
            task = cls.queue[0][2]
            spec = task.spec
            limit = rules.URGENT_OVERFLOW_MS if spec.urgent else rules.OVERFLOW_MS
            if now_ms - queued_at_ms < limit or spec.id in self._claims:
                continue
            members = self._unit_of(cls, task)
            need = rules.total_need(members)
            if any(member.spec.id in self._overflowed_ms for member in members):
                continue
            if not members or not need.fits(free):
                continue
            if units == rules.MAX_OVERFLOWS:
                break
            units += 1
            free = free.minus(need)
            chosen.extend(members)
        return self._overflow(chosen, now_ms)

    def _oldest_of_classes(self) -> list[tuple[int, int, TaskClass]]:
        entries = [
            (queued_at_ms, number, cls)
            for team in self._teams.values()
            for lane in (team.urgent, team.normal)
            for queued_at_ms, number, _, cls in lane.entries
        ]
        entries.sort(key=lambda entry: entry[:2])
        return entries
