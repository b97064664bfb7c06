"""An index of placed attempts by worker, with the state of their start orders."""

from __future__ import annotations

from collections import defaultdict

from savorylead.contracts import TaskId
from savorylead.journal import ShardState, TaskRecord
from savorylead.resources import ZERO, Resources

from ._session_listener import Attempt

#: Default value that marks a missing task, since stored values are None.
ABSENT = object()


class PlacementIndex:
    """Indexes the placed tasks of a shard's records by worker."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        #: In order of placement, so that runs with equal inputs are deterministic.
        self._placed_on: dict[str, dict[TaskId, None]] = defaultdict(dict)
        #: Total resources held by the tasks placed on each worker.
        self._held: dict[str, Resources] = {}
        #: Attempts whose placement is not durable, so no start order was sent.
        self._uncommitted: set[Attempt] = set()
        #: Durable attempts whose start order was never passed to the worker's session.
        self._unsent: set[Attempt] = set()
        #: Attempts whose start a worker confirmed to this lead.
        self._started: set[Attempt] = set()

    def restore(self, record: TaskRecord) -> None:
        """Add a placed task of the replayed records."""
        self._placed_on[record.worker][record.spec.id] = None
        self._add_held(record.worker, record.held_resources())

    def place(self, attempt: Attempt, worker: str, held: Resources) -> None:
        """Add an attempt that is being placed and holds ``held``."""
        self._uncommitted.add(attempt)
        self._placed_on[worker][attempt[0]] = None
        self._add_held(worker, held)

    def commit(self, attempt: Attempt) -> None:
        """Mark the placement as durable; its start order may now be sent."""
        self._uncommitted.discard(attempt)

    def mark_unsent(self, attempt: Attempt) -> None:
        """Mark a durable placement whose start order was not passed to the session."""
        self._unsent.add(attempt)

    def start(self, attempt: Attempt) -> bool:
        """Mark an attempt as started by its worker; False if it already was."""
        if attempt in self._started:
            return False
        self._started.add(attempt)
        return True

    def remove(self, record: TaskRecord) -> None:
        """Remove the record's current attempt."""
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
        """Return whether no order of the attempt was passed to a session."""
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
        """Return the total resources held by the tasks placed on a worker."""
        return self._held.get(worker, ZERO)

    def _add_held(self, worker: str, held: Resources) -> None:
        self._held[worker] = self._held.get(worker, ZERO).plus(held)
