"""Workers of the indexed planner, ordered by free capacity."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from savorylead.contracts import TaskId
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

from ._amounts import Amounts, fits, minus, plus
from ._indexed_groups import RANK_BITS, RANK_MASK, FreeCapacityGroups, IndexPosition
from ._planner import PendingTask, Policy
from ._rules import Claim, PackingOrder, placement_cost


class RunningEntry(NamedTuple):
    """A task that has capacity allocated."""

    task: PendingTask
    row: WorkerRow
    since_ms: int
    #: Sequence number, which orders the starts of this planner.
    number: int


class WorkerRow:
    """State of one worker and its running tasks, with its positions in the indexes."""

    __slots__ = (
        "claim",
        "free_after_preemption",
        "groups",
        "service_usage",
        "name",
        "preemption_position",
        "rank",
        "reserved",
        "room",
        "position",
        "state",
        "tasks",
        "worker",
    )

    def __init__(self, name: str, rank: int) -> None:
        self.name = name
        #: Order in which workers were added, to break ties.
        self.rank = rank
        #: None while the planner knows only tasks that run there.
        self.worker: Worker | None = None
        self.state: WorkerState | None = None
        #: Free capacity without the claimed amounts.
        self.room: Amounts = ZERO
        #: Capacity without tasks that must not be, or are already being, checkpointed.
        self.free_after_preemption: Amounts = ZERO
        #: Usage of services, which do not end by themselves.
        self.service_usage = ZERO
        self.claim: Claim | None = None
        self.reserved = False
        self.tasks: dict[TaskId, RunningEntry] = {}
        #: Index that contains the worker by free capacity, if any.
        self.groups: FreeCapacityGroups | None = None
        self.position: IndexPosition = (0, 0, 0)
        #: Position by capacity after preemption, if indexed.
        self.preemption_position: IndexPosition | None = None

    def resize(self, before: Resources, after: Resources) -> None:
        """Apply a change of the worker's capacity."""
        self.room = plus(minus(self.room, before), after)
        self.free_after_preemption = plus(
            minus(self.free_after_preemption, before), after
        )


