"""Worker search, reservations and preemption of the naive planner."""

from __future__ import annotations

from collections.abc import Hashable, Iterable

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import ZERO, Resources
from savorylead.workers import WorkerState

from . import _rules as rules
from ._naive_state import NaiveState, QueuedTask, RunningTask, total
from ._planner import Decision, PendingTask, Place


class NaiveReservations(NaiveState):
    """Finds, claims and reserves workers by scanning all of them."""

    def __init__(self) -> None:
        super().__init__()
        #: Time from which a unit whose reservation expired may get another one.
        self._reservation_backoff_ms: dict[TaskId, int] = {}
        self._reservation_check_ms = 0

    def ever_fits(self, spec: TaskSpec) -> bool:
        """Return whether the task would fit on some idle worker of this shard."""
        need = spec.resources
        return any(need.fits(worker.capacity) for worker in self._workers.values())

    # -- expiry of claims and reservations

    def _refresh_reservations(self, now_ms: int) -> None:
        for task_id, claim in list(self._claims.items()):
            ready = self._states.get(claim.worker) is WorkerState.READY
            if now_ms >= claim.until_ms or not ready:
                del self._claims[task_id]
        self._end_reservation(now_ms)
        if self._reservation is None and now_ms >= self._reservation_check_ms:
            self._reservation_check_ms = now_ms + rules.RESERVATION_CHECK_MS
            self._reservation = self._new_reservation(now_ms)

    def _end_reservation(self, now_ms: int) -> None:
        for job, until_ms in list(self._reservation_backoff_ms.items()):
            if now_ms >= until_ms:
                del self._reservation_backoff_ms[job]
        reservation = self._reservation
        if reservation is None:
            return
        if not any(rules.unit_of(q.task) == reservation.job for q in self._in_order()):
            self._reservation = None
        elif now_ms >= reservation.until_ms:
            pause_ms = int(self._policy.reservation_s * 1000)
            self._reservation_backoff_ms[reservation.job] = now_ms + pause_ms
            self._reservation = None

    def _new_reservation(self, now_ms: int) -> rules.Reservation | None:
        """Return a reservation for the longest waiting unit that cannot start."""
        aged_ms = now_ms - int(self._policy.ageing_s * 1000)
        tries = rules.RESERVATION_TRIES
        seen_classes: set[Hashable] = set()
        for queued in self._in_order():
            task = queued.task
            class_key = (task.spec.id.team, rules.equivalence_class(task))
            unit = rules.unit_of(task)
            if (
                class_key in seen_classes
                or unit in self._reservation_backoff_ms
                or unit in self._claims
            ):
                continue
            seen_classes.add(class_key)
            waits_long = queued.queued_at_ms <= aged_ms
            if not rules.is_gang(task) and not waits_long:
                continue
            members = self._members(task)
            if not all(self.ever_fits(member.spec) for member in members):
                continue
            if not self._admitted(members) or self._start_of(members, now_ms):
                continue
            workers = self._reservable(members)
            if workers:
                until_ms = now_ms + int(self._policy.reservation_s * 1000)
                return rules.Reservation(unit, frozenset(workers), until_ms)
            tries -= 1
            if tries == 0:
                return None
        return None

    def _reservable(self, members: list[PendingTask]) -> set[str]:
        """Return workers that fit all members once their batch tasks have ended."""
        order = self._order()
        free_by_name = {}
        for name in self._workers:
            if self._states[name] is WorkerState.READY:
                free_by_name[name] = self._free_after_batch(name)
        names = sorted(
            free_by_name, key=lambda n: (-order.key(free_by_name[n]), self._ranks[n])
        )
        chosen = set()
        for member in members:
            need = member.spec.resources
            fitting = (
                n for n in names if n not in member.avoid and need.fits(free_by_name[n])
            )
            name = next(fitting, None)
            if name is None:
                return set()
            free_by_name[name] = free_by_name[name].minus(need)
            chosen.add(name)
        return chosen

    def _free_after_batch(self, name: str) -> Resources:
        lasting = [
            running.task.spec.resources
            for running in self._running.values()
            if running.worker == name and running.task.spec.kind is TaskKind.SERVICE
        ]
        claimed = [c.need for c in self._claims.values() if c.worker == name]
        held = total([*lasting, *claimed])
        return self._workers[name].capacity.minus(held)

    def _reserved_start(self, now_ms: int) -> list[Decision]:
        """Return the start of the unit that has the reservation, if it fits now."""
        if self._reservation is None or self._reservation.job in self._claims:
            return []
        job = self._reservation.job
        members = [q.task for q in self._in_order() if rules.unit_of(q.task) == job]
        members = self._members(members[0]) if members else []
        if not self._admitted(members):
            return []
        return self._start_of(members, now_ms)

    # -- units that start together

    def _in_order(self) -> list[QueuedTask]:
        """Return pending tasks, oldest first."""
        return sorted(self._pending.values(), key=lambda q: (q.queued_at_ms, q.number))

    def _members(self, task: PendingTask) -> list[PendingTask]:
        """Return the tasks that must start together; empty if some are missing.

        A job whose members have run before consists only of its remaining members,
        none of which may still be running.
        """
        if not rules.is_gang(task):
            return [task]
        job = task.spec.id.job()
        if any(r.task.spec.id.job() == job for r in self._running.values()):
            return []
        members = [
            q.task for q in self._pending.values() if rules.unit_of(q.task) == job
        ]
        members.sort(key=lambda member: member.spec.id.member)
        is_complete = len(members) == task.spec.members
        all_retried = all(member.next_attempt > 1 for member in members)
        return members if is_complete or all_retried else []

    def _admitted(self, members: list[PendingTask]) -> bool:
        """Return whether preset, grant and urgent reserve let all members start."""
        if not members:
            return False
        spec = members[0].spec
        if spec.kind is TaskKind.BATCH and not self._policy.admit_batch:
            return False
        need = total([member.spec.resources for member in members])
        grant = self._grants.get(spec.id.team, ZERO)
        if not self.held_by_team(spec.id.team).plus(need).fits(grant):
            return False
        if spec.urgent or self._policy.preemption:
            return True
        reserve = rules.urgent_reserve(self._capacity())
        left = self._shard_free().minus(need)
        return all(need[i] == 0 or left[i] >= reserve[i] for i in range(len(reserve)))

    def _start_of(self, members: list[PendingTask], now_ms: int) -> list[Decision]:
        """Return a placement for every member, or an empty list."""
        extra: dict[str, Resources] = {}
        chosen: list[Decision] = []
        for member in members:
            worker = self._best_worker(member, now_ms, extra)
            if worker is None:
                return []
            extra[worker] = extra.get(worker, ZERO).plus(member.spec.resources)
            chosen.append(Place(member.spec.id, worker))
        return chosen

    # -- workers

    def _best_worker(
        self, task: PendingTask, now_ms: int, extra: dict[str, Resources]
    ) -> str | None:
        """Return the worker of lowest cost; reserved workers only if no other fits."""
        reservation = self._reservation
        if reservation is None or reservation.job == rules.unit_of(task):
            return self._cheapest(task, self._workers, extra)
        others = [name for name in self._workers if name not in reservation.workers]
        best = self._cheapest(task, others, extra)
        ends_ms = now_ms + rules.BACKFILL_RUN_MS
        backfills = self._policy.backfill and rules.may_backfill(task)
        if best is None and backfills and ends_ms <= reservation.until_ms:
            return self._cheapest(task, reservation.workers, extra)
        return best

    def _cheapest(
        self, task: PendingTask, names: Iterable[str], extra: dict[str, Resources]
    ) -> str | None:
        need = task.spec.resources
        order = self._order()
        best = None
        for name in names:
            free = self._unclaimed(name, task.spec.id).minus(extra.get(name, ZERO))
            ready = self._states.get(name) is WorkerState.READY
            if not ready or name in task.avoid or not need.fits(free):
                continue
            cost = self._cost(task, name, free, order)
            rank = (cost, order.key(free), self._ranks[name])
            if best is None or rank < best[0]:
                best = (rank, name)
        return best[1] if best else None

    def _unclaimed(self, name: str, task_id: TaskId) -> Resources:
        """Return the worker's free capacity less the claims of other tasks."""
        claimed = [
            claim.need
            for owner, claim in self._claims.items()
            if claim.worker == name and owner != task_id
        ]
        return self._free(name).minus(total(claimed))

    def _cost(
        self, task: PendingTask, name: str, free: Resources, order: rules.PackingOrder
    ) -> float:
        worker = self._workers[name]
        need = task.spec.resources
        accelerated = worker.capacity.accelerators > 0
        leftover = order.leftover(order.key(free), order.key(need), accelerated)
        same = 0
        if task.spec.kind is TaskKind.SERVICE:
            same = self._same_in_rack(task, worker.rack)
        wastes = accelerated and need.accelerators == 0
        return rules.placement_cost(self._policy, leftover, same, wastes)

    # -- preemption

    def _victims(self, task: PendingTask) -> list[RunningTask]:
        """Return victims on the tightest worker that fits the task after preemption."""
        need = task.spec.resources
        order = self._order()
        taken = {claim.worker for claim in self._claims.values()}
        if self._reservation is not None:
            taken |= self._reservation.workers
        best = None
        for name in self._workers:
            ready = self._states[name] is WorkerState.READY
            if not ready or name in taken or name in task.avoid:
                continue
            potential = self._free(name).plus(
                total([r.task.spec.resources for r in self._preemptible(name)])
            )
            rank = (order.key(potential), self._ranks[name])
            if need.fits(potential) and (best is None or rank < best[0]):
                best = (rank, name)
        if best is None:
            return []
        return rules.fewest_victims(
            need, self._free(best[1]), self._preemptible(best[1])
        )

    def _preemptible(self, name: str) -> list[RunningTask]:
        """Return the worker's preemptible tasks, most recently started first."""
        found = [
            running
            for running in self._running.values()
            if running.worker == name
            and running.task.spec.id not in self._stopping
            and rules.is_preemptible(running.task)
        ]
        return sorted(found, key=lambda r: (-r.since_ms, -r.number))
