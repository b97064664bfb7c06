"""How the indexed planner finds workers, claims room and reserves workers."""

from __future__ import annotations

from collections.abc import Iterable

from savorylead.contracts import TaskId, TaskKind
from savorylead.resources import Resources
from savorylead.workers import WorkerState

from . import _rules as rules
from ._amounts import fits, minus, plus
from ._indexed_holdings import IndexedHoldings
from ._indexed_rooms import RANK_BITS, RANK_MASK
from ._indexed_rows import WorkerRow
from ._indexed_teams import TaskClass, Team
from ._planner import Decision, PendingTask, Place, Preempt


class IndexedClearing(IndexedHoldings):
    """Finds room by index; looks at every worker only to make a reservation."""

    def __init__(self) -> None:
        super().__init__()
        self._reservation: rules.Reservation | None = None
        #: Jobs whose reservation ran out, with the time of their next turn.
        self._cooling_ms: dict[TaskId, int] = {}
        self._reservation_check_ms = 0

    def drop_worker(self, name: str) -> None:
        """Remove a worker; its tasks must have been removed before."""
        super().drop_worker(name)
        reservation = self._reservation
        if reservation is not None and name in reservation.workers:
            left = reservation.workers - {name}
            self._reservation = reservation._replace(workers=left)

    # -- workers for tasks

    def _search(self, task: PendingTask, cls: TaskClass, now_ms: int) -> str | None:
        """Return the best worker for a task alone; closes shapes that fit nowhere."""
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
        racks, fewest = self._spread(task)
        need = task.spec.resources
        return self._index.best(self._policy, need, task.avoid, racks, fewest)

    def _spread(self, task: PendingTask) -> tuple[dict[str, int] | None, int]:
        """Return the workspace's services by rack, and the lowest of the counts."""
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
        """Return what ``_cheapest`` does, for workers in the index and no service."""
        need = task.spec.resources
        cores, memory, accelerators, slots, connections = need
        avoid = task.avoid
        plain = accelerated = None
        for row in rows:
            room = row.room
            if (
                cores > room[0]
                or slots > room[3]
                or memory > room[1]
                or accelerators > room[2]
                or connections > room[4]
                or row.name in avoid
            ):
                continue
            entry = row.spot[2]
            if row.worker.capacity[2]:
                if accelerated is None or entry < accelerated:
                    accelerated = entry
            elif plain is None or entry < plain:
                plain = entry
        return self._index.cheaper(self._policy, need, plain, accelerated)

    def _cheapest(
        self, task: PendingTask, rows: Iterable[WorkerRow]
    ) -> tuple[float, int] | None:
        """Return cost and entry of the best among a few workers."""
        order = self._index.order
        need = task.spec.resources
        least = order.key(need)
        racks = self._spread(task)[0] or {}
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
                order.leftover(key, least, accelerated),
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
        """Return a place for every member, or nothing; holds no capacity."""
        reservation = self._reservation
        reserved: list[WorkerRow] = []
        if reservation is not None:
            reserved = [self._rows[name] for name in reservation.workers]
        owns = reservation is not None and reservation.job == unit
        fills = self._backfills(now_ms)
        chosen: list[Decision] = []
        touched: list[tuple[WorkerRow, Resources]] = []
        for member in members:
            found = self._best(member)
            if owns:
                others = self._cheapest(member, reserved)
                if found is None or (others is not None and others < found):
                    found = others
            elif found is None and rules.may_backfill(member) and fills:
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
        """Return the members of a job; empty if it is not all there to start."""
        queue = cls.queue
        first = queue[0][2]
        if self._job_running.get(first.spec.id.job()):
            return []
        whole = len(queue) == first.spec.members
        if not whole and not all(task.next_attempt > 1 for _, _, task in queue):
            return []
        members = [task for _, _, task in queue]
        members.sort(key=lambda member: member.spec.id.member)
        return members

    def _unit_of(self, cls: TaskClass, task: PendingTask) -> list[PendingTask]:
        return self._members(cls) if cls.is_gang else [task]

    def _admitted(self, task: PendingTask, need: Resources) -> bool:
        """Return whether preset, grant and urgent reserve let ``need`` start."""
        spec = task.spec
        if spec.kind is TaskKind.BATCH and not self._policy.admit_batch:
            return False
        team = self._teams[spec.id.team]
        if team.room_stale:
            self._refresh_left(team)
        if not fits(need, team.left):
            return False
        if self._policy.preemption or spec.urgent:
            return True
        reserve = rules.urgent_reserve(self._capacity)
        left = minus(minus(self._capacity, self._held), need)
        return all(need[i] == 0 or left[i] >= reserve[i] for i in range(len(need)))

    def _refresh_left(self, team: Team) -> None:
        """Work out what the team's grant leaves, and which shapes may fit in it."""
        team.room_stale = False
        team.left = minus(team.grant, team.held)
        team.room_mask = self._shapes.fitting(team.left)

    # -- claims and reservations

    def _keep_house(self, now_ms: int) -> None:
        for task_id, claim in list(self._claims.items()):
            row = self._rows.get(claim.worker)
            ready = row is not None and row.state is WorkerState.READY
            if now_ms >= claim.until_ms or not ready:
                self._drop_claim(task_id)
        if self._reservation is not None or self._cooling_ms:
            self._end_reservation(now_ms)
        if self._reservation is None and now_ms >= self._reservation_check_ms:
            self._reservation_check_ms = now_ms + rules.RESERVATION_CHECK_MS
            self._make_reservation(now_ms)

    def _reserved_class(self, job: TaskId) -> tuple[TaskClass, PendingTask] | None:
        """Return the class of the reservation's owner and a task of it, if it waits."""
        found = self._pending.get(job)
        if found is not None:
            queued_at_ms, number, cls = found
            position = cls.position(queued_at_ms, number)
            return cls, cls.queue[position][2]
        team = self._teams[job.team]
        for lane in (team.urgent, team.normal):
            cls = lane.classes.get(job)
            if cls is not None:
                return cls, cls.queue[0][2]
        return None

    def _end_reservation(self, now_ms: int) -> None:
        for job, until_ms in list(self._cooling_ms.items()):
            if now_ms >= until_ms:
                del self._cooling_ms[job]
        reservation = self._reservation
        if reservation is None:
            return
        if self._reserved_class(reservation.job) is None:
            self._release_reservation()
        elif now_ms >= reservation.until_ms:
            pause_ms = int(self._policy.reservation_s * 1000)
            self._cooling_ms[reservation.job] = now_ms + pause_ms
            self._release_reservation()

    def _release_reservation(self) -> None:
        for name in self._reservation.workers:
            row = self._rows[name]
            row.reserved = False
            self._open_reserved.left(row)
            self._place_row(row)
        self._reservation = None

    def _make_reservation(self, now_ms: int) -> None:
        """Reserve workers for the longest waiting unit that cannot start."""
        tries = rules.RESERVATION_TRIES
        for _, _, cls, task in self._needy(now_ms):
            members = self._unit_of(cls, task)
            if not members or not self._admitted(task, rules.total_need(members)):
                continue
            if self._fits_now(cls, task, members, now_ms):
                continue
            rows = self._reservable(members)
            if rows:
                self._reserve(rules.unit_of(task), rows, now_ms)
                return
            tries -= 1
            if tries == 0:
                return

    def _needy(self, now_ms: int) -> list[tuple[int, int, TaskClass, PendingTask]]:
        """Return jobs, and single tasks that waited long, oldest first."""
        aged_ms = now_ms - int(self._policy.ageing_s * 1000)
        found = []
        for team in self._teams.values():
            for lane in (team.urgent, team.normal):
                for queued_at_ms, _, _, cls in lane.entries:
                    if queued_at_ms > aged_ms and not cls.is_gang:
                        continue
                    for queued_at_ms, number, task in cls.queue:
                        unit = rules.unit_of(task)
                        if unit not in self._cooling_ms and unit not in self._claims:
                            if cls.is_gang or queued_at_ms <= aged_ms:
                                found.append((queued_at_ms, number, cls, task))
                            break
        found.sort(key=lambda entry: entry[:2])
        return found

    def _fits_now(
        self,
        cls: TaskClass,
        task: PendingTask,
        members: list[PendingTask],
        now_ms: int,
    ) -> bool:
        if cls.is_gang:
            return bool(self._place_all(members, rules.unit_of(task), now_ms))
        if not self._open.mask() & cls.shape.bit:
            return False
        return self._search(task, cls, now_ms) is not None

    def _reservable(self, members: list[PendingTask]) -> list[WorkerRow]:
        """Return workers that hold all members once their batch work has ended."""
        order = self._index.order
        rooms: dict[WorkerRow, Resources] = {}
        for row in self._rows.values():
            if row.state is WorkerState.READY:
                room = row.worker.capacity.minus(row.lasting)
                rooms[row] = room.minus(row.claim.need) if row.claim else room
        rows = sorted(rooms, key=lambda row: (-order.key(rooms[row]), row.rank))
        chosen: dict[WorkerRow, None] = {}
        for member in members:
            need = member.spec.resources
            for row in rows:
                if need.fits(rooms[row]) and row.name not in member.avoid:
                    rooms[row] = rooms[row].minus(need)
                    chosen[row] = None
                    break
            else:
                return []
        return list(chosen)

    def _reserve(self, unit: TaskId, rows: list[WorkerRow], now_ms: int) -> None:
        until_ms = now_ms + int(self._policy.reservation_s * 1000)
        names = frozenset(row.name for row in rows)
        self._reservation = rules.Reservation(unit, names, until_ms)
        for row in rows:
            row.reserved = True
            self._place_row(row)

    def _reserved_start(self, now_ms: int) -> list[Decision]:
        """Start the job that holds the reservation, if it fits by now."""
        if self._reservation is None:
            return []
        job = self._reservation.job
        found = self._reserved_class(job)
        if found is None or job in self._claims:
            return []
        cls, task = found
        members = self._unit_of(cls, task)
        if not members or not self._admitted(task, rules.total_need(members)):
            return []
        return self._place_all(members, job, now_ms)

    # -- preemption

    def _clear_room(self, task: PendingTask) -> list[Decision]:
        """Return what to checkpoint on the tightest worker that then has room."""
        if not self._admitted(task, task.spec.resources):
            return []
        need = task.spec.resources
        row = self._index.tightest_potential(need, task.avoid)
        if row is None:
            return []
        found = [
            entry
            for task_id, entry in row.tasks.items()
            if task_id not in self._stopping and rules.is_preemptible(entry.task)
        ]
        found.sort(key=lambda entry: (-entry.since_ms, -entry.number))
        victims = rules.fewest_victims(need, Resources(*row.room), found)
        return [Preempt(v.task.spec.id, row.name, task.spec.id) for v in victims]
