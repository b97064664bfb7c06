"""Teams of the indexed planner: their pending tasks by class, and their order."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Hashable

from savorylead.contracts import TaskId, TaskKind
from savorylead.resources import ZERO, Resources

from ._amounts import Amounts
from ._indexed_rows import RunningEntry
from ._indexed_shapes import Shape
from ._planner import PendingTask
from ._rules import is_gang

#: A pending task: queue time in Unix milliseconds, sequence number, and the task.
QueueEntry = tuple[int, int, PendingTask]


class TaskClass:
    """Pending tasks of one team that fit on the same workers, oldest first.

    Each all-at-once job has its own class.
    """

    __slots__ = (
        "cores_milli",
        "failed_version",
        "is_batch",
        "is_gang",
        "is_service",
        "key",
        "lane",
        "queue",
        "shape",
    )

    def __init__(
        self, key: Hashable, lane: Lane, shape: Shape, task: PendingTask
    ) -> None:
        self.key = key
        self.lane = lane
        self.lane = lane
        self.shape = shape
        #: For a job, the planner's ``_fit_version`` when the job last did not fit.
        self.failed_version = -1
        #: For a job, the total cores of its pending members, in thousandths.
        self.cores_milli = 0
        self.queue: list[QueueEntry] = []
        self.is_gang = is_gang(task)
        self.is_batch = task.spec.kind is TaskKind.BATCH
        self.is_service = task.spec.kind is TaskKind.SERVICE

    def queue_key(self) -> tuple[int, int]:
        """Return queue time and sequence number of the oldest task."""
        return self.queue[0][:2]

    def position(self, queued_at_ms: int, number: int) -> int:
        """Return the index of an entry in the queue."""
        if self.queue[0][1] == number:
            return 0
        return bisect_left(self.queue, (queued_at_ms, number))


class Lane:
    """The classes of a team's urgent tasks, or those of its other tasks.

    They are ordered by their oldest tasks. Each team has one lane for either kind.
    """

    __slots__ = ("_by_bit", "classes", "entries", "mask", "team")

    def __init__(self, team: Team) -> None:
        self.team = team
        self.classes: dict[Hashable, TaskClass] = {}
        #: Queue time and sequence number of the oldest task, shape bit, and class.
        self.entries: list[tuple[int, int, int, TaskClass]] = []
        #: Bits of the shapes of all classes.
        self.mask = 0
        self._by_bit: dict[int, list[TaskClass]] = {}

    def add_class(self, cls: TaskClass) -> None:
        """Add an empty class."""
        bit = cls.shape.bit
        self.classes[cls.key] = cls
        self._by_bit.setdefault(bit, []).append(cls)
        self.mask |= bit

    def drop_class(self, cls: TaskClass) -> None:
        """Remove an empty class."""
        bit = cls.shape.bit
        del self.classes[cls.key]
        same = self._by_bit[bit]
        same.remove(cls)
        if not same:
            del self._by_bit[bit]
            self.mask &= ~bit

    def oldest_by_scan(self, mask: int) -> TaskClass:
        """Return the class with the oldest task among the shapes of ``mask``.

        Scans the classes by age, which is fast if the mask has many shapes. At least
        one of them must have a class here.
        """
        return next(cls for _, _, bit, cls in self.entries if bit & mask)

    def oldest_by_shape(self, mask: int) -> TaskClass:
        """Like ``oldest_by_scan``, but looks up each shape; fast for few shapes."""
        classes: list[TaskClass] = []
        while mask:
            bit = mask & -mask
            mask ^= bit
            classes += self._by_bit[bit]
        return min(classes, key=TaskClass.queue_key)

    def push(self, cls: TaskClass, entry: QueueEntry) -> None:
        """Add a task to its class."""
        queue = cls.queue
        if queue and queue[-1] < entry:
            queue.append(entry)
            return
        if queue:
            self._unlink(cls)
        insort(queue, entry)
        self._link(cls)

    def remove(self, cls: TaskClass, queued_at_ms: int, number: int) -> PendingTask:
        """Remove a task from its class, which may then be empty."""
        queue = cls.queue
        if queue[0][1] != number:
            return queue.pop(cls.position(queued_at_ms, number))[2]
        self._unlink(cls)
        task = queue.pop(0)[2]
        if queue:
            self._link(cls)
        return task

    def _link(self, cls: TaskClass) -> None:
        queued_at_ms, number, _ = cls.queue[0]
        insort(self.entries, (queued_at_ms, number, cls.shape.bit, cls))

    def _unlink(self, cls: TaskClass) -> None:
        queued_at_ms, number, _ = cls.queue[0]
        del self.entries[bisect_left(self.entries, (queued_at_ms, number))]


class Team:
    """One team: its weight, grant, usage and pending tasks."""

    __slots__ = (
        "elsewhere",
        "grant",
        "held",
        "grant_left",
        "name",
        "normal",
        "grant_mask",
        "grant_stale",
        "running",
        "share",
        "share_stale",
        "urgent",
        "waiting",
        "wanted",
        "weight",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 0.0
        self.grant = ZERO
        self.held: Amounts = ZERO
        self.wanted: Amounts = ZERO
        #: Unused part of the grant, unless ``grant_stale``.
        self.grant_left: Amounts = ZERO
        self.elsewhere = ZERO
        self.urgent = Lane(self)
        self.normal = Lane(self)
        #: Running tasks in order of their starts.
        self.running: dict[TaskId, RunningEntry] = {}
        #: Number of pending tasks.
        self.waiting = 0
        #: Shapes that may fit in the unused part of the grant, unless ``grant_stale``.
        self.grant_mask = 0
        self.grant_stale = True
        #: Weighted dominant share, unless ``share_stale``; None without pending tasks.
        self.share: float | None = None
        self.share_stale = False


class TeamOrder:
    """Teams with pending tasks, the one furthest below its share first."""

    def __init__(self) -> None:
        self.fleet = ZERO
        #: Index and capacity of each dimension that is not zero in the fleet.
        self._dimensions: list[tuple[int, int]] = []
        self._entries: list[tuple[float, str, Team]] = []
        self._stale: list[Team] = []

    def set_fleet(self, fleet: Resources) -> None:
        """Replace the fleet's capacity.

        The caller must then call ``invalidate`` for every team.
        """
        self.fleet = fleet
        self._dimensions = [
            (i, capacity) for i, capacity in enumerate(fleet) if capacity > 0
        ]

    def invalidate(self, team: Team) -> None:
        """Record that the team's share or its having pending tasks may have changed."""
        if not team.share_stale:
            team.share_stale = True
            self._stale.append(team)

    def current(self) -> list[tuple[float, str, Team]]:
        """Return the teams in order; callers must not modify or retain the list."""
        if self._stale:
            for team in self._stale:
                self._reposition(team)
            self._stale.clear()
        return self._entries

    def _reposition(self, team: Team) -> None:
        team.share_stale = False
        share = self._share(team) if team.waiting else None
        if share == team.share:
            return
        entries = self._entries
        if team.share is not None:
            del entries[bisect_left(entries, (team.share, team.name))]
        team.share = share
        if share is not None:
            insort(entries, (share, team.name, team))

    def _share(self, team: Team) -> float:
        """Return the same value as ``weighted_share``."""
        if team.weight <= 0:
            return float("inf")
        share = 0.0
        held, elsewhere = team.held, team.elsewhere
        for i, capacity in self._dimensions:
            part = (held[i] + elsewhere[i]) / capacity
            if part > share:
                share = part
        return share / team.weight
