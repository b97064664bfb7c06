"""Which attempts are placed where, and what is known of their starts."""

from __future__ import annotations

from collections import defaultdict

from savorylead.contracts import TaskId
from savorylead.journal import ShardState, TaskRecord
from savorylead.resources import ZERO, Resources

from ._session_listener import Attempt

#: Tells a task that was not there from one that was.
ABSENT = object()


class PlacementIndex:
    """Follows placed tasks by worker, beside the records."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        #: In the order of placement, so that equal runs go alike.
        self._placed_on: dict[str, dict[TaskId, None]] = defaultdict(dict)
        #: What the tasks placed on each worker hold.
        self._held: dict[str, Resources] = {}
        #: Attempts whose placement is not durable, so that no order has left.
        self._uncommitted: set[Attempt] = set()
        #: Durable attempts whose order was never handed to the worker's session.
        self._unsent: set[Attempt] = set()
        #: Attempts whose start a worker confirmed to this lead.
        self._started: set[Attempt] = set()

    def restore(self, record: TaskRecord) -> None:
        """Add a placed task of the replayed records."""
        self._placed_on[record.worker][record.spec.id] = None
        self._add_held(record.worker, record.held_resources())

    def place(self, attempt: Attempt, worker: str, held: Resources) -> None:
        """Add an attempt that is about to be placed and holds ``held``."""
        self._uncommitted.add(attempt)
        self._placed_on[worker][attempt[0]] = None
        self._add_held(worker, held)

    def commit(self, attempt: Attempt) -> None:
        """Note that the placement is durable; its order may leave from now on."""
        self._uncommitted.discard(attempt)

    def keep_unsent(self, attempt: Attempt) -> None:
        """Note that the order of a durable placement was not handed on."""
        self._unsent.add(attempt)

    def start(self, attempt: Attempt) -> bool:
        """Note that a worker confirmed the start; False if that was known."""
        if attempt in self._started:
            return False
        self._started.add(attempt)
        return True

    def remove(self, record: TaskRecord) -> None:
        """Forget the record's attempt."""
        attempt = (record.spec.id, record.attempt)
        if self._placed_on[record.worker].pop(record.spec.id, ABSENT) is not ABSENT:
            left = self._held[record.worker].minus(record.held_resources())
            self._held[record.worker] = left
        self._uncommitted.discard(attempt)
        self._unsent.discard(attempt)
        self._started.discard(attempt)

    def is_uncommitted(self, attempt: Attempt) -> bool:
        """Return whether the attempt's placement is not durable yet."""
        return attempt in self._uncommitted

    def is_unsent(self, attempt: Attempt) -> bool:
        """Return whether no order of the attempt was handed to a session."""
        return attempt in self._uncommitted or attempt in self._unsent

    def records_on(self, worker: str) -> list[TaskRecord]:
        """Return the records of the tasks placed on a worker."""
        records = self._state.records
        return [records[task] for task in self._placed_on.get(worker, ())]

    def records_of_team(self, team: str) -> list[TaskRecord]:
        """Return the records of a team's placed tasks."""
        records = self._state.records
        return [
            records[task]
            for tasks in self._placed_on.values()
            for task in tasks
            if task.team == team
        ]

    def count_on(self, worker: str) -> int:
        """Return how many tasks are placed on a worker."""
        return len(self._placed_on.get(worker, ()))

    def held_on(self, worker: str) -> Resources:
        """Return what the tasks placed on a worker hold in all."""
        return self._held.get(worker, ZERO)

    def _add_held(self, worker: str, held: Resources) -> None:
        self._held[worker] = self._held.get(worker, ZERO).plus(held)
