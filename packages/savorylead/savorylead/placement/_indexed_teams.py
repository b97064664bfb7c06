"""Teams of the indexed planner: their waiting tasks by class, and their order."""

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

#: A waiting task: when it was queued, its number in this planner, the task.
QueueEntry = tuple[int, int, PendingTask]


class TaskClass:
    """Waiting tasks of one team that fit the same workers, oldest first.

    The members of an all-at-once job are a class of their own.
    """

    __slots__ = (
        "cores_milli",
        "failed_at",
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
        #: For a job, the planner's growth count when it was last found not to fit.
        self.failed_at = -1
        #: For a job, the cores that its waiting members need together.
        self.cores_milli = 0
        self.queue: list[QueueEntry] = []
        self.is_gang = is_gang(task)
        self.is_batch = task.spec.kind is TaskKind.BATCH
        self.is_service = task.spec.kind is TaskKind.SERVICE

    def place(self) -> tuple[int, int]:
        """Return queue time and number of the oldest task."""
        return self.queue[0][:2]

    def position(self, queued_at_ms: int, number: int) -> int:
        """Return where in the queue an entry is."""
        if self.queue[0][1] == number:
            return 0
        return bisect_left(self.queue, (queued_at_ms, number))


class Lane:
    """A team's classes of one urgency, ordered by their oldest tasks."""

    __slots__ = ("_by_bit", "classes", "entries", "mask", "team")

    def __init__(self, team: Team) -> None:
        self.team = team
        self.classes: dict[Hashable, TaskClass] = {}
        #: Queue time and number of the oldest task, the shape's bit, the class.
        self.entries: list[tuple[int, int, int, TaskClass]] = []
        #: Bits of all shapes that wait here.
        self.mask = 0
        self._by_bit: dict[int, list[TaskClass]] = {}

    def add_class(self, cls: TaskClass) -> None:
        """Add a class that has no task yet."""
        bit = cls.shape.bit
        self.classes[cls.key] = cls
        self._by_bit.setdefault(bit, []).append(cls)
        self.mask |= bit

    def drop_class(self, cls: TaskClass) -> None:
        """Remove a class that has no task left."""
        bit = cls.shape.bit
        del self.classes[cls.key]
        same = self._by_bit[bit]
        same.remove(cls)
        if not same:
            del self._by_bit[bit]
            self.mask &= ~bit

    def first(self, mask: int) -> TaskClass:
        """Return the class with the oldest task among the shapes of ``mask``.

        Goes by age; good if many shapes are in the mask. At least one must wait here.
        """
        return next(cls for _, _, bit, cls in self.entries if bit & mask)

    def oldest(self, mask: int) -> TaskClass:
        """Return what ``first`` does; good if few shapes are in the mask."""
        classes: list[TaskClass] = []
        while mask:
            bit = mask & -mask
            mask ^= bit
            classes += self._by_bit[bit]
        return min(classes, key=TaskClass.place)

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

    def pull(self, cls: TaskClass, queued_at_ms: int, number: int) -> PendingTask:
        """Take a task out of its class, which may then be empty."""
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
    """One team: its weight, grant, holdings and waiting tasks."""

    __slots__ = (
        "elsewhere",
        "grant",
        "held",
        "left",
        "name",
        "normal",
        "room_mask",
        "room_stale",
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
        #: What is left of the grant, unless ``room_stale``.
        self.left: Amounts = ZERO
        self.elsewhere = ZERO
        self.urgent = Lane(self)
        self.normal = Lane(self)
        #: What runs, in the order of the starts.
        self.running: dict[TaskId, RunningEntry] = {}
        #: How many tasks wait.
        self.waiting = 0
        #: Shapes that may fit in what is left of the grant, unless stale.
        self.room_mask = 0
        self.room_stale = True
        #: Weighted dominant share, unless stale; None while no task waits.
        self.share: float | None = None
        self.share_stale = False


class TeamOrder:
    """The teams that wait, the one furthest below its share first."""

    def __init__(self) -> None:
        self.fleet = ZERO
        #: Index and amount of each dimension that the fleet has.
        self._dimensions: list[tuple[int, int]] = []
        self._entries: list[tuple[float, str, Team]] = []
        self._stale: list[Team] = []

    def set_fleet(self, fleet: Resources) -> None:
        """Measure shares against another fleet; every team must be touched."""
        self.fleet = fleet
        self._dimensions = [(i, whole) for i, whole in enumerate(fleet) if whole > 0]

    def touch(self, team: Team) -> None:
        """Note that the team's share or whether it waits may have changed."""
        if not team.share_stale:
            team.share_stale = True
            self._stale.append(team)

    def current(self) -> list[tuple[float, str, Team]]:
        """Return the teams in order; the list must not be changed or kept."""
        if self._stale:
            for team in self._stale:
                self._move(team)
            self._stale.clear()
        return self._entries

    def _move(self, team: Team) -> None:
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
        """Return the same number as ``weighted_share`` does."""
        if team.weight <= 0:
            return float("inf")
        share = 0.0
        held, elsewhere = team.held, team.elsewhere
        for i, whole in self._dimensions:
            part = (held[i] + elsewhere[i]) / whole
            if part > share:
                share = part
        return share / team.weight
