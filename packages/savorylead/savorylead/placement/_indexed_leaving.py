"""What leaves the indexed planner's queue without a start."""

from __future__ import annotations

from collections.abc import Iterable

from savorylead.contracts import TaskId
from savorylead.outcomes import Refusal

from . import _rules as rules
from ._indexed_balancing import IndexedBalancing
from ._planner import Decision, Overflow, Reject


class IndexedLeaving(IndexedBalancing):
    """Refuses what is too late and sends elsewhere what has no room here."""

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

    def _refuse_late(self, late: Iterable[TaskId]) -> list[Decision]:
        """Refuse tasks, each with all waiting members of its job."""
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

    def _refuse_impossible(self) -> list[Decision]:
        if not self._impossible:
            return []
        entries = sorted(entry for cls in self._impossible for entry in cls.queue)
        for _, _, task in entries:
            self.remove(task.spec.id)
        return [Overflow(task.spec.id) for _, _, task in entries]

    def _send_elsewhere(self, now_ms: int) -> list[Decision]:
        """Return tasks that waited long and for which the other shards have room."""
        if now_ms < self._overflow_check_ms:
            return []
        self._overflow_check_ms = now_ms + rules.OVERFLOW_CHECK_MS
        for task_id, at_ms in list(self._overflowed_ms.items()):
            if now_ms - at_ms >= rules.OVERFLOW_AGAIN_MS:
                del self._overflowed_ms[task_id]
        room = self._order.fleet.minus(self._capacity).minus(self._elsewhere_total)
        if min(room) < 0 or not any(room):
            return []
        entries = [
            (queued_at_ms, number, cls)
            for team in self._teams.values()
            for lane in (team.urgent, team.normal)
            for queued_at_ms, number, _, cls in lane.entries
        ]
        entries.sort(key=lambda entry: entry[:2])
        chosen: list[Decision] = []
        for queued_at_ms, _, cls in entries:
            spec = cls.queue[0][2].spec
            limit = rules.URGENT_OVERFLOW_MS if spec.urgent else rules.OVERFLOW_MS
            if cls.is_gang or now_ms - queued_at_ms < limit:
                continue
            if spec.id in self._overflowed_ms or spec.id in self._claims:
                continue
            if not spec.resources.fits(room):
                continue
            if len(chosen) == rules.MAX_OVERFLOWS:
                break
            room = room.minus(spec.resources)
            chosen.append(Overflow(spec.id))
        for decision in chosen:
            self.remove(decision.task)
            self._overflowed_ms[decision.task] = now_ms
        return chosen
