"""Workers of the indexed planner, kept in the order of their free room."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Mapping
from typing import NamedTuple

from savorylead.contracts import TaskId
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

from ._planner import PendingTask, Policy
from ._rules import Claim, PackingOrder, placement_cost

#: Low bits of an index entry, which tell the worker; the high bits are its key.
RANK_BITS = 24
RANK_MASK = (1 << RANK_BITS) - 1


class RunningEntry(NamedTuple):
    """A task that holds capacity."""

    task: PendingTask
    row: WorkerRow
    since_ms: int
    #: Order of the start among all starts of this planner.
    number: int


class WorkerRow:
    """One worker with what it holds; ``room`` is what others than claims may use."""

    __slots__ = (
        "claim",
        "entry",
        "held",
        "lasting",
        "name",
        "placed_in",
        "potential",
        "preemptible",
        "rank",
        "reserved",
        "room",
        "state",
        "tasks",
        "worker",
    )

    def __init__(self, name: str, rank: int) -> None:
        self.name = name
        #: Order in which workers were first seen, which breaks ties.
        self.rank = rank
        #: None while the planner only knows tasks that run there.
        self.worker: Worker | None = None
        self.state: WorkerState | None = None
        self.held = ZERO
        #: Part of ``held`` that urgent work may checkpoint.
        self.preemptible = ZERO
        #: Part of ``held`` that services have, which does not end by itself.
        self.lasting = ZERO
        self.room = ZERO
        self.claim: Claim | None = None
        self.reserved = False
        self.tasks: dict[TaskId, RunningEntry] = {}
        #: The list and entry by which the room is indexed.
        self.placed_in: list[int] | None = None
        self.entry = 0
        #: The entry by which room and preemptible work are indexed together.
        self.potential: int | None = None

    def update_room(self) -> None:
        """Work out ``room`` from the capacity, what is held and what is claimed."""
        capacity = self.worker.capacity if self.worker else ZERO
        room = capacity.minus(self.held)
        if self.claim is not None:
            room = room.minus(self.claim.need)
        self.room = room


class RoomIndex:
    """Sorted lists of workers by free room; a change costs two binary searches."""

    def __init__(self) -> None:
        self.order = PackingOrder()
        #: Every known worker by its rank.
        self.rows: dict[int, WorkerRow] = {}
        #: By whether the worker has accelerators and whether it has free slots.
        self._lists: tuple[list[int], ...] = ([], [], [], [])
        self._potentials: list[int] = []

    def rebuild(self, order: PackingOrder) -> None:
        """Order the workers by other weights."""
        self.order = order
        for entries in (*self._lists, self._potentials):
            entries.clear()
        for row in self.rows.values():
            row.placed_in = None
            row.potential = None
            self.update(row)
            self.update_potential(row)

    def update(self, row: WorkerRow) -> None:
        """Move the worker to where its room belongs."""
        placed_in = row.placed_in
        if placed_in is not None:
            del placed_in[bisect_left(placed_in, row.entry)]
            row.placed_in = None
        if row.state is not WorkerState.READY or row.reserved:
            return
        room = row.room
        row.entry = self.order.key(room) << RANK_BITS | row.rank
        row.placed_in = self._lists[
            (2 if row.worker.capacity[2] else 0) + (1 if room[3] > 0 else 0)
        ]
        insort(row.placed_in, row.entry)

    def update_potential(self, row: WorkerRow) -> None:
        """Move the worker to where its room after all preemptions belongs."""
        entry = None
        claimed = row.claim is not None or row.reserved
        if row.state is WorkerState.READY and not claimed:
            room = row.room.plus(row.preemptible)
            entry = self.order.key(room) << RANK_BITS | row.rank
        if entry == row.potential:
            return
        if row.potential is not None:
            del self._potentials[bisect_left(self._potentials, row.potential)]
        row.potential = entry
        if entry is not None:
            insort(self._potentials, entry)

    def best(
        self,
        policy: Policy,
        need: Resources,
        avoid: tuple[str, ...],
        racks: Mapping[str, int] | None,
        fewest_in_rack: int,
    ) -> tuple[float, int] | None:
        """Return cost and entry of the worker that suits best, or None.

        ``racks`` counts the services of the workspace by rack and is None for
        tasks that need no spreading. ``fewest_in_rack`` is their lowest count.
        """
        best: tuple[float, int] | None = None
        least = self.order.key(need)
        for accelerated in (False, True):
            if need[2] and not accelerated:
                continue
            wastes = accelerated and not need[2]
            for with_slots in (True, False):
                if need[3] and not with_slots:
                    continue
                entries = self._lists[2 * accelerated + with_slots]
                if racks is None:
                    found = self._tightest(entries, need, avoid)
                    if found is not None:
                        leftover = ((found >> RANK_BITS) - least) / self.order.whole
                        cost = placement_cost(policy, leftover, 0, wastes)
                        if best is None or (cost, found) < best:
                            best = (cost, found)
                else:
                    best = self._most_spread(
                        entries, policy, need, avoid, racks, fewest_in_rack, best
                    )
        return best

    def tightest_potential(
        self, need: Resources, avoid: tuple[str, ...]
    ) -> WorkerRow | None:
        """Return the tightest worker with room once its preemptible work is gone."""
        entries = self._potentials
        start = bisect_left(entries, self.order.key(need) << RANK_BITS)
        for position in range(start, len(entries)):
            row = self.rows[entries[position] & RANK_MASK]
            if row.name not in avoid and need.fits(row.room.plus(row.preemptible)):
                return row
        return None

    def _tightest(
        self, entries: list[int], need: Resources, avoid: tuple[str, ...]
    ) -> int | None:
        rows = self.rows
        cores, memory, accelerators, slots, connections = need
        start = bisect_left(entries, self.order.key(need) << RANK_BITS)
        for position in range(start, len(entries)):
            entry = entries[position]
            row = rows[entry & RANK_MASK]
            room = row.room
            if (
                memory <= room[1]
                and cores <= room[0]
                and accelerators <= room[2]
                and slots <= room[3]
                and connections <= room[4]
                and (not avoid or row.name not in avoid)
            ):
                return entry
        return None

    def _most_spread(
        self,
        entries: list[int],
        policy: Policy,
        need: Resources,
        avoid: tuple[str, ...],
        racks: Mapping[str, int],
        fewest_in_rack: int,
        best: tuple[float, int] | None,
    ) -> tuple[float, int] | None:
        """Search until no worker further on can cost less than the best."""
        least = self.order.key(need)
        whole = self.order.whole
        start = bisect_left(entries, least << RANK_BITS)
        for position in range(start, len(entries)):
            entry = entries[position]
            row = self.rows[entry & RANK_MASK]
            worker = row.worker
            leftover = ((entry >> RANK_BITS) - least) / whole
            wastes = worker.capacity[2] > 0 and need[2] == 0
            if best is not None:
                bound = placement_cost(policy, leftover, fewest_in_rack, wastes)
                if (bound, entry) >= best:
                    break
            if row.name in avoid or not need.fits(row.room):
                continue
            cost = placement_cost(policy, leftover, racks.get(worker.rack, 0), wastes)
            if best is None or (cost, entry) < best:
                best = (cost, entry)
        return best
