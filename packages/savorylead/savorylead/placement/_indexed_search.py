"""Worker search of the indexed planner, for tasks and jobs."""

from __future__ import annotations

from collections.abc import Iterable

from savorylead.contracts import TaskId, TaskKind
from savorylead.resources import Resources
from savorylead.workers import WorkerState

from . import _rules as rules
from ._amounts import fits, minus, plus
from ._indexed_groups import RANK_BITS, RANK_MASK
from ._indexed_holdings import IndexedHoldings
from ._indexed_rows import WorkerRow
from ._indexed_teams import TaskClass, Team
from ._planner import Decision, PendingTask, Place


class IndexedSearch(IndexedHoldings):
    """Finds the best worker by index and checks whether tasks may start."""

    def __init__(self) -> None:
        super().__init__()
        self._reservation: rules.Reservation | None = None

    # -- workers for tasks

    def _search(self, task: PendingTask, cls: TaskClass, now_ms: int) -> str | None:
        """Return the best worker for a single task; close its shape if none fits."""
        shape = cls.shape
        rows = self._open.candidates(shape.bit)
        if rows is None:
            found = self._best(task)
        elif not cls.is_service:
            found = self._tightest_of(task, rows)
        else:
            found = self._cheapest(task, rows)
        if found is None:
            self._open.close(shape.bit)
            if not shape.short or not self._backfills(now_ms):
                return None
            rows = self._open_reserved.candidates(shape.bit)
            found = self._cheapest(task, rows or ())
            if found is None:
                self._open_reserved.close(shape.bit)
                return None
        return self._index.rows[found[1] & RANK_MASK].name

    def _best(self, task: PendingTask) -> tuple[float, int] | None:
        racks, fewest = self._rack_spread(task)
        need = task.spec.resources
        return self._index.best(self._policy, need, task.avoid, racks, fewest)

    def _rack_spread(self, task: PendingTask) -> tuple[dict[str, int] | None, int]:
        """Return the workspace's service counts by rack, and the lowest count."""
        if task.spec.kind is not TaskKind.SERVICE:
            return None, 0
        task_id = task.spec.id
        racks = self._rack_counts.get((task_id.team, task_id.workspace), {})
        if len(racks) < len(self._racks):
            return racks, 0
        return racks, min(racks.values(), default=0)

    def _tightest_of(
        self, task: PendingTask, rows: Iterable[WorkerRow]
    ) -> tuple[float, int] | None:
        """Like ``_cheapest``, for indexed workers and tasks other than services."""
        need = task.spec.resources
        cores, memory, accelerators, slots, connections = need
        avoid = task.avoid
        plain = accelerated = None
        for row in rows:
            free = row.room
            if (
                cores > free[0]
                or slots > free[3]
                or memory > free[1]
                or accelerators > free[2]
                or connections > free[4]
                or row.name in avoid
            ):
                continue
            entry = row.position[2]
            if row.worker.capacity[2]:
                if accelerated is None or entry < accelerated:
                    accelerated = entry
            elif plain is None or entry < plain:
                plain = entry
        return self._index.cheaper(self._policy, need, plain, accelerated)

    def _cheapest(
        self, task: PendingTask, rows: Iterable[WorkerRow]
    ) -> tuple[float, int] | None:
        """Return cost and entry of the cheapest of the given workers, or None."""
        order = self._index.order
        need = task.spec.resources
        need_key = order.key(need)
        racks = self._rack_spread(task)[0] or {}
        best: tuple[float, int] | None = None
        for row in rows:
            if row.state is not WorkerState.READY or row.name in task.avoid:
                continue
            if not fits(need, row.room):
                continue
            key = order.key(row.room)
            accelerated = row.worker.capacity[2] > 0
            cost = rules.placement_cost(
                self._policy,
                order.leftover(key, need_key, accelerated),
                racks.get(row.worker.rack, 0),
                accelerated and need[2] == 0,
            )
            found = (cost, key << RANK_BITS | row.rank)
            if best is None or found < best:
                best = found
        return best

    def _backfills(self, now_ms: int) -> bool:
        """Return whether short tasks may run on reserved workers now."""
        reservation = self._reservation
        if reservation is None or not self._policy.backfill:
            return False
        return now_ms + rules.BACKFILL_RUN_MS <= reservation.until_ms

    def _place_all(
        self, members: list[PendingTask], unit: TaskId, now_ms: int
    ) -> list[Decision]:
        """Return a placement for every member, or an empty list; allocates nothing."""
        reservation = self._reservation
        reserved: list[WorkerRow] = []
        if reservation is not None:
            reserved = [self._rows[name] for name in reservation.workers]
        is_owner = reservation is not None and reservation.job == unit
        backfills = self._backfills(now_ms)
        chosen: list[Decision] = []
        touched: list[tuple[WorkerRow, Resources]] = []
        for member in members:
            found = self._best(member)
            if is_owner:
                others = self._cheapest(member, reserved)
                if found is None or (others is not None and others < found):
                    found = others
            elif found is None and rules.may_backfill(member) and backfills:
                found = self._cheapest(member, reserved)
            if found is None:
                chosen = []
                break
            row = self._index.rows[found[1] & RANK_MASK]
            chosen.append(Place(member.spec.id, row.name))
            touched.append((row, member.spec.resources))
            row.room = minus(row.room, member.spec.resources)
            self._index.update(row)
        for row, need in touched:
            row.room = plus(row.room, need)
            self._index.update(row)
        return chosen

    # -- units that start together

    def _members(self, cls: TaskClass) -> list[PendingTask]:
        """Return the pending members of a job; empty if it is not ready to start."""
        queue = cls.queue
        first = queue[0][2]
        if self._job_running.get(first.spec.id.job()):
            return []
        is_complete = len(queue) == first.spec.members
        if not is_complete and not all(task.next_attempt > 1 for _, _, task in queue):
            return []
        members = [task for _, _, task in queue]
        members.sort(key=lambda member: member.spec.id.member)
        return members

    def _unit_of(self, cls: TaskClass, task: PendingTask) -> list[PendingTask]:
        return self._members(cls) if cls.is_gang else [task]

    def _admitted(self, task: PendingTask, need: Resources) -> bool:
        """Return whether preset, grant and urgent reserve allow ``need`` to start."""
        spec = task.spec
        if spec.kind is TaskKind.BATCH and not self._policy.admit_batch:
            return False
        team = self._teams[spec.id.team]
        if team.grant_stale:
            self._refresh_grant_left(team)
        if not fits(need, team.grant_left):
            return False
        if self._policy.preemption or spec.urgent:
            return True
        reserve = rules.urgent_reserve(self._capacity)
        left = minus(minus(self._capacity, self._held), need)
        return all(need[i] == 0 or left[i] >= reserve[i] for i in range(len(need)))

    def _refresh_grant_left(self, team: Team) -> None:
        """Update the rest of the team's grant and the shapes that may fit in it."""
        team.grant_stale = False
        team.grant_left = minus(team.grant, team.held)
        team.grant_mask = self._shapes.fitting(team.grant_left)
