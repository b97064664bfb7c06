"""A shard's state, derived from the events of its journal."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec
from savorylead.outcomes import Outcome
from savorylead.resources import Resources

from ._events import (
    Accepted,
    CancelRequested,
    Ended,
    EpochBegan,
    Event,
    Forgotten,
    Moved,
    OfferDeclined,
    Offered,
    Placed,
    Requeued,
    Resigned,
    Tombstoned,
)


class Phase(enum.StrEnum):
    """Lifecycle phase of a task in its shard."""

    QUEUED = "queued"
    PLACED = "placed"
    OFFERED = "offered"
    MOVED = "moved"
    ENDED = "ended"
    #: Never accepted; recorded so that a delayed submission is refused.
    TOMBSTONED = "tombstoned"


class TaskRecord(NamedTuple):
    """Immutable record of one task; replaced on each event."""

    #: None only for tombstones.
    spec: TaskSpec | None
    phase: Phase
    accepted_at_ms: int
    #: Number of the latest attempt; 0 before the first.
    attempt: int = 0
    #: Worker of the latest attempt.
    worker: str = ""
    #: Incarnation of that worker at placement time.
    incarnation: str = ""
    placed_at_ms: int = 0
    #: Workers to avoid: an attempt failed or was refused there.
    avoid: tuple[str, ...] = ()
    #: Shards that declined the task.
    declined: tuple[str, ...] = ()
    cancel_asked: bool = False
    #: The shard that offered the task; empty if it came from a gateway.
    origin: str = ""
    #: The shard to which the task was offered or moved.
    target: str = ""
    outcome: Outcome | None = None
    ended_at_ms: int = 0
    #: Resources of the latest attempt; None for those that the task declares.
    held: Resources | None = None

    def held_resources(self) -> Resources:
        """Return the resources of the latest attempt, or those the task declares."""
        return self.spec.resources if self.held is None else self.held


class UnknownTaskError(Exception):
    """An event refers to a task without a record; the journal is corrupt."""

    def __init__(self, task: TaskId, event: Event) -> None:
        super().__init__(f"{type(event).__name__} of unknown task {task}")
        self.task = task
        self.event = event


class ShardState:
    """The records of one shard, changed only by applying events in order."""

    def __init__(self) -> None:
        #: Epoch of the latest lead.
        self.epoch = 0
        #: Name of the lead of that epoch; empty after it resigned.
        self.lead = ""
        #: Records of all tasks that have not been removed.
        self.records: dict[TaskId, TaskRecord] = {}
        self._handlers: dict[type, Callable[..., None]] = {
            EpochBegan: self._apply_epoch_began,
            Accepted: self._apply_accepted,
            Placed: self._apply_placed,
            Requeued: self._apply_requeued,
            Ended: self._apply_ended,
            CancelRequested: self._apply_cancel_asked,
            Tombstoned: self._apply_tombstoned,
            Offered: self._apply_offered,
            OfferDeclined: self._apply_offer_declined,
            Moved: self._apply_moved,
            Forgotten: self._apply_forgotten,
            Resigned: self._apply_resigned,
        }

    def copy(self) -> ShardState:
        """Return an independent copy; the immutable records are shared."""
        other = ShardState()
        other.epoch = self.epoch
        other.lead = self.lead
        other.records = dict(self.records)
        return other

    def apply_all(self, events: Iterable[Event]) -> None:
        """Apply events in order; raises UnknownTaskError on a corrupt journal."""
        for event in events:
            self.apply(event)

    def apply(self, event: Event) -> None:
        """Apply one event; raises UnknownTaskError on a corrupt journal."""
        self._handlers[type(event)](event)

    def _record(self, task: TaskId, event: Event) -> TaskRecord:
        record = self.records.get(task)
        if record is None:
            raise UnknownTaskError(task, event)
        return record

    def _apply_epoch_began(self, event: EpochBegan) -> None:
        self.epoch = event.epoch
        self.lead = event.lead

    def _apply_accepted(self, event: Accepted) -> None:
        self.records[event.spec.id] = TaskRecord(
            spec=event.spec,
            phase=Phase.QUEUED,
            accepted_at_ms=event.at_ms,
            origin=event.origin,
            attempt=event.attempt,
        )

    def _apply_placed(self, event: Placed) -> None:
        record = self._record(event.task, event)
        self.records[event.task] = record._replace(
            phase=Phase.PLACED,
            attempt=event.attempt,
            worker=event.worker,
            incarnation=event.incarnation,
            held=event.held,
            placed_at_ms=event.at_ms,
        )

    def _apply_requeued(self, event: Requeued) -> None:
        record = self._record(event.task, event)
        avoid = record.avoid
        if event.reason.counts_against_worker() and record.worker not in avoid:
            avoid = (*avoid, record.worker)
        self.records[event.task] = record._replace(
            phase=Phase.QUEUED, worker="", avoid=avoid, held=None
        )

    def _apply_ended(self, event: Ended) -> None:
        record = self._record(event.task, event)
        self.records[event.task] = record._replace(
            phase=Phase.ENDED, outcome=event.outcome, ended_at_ms=event.at_ms
        )

    def _apply_cancel_asked(self, event: CancelRequested) -> None:
        record = self._record(event.task, event)
        self.records[event.task] = record._replace(cancel_asked=True)

    def _apply_tombstoned(self, event: Tombstoned) -> None:
        self.records[event.task] = TaskRecord(
            spec=None,
            phase=Phase.TOMBSTONED,
            accepted_at_ms=event.at_ms,
            outcome=event.outcome,
            ended_at_ms=event.at_ms,
        )

    def _apply_offered(self, event: Offered) -> None:
        record = self._record(event.task, event)
        self.records[event.task] = record._replace(
            phase=Phase.OFFERED, target=event.target
        )

    def _apply_offer_declined(self, event: OfferDeclined) -> None:
        record = self._record(event.task, event)
        self.records[event.task] = record._replace(
            phase=Phase.QUEUED, target="", declined=(*record.declined, event.target)
        )

    def _apply_moved(self, event: Moved) -> None:
        record = self._record(event.task, event)
        self.records[event.task] = record._replace(
            phase=Phase.MOVED, target=event.target, ended_at_ms=event.at_ms
        )

    def _apply_forgotten(self, event: Forgotten) -> None:
        for task in event.tasks:
            self.records.pop(task, None)

    def _apply_resigned(self, event: Resigned) -> None:
        if event.epoch == self.epoch:
            self.lead = ""
