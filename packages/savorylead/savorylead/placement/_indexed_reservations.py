"""Reservations and preemption of the indexed planner."""

from __future__ import annotations

from savorylead.contracts import TaskId
from savorylead.resources import Resources
from savorylead.workers import WorkerState

from . import _rules as rules
from ._indexed_rows import WorkerRow
from ._indexed_search import IndexedSearch
from ._indexed_teams import TaskClass
from ._planner import Decision, PendingTask, Preempt


class IndexedReservations(IndexedSearch):
    """Reserves workers and preempts; only a new reservation scans all workers."""

    def __init__(self) -> None:
        super().__init__()
        #: Time from which a unit whose reservation expired may get another one.
        self._reservation_backoff_ms: dict[TaskId, int] = {}
        self._reservation_check_ms = 0
        #: Value of ``_fit_version`` when the reservation's owner was last tried.
        self._reserved_tried_version = -1

    def drop_worker(self, name: str) -> None:
        """Remove a worker, whose tasks must have been removed before."""
        super().drop_worker(name)
        reservation = self._reservation
        if reservation is not None and name in reservation.workers:
            left = reservation.workers - {name}
            self._reservation = reservation._replace(workers=left)

    # -- claims and reservations

    def _refresh_reservations(self, now_ms: int) -> None:
        for task_id, claim in list(self._claims.items()):
            row = self._rows.get(claim.worker)
            ready = row is not None and row.state is WorkerState.READY
            if now_ms >= claim.until_ms or not ready:
                self._drop_claim(task_id)
        if self._reservation is not None or self._reservation_backoff_ms:
            self._end_reservation(now_ms)
        if self._reservation is None and now_ms >= self._reservation_check_ms:
            self._reservation_check_ms = now_ms + rules.RESERVATION_CHECK_MS
            self._make_reservation(now_ms)

    def _reserved_class(self, job: TaskId) -> tuple[TaskClass, PendingTask] | None:
        """Return class and task of the reservation's owner, or None if not pending."""
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
        for job, until_ms in list(self._reservation_backoff_ms.items()):
            if now_ms >= until_ms:
                del self._reservation_backoff_ms[job]
        reservation = self._reservation
        if reservation is None:
            return
        if self._reserved_class(reservation.job) is None:
            self._release_reservation()
        elif now_ms >= reservation.until_ms:
            pause_ms = int(self._policy.reservation_s * 1000)
            self._reservation_backoff_ms[reservation.job] = now_ms + pause_ms
            self._release_reservation()

    def _release_reservation(self) -> None:
        for name in self._reservation.workers:
            row = self._rows[name]
            row.reserved = False
            self._open_reserved.remove_worker(row)
            self._reindex_row(row)
        self._reservation = None

    def _make_reservation(self, now_ms: int) -> None:
        """Reserve workers for the longest waiting unit that cannot start."""
        tries = rules.RESERVATION_TRIES
        for _, _, cls, task in self._reservation_candidates(now_ms):
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

    def _reservation_candidates(
        self, now_ms: int
    ) -> list[tuple[int, int, TaskClass, PendingTask]]:
        """Return jobs, and single tasks that waited ``ageing_s`` or more, by age."""
        aged_ms = now_ms - int(self._policy.ageing_s * 1000)
        found = []
        for team in self._teams.values():
            for lane in (team.urgent, team.normal):
                for queued_at_ms, _, _, cls in lane.entries:
                    if cls in self._impossible:
                        continue
                    if queued_at_ms > aged_ms and not cls.is_gang:
                        continue
                    for queued_at_ms, number, task in cls.queue:
                        unit = rules.unit_of(task)
                        if (
                            unit not in self._reservation_backoff_ms
                            and unit not in self._claims
                        ):
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
        """Return workers that fit all members once their batch tasks have ended."""
        order = self._index.order
        free_by_row: dict[WorkerRow, Resources] = {}
        for row in self._rows.values():
            if row.state is WorkerState.READY:
                free = row.worker.capacity.minus(row.service_usage)
                free_by_row[row] = free.minus(row.claim.need) if row.claim else free
        rows = sorted(
            free_by_row, key=lambda row: (-order.key(free_by_row[row]), row.rank)
        )
        chosen: dict[WorkerRow, None] = {}
        for member in members:
            need = member.spec.resources
            for row in rows:
                if need.fits(free_by_row[row]) and row.name not in member.avoid:
                    free_by_row[row] = free_by_row[row].minus(need)
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
            self._reindex_row(row)

    def _reserved_start(self, now_ms: int) -> list[Decision]:
        """Return the start of the unit that has the reservation, if it fits now."""
        if (
            self._reservation is None
            or self._reserved_tried_version == self._fit_version
        ):
            return []
        self._reserved_tried_version = self._fit_version
        job = self._reservation.job
        found = self._reserved_class(job)
        if found is None or job in self._claims:
            return []
        cls, task = found
        if cls.is_gang and cls.cores_milli > self._cores_for_owner():
            return []
        members = self._unit_of(cls, task)
        if not members or not self._admitted(task, rules.total_need(members)):
            return []
        return self._place_all(members, job, now_ms)

    def _cores_for_owner(self) -> int:
        """Return an upper bound on the free cores for the reservation's owner."""
        reserved = (self._rows[name].room[0] for name in self._reservation.workers)
        return self._index.free_cores_milli + sum(max(cores, 0) for cores in reserved)

    # -- preemption

    def _preemptions_for(self, task: PendingTask) -> list[Decision]:
        """Return preemptions on the tightest worker that fits the task after them."""
        if not self._admitted(task, task.spec.resources):
            return []
        need = task.spec.resources
        row = self._index.tightest_after_preemption(need, task.avoid)
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