class FreeCapacityIndex:
    """Finds the best worker for a task without scanning all workers."""

    def __init__(self) -> None:
        self.order = PackingOrder()
        #: Every known worker by its rank.
        self.rows: dict[int, WorkerRow] = {}
        #: Free capacity of each indexed worker, by rank.
        self._free_by_rank: dict[int, Amounts] = {}
        self._free_after_preemption: dict[int, Amounts] = {}
        #: Total free cores of the indexed workers, in thousandths.
        self.free_cores_milli = 0
        self.rebuild(self.order)

    def rebuild(self, order: PackingOrder) -> None:
        """Rebuild all indexes in another packing order."""
        self.order = order
        self.free_cores_milli = 0
        #: By whether the worker has accelerators, then whether it has free slots.
        self._groups = tuple(
            (FreeCapacityGroups(order), FreeCapacityGroups(order))
            for _ in (False, True)
        )
        self._preemption_groups = FreeCapacityGroups(order)
        for row in self.rows.values():
            row.groups = None
            row.preemption_position = None
            self.update(row)
            self.update_after_preemption(row)

    def remove(self, row: WorkerRow) -> None:
        """Remove a worker that is in no index."""
        del self.rows[row.rank]
        self._free_by_rank.pop(row.rank, None)
        self._free_after_preemption.pop(row.rank, None)

    def update(self, row: WorkerRow) -> None:
        """Update the worker's position by free capacity."""
        if row.groups is not None:
            row.groups.discard(row.position)
            row.groups = None
            self.free_cores_milli -= max(self._free_by_rank[row.rank][0], 0)
        if row.state is not WorkerState.READY or row.reserved:
            return
        free = row.room
        groups = self._groups[row.worker.capacity[2] > 0][free[3] > 0]
        row.groups = groups
        row.position = groups.add(free, row.rank)
        self._free_by_rank[row.rank] = free
        self.free_cores_milli += max(free[0], 0)

    def update_after_preemption(self, row: WorkerRow) -> None:
        """Update the worker's position by capacity after preemption."""
        if row.preemption_position is not None:
            self._preemption_groups.discard(row.preemption_position)
            row.preemption_position = None
        if row.state is WorkerState.READY and row.claim is None and not row.reserved:
            row.preemption_position = self._preemption_groups.add(
                row.free_after_preemption, row.rank
            )
            self._free_after_preemption[row.rank] = row.free_after_preemption

    def best(
        self,
        policy: Policy,
        need: Resources,
        avoid: tuple[str, ...],
        racks: Mapping[str, int] | None,
        fewest_in_rack: int,
    ) -> tuple[float, int] | None:
        """Return cost and entry of the worker of lowest cost, or None.

        ``racks`` counts the services of the workspace by rack, or is None for tasks
        that are not spread. ``fewest_in_rack`` is the lowest count of any rack.
        """
        best: tuple[float, int] | None = None
        for accelerated in (False, True):
            if need[2] and not accelerated:
                continue
            for with_slots in (True, False):
                if need[3] and not with_slots:
                    continue
                groups = self._groups[accelerated][with_slots]
                if racks is None:
                    found = self._tightest(groups, policy, need, avoid, accelerated)
                else:
                    found = self._most_spread(
                        groups, policy, need, avoid, accelerated, racks, fewest_in_rack
                    )
                if found is not None and (best is None or found < best):
                    best = found
        return best

    def cheaper(
        self,
        policy: Policy,
        need: Resources,
        plain: int | None,
        accelerated: int | None,
    ) -> tuple[float, int] | None:
        """Return cost and entry of the cheaper of two entries; not for services."""
        if accelerated is None:
            if plain is None:
                return None
            return 0.0, plain
        if plain is None:
            return 0.0, accelerated
        order = self.order
        key = order.key(need)
        left = order.leftover(plain >> RANK_BITS, key, False)
        left_accelerated = order.leftover(accelerated >> RANK_BITS, key, True)
        wastes = not need[2]
        return min(
            (placement_cost(policy, left, 0, False), plain),
            (placement_cost(policy, left_accelerated, 0, wastes), accelerated),
        )

    def tightest_after_preemption(
        self, need: Resources, avoid: tuple[str, ...]
    ) -> WorkerRow | None:
        """Return the tightest worker that fits ``need`` after preemption."""
        accepts = self._accepts(avoid)
        found = self._preemption_groups.first(
            need, self._free_after_preemption, accepts
        )
        return None if found is None else self.rows[found & RANK_MASK]

    def _accepts(self, avoid: tuple[str, ...]) -> Callable[[int], bool] | None:
        if not avoid:
            return None
        rows = self.rows
        return lambda rank: rows[rank].name not in avoid

    def _tightest(
        self,
        groups: FreeCapacityGroups,
        policy: Policy,
        need: Resources,
        avoid: tuple[str, ...],
        accelerated: bool,
    ) -> tuple[float, int] | None:
        entry = groups.first(need, self._free_by_rank, self._accepts(avoid))
        if entry is None:
            return None
        order = self.order
        leftover = order.leftover(entry >> RANK_BITS, order.key(need), accelerated)
        wastes = accelerated and not need[2]
        return placement_cost(policy, leftover, 0, wastes), entry

    def _most_spread(
        self,
        groups: FreeCapacityGroups,
        policy: Policy,
        need: Resources,
        avoid: tuple[str, ...],
        accelerated: bool,
        racks: Mapping[str, int],
        fewest_in_rack: int,
    ) -> tuple[float, int] | None:
        """Search each list until no later worker can have a lower cost."""
        order = self.order
        need_key = order.key(need)
        wastes = accelerated and not need[2]
        best: tuple[float, int] | None = None
        for entries in groups.each(need):
            for entry in entries:
                leftover = order.leftover(entry >> RANK_BITS, need_key, accelerated)
                if best is not None:
                    bound = placement_cost(policy, leftover, fewest_in_rack, wastes)
                    if (bound, entry) >= best:
                        break
                row = self.rows[entry & RANK_MASK]
                if row.name in avoid or not fits(need, row.room):
                    continue
                same = racks.get(row.worker.rack, 0)
                cost = placement_cost(policy, leftover, same, wastes)
                if best is None or (cost, entry) < best:
                    best = (cost, entry)
        return best
