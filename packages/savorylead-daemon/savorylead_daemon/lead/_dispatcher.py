"""Turns planner decisions into events, and durable events into commands."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from savorylead.clock import to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import (
    CancelRequested,
    Ended,
    Event,
    Offered,
    Phase,
    Placed,
    TaskRecord,
)
from savorylead.outcomes import Cancelled, NotRun, Outcome
from savorylead.placement import (
    Decision,
    Overflow,
    PendingTask,
    Place,
    Preempt,
    Reject,
)
from savorylead.resources import Resources
from savorylead.workers import StartOrder, WorkerState

from ._admission_control import not_run
from ._shared import SharedParts
from ._worker_session import WorkerSession


class TaskDispatcher:
    """Moves tasks from the queue to workers.

    State changes immediately; a command is sent only once the event that causes it
    is durable.
    """

    def __init__(self, shared: SharedParts) -> None:
        self._ledger = shared.ledger
        self._planner = shared.planner
        self._fleet = shared.fleet
        self._index = shared.index
        self._queue = shared.queue
        self._admission = shared.admission
        self._monitor = shared.monitor
        self._offers = shared.offers
        self._clock = shared.clock
        self._observer = shared.observer
        self._plan_soon = shared.plan_soon

    def restore(self) -> None:
        """Add replayed records to the planner, and open sessions with their workers."""
        for record in self._ledger.state.records.values():
            if record.phase is Phase.QUEUED:
                self._queue.readd(record)
            elif record.phase is Phase.PLACED:
                self._fleet.ensure_by_name(record.worker)
                running = _running_of(record)
                self._planner.add_running(running, record.worker, record.placed_at_ms)
                self._index.restore(record)
        for job, target in self._offers.unanswered():
            self._send_offer(job, target)

    def decide(self, decisions: Iterable[Decision]) -> list[Event]:
        """Return the events of decisions; ``execute_events`` sends their commands."""
        events: list[Event] = []
        overflow = []
        places = []
        for decision in decisions:
            if isinstance(decision, Place):
                places.append(decision)
            elif isinstance(decision, Reject):
                self._queue.remove(decision.task)
                outcome = NotRun(decision.reason, decision.detail)
                events.append(Ended(decision.task, outcome, self._now_ms()))
            elif isinstance(decision, Preempt):
                self._preempt(decision)
            elif isinstance(decision, Overflow):
                overflow.append(decision.task)
        return events + self._place_all(places) + self._overflow(overflow)

    def execute_events(self, events: Sequence[Event]) -> None:
        """Send the commands of durable events, and report outcomes."""
        for event in events:
            if isinstance(event, Placed):
                self._send_order(event)
            elif isinstance(event, Ended):
                self._notify_ended(event.task, event.outcome)
            elif isinstance(event, CancelRequested):
                self._stop(event.task)
            elif isinstance(event, Offered) and event.task == event.task.job():
                self._send_offer(event.task, event.target)

    def commit(self, events: Sequence[Event]) -> None:
        """Write events and staged ones; execute ``events`` once they are durable."""
        if events or self._ledger.has_staged():
            done = self._ledger.commit(events)
            done.addCallbacks(lambda _: self.execute_events(events), lambda _: None)

    def plan(self, max_decisions: int) -> bool:
        """Run one planning round; True if the round reached ``max_decisions``."""
        decisions = self._planner.plan(self._now_ms(), max_decisions)
        self.commit(self.decide(decisions))
        return len(decisions) >= max_decisions

    def cancel(self, tasks: Iterable[TaskId]) -> None:
        """Cancel those of the tasks that have no outcome yet."""
        events: list[Event] = []
        for task in tasks:
            record = self._ledger.state.records[task]
            if record.phase is Phase.QUEUED:
                self._queue.remove(task)
                outcome = Cancelled(started=record.attempt > 0)
                events.append(Ended(task, outcome, self._now_ms()))
            elif record.phase is Phase.PLACED and not record.cancel_asked:
                events.append(CancelRequested(task, self._now_ms()))
        self.commit(events)
        self._plan_soon()

    def shed(self) -> None:
        """End tasks that can no longer start by their deadline."""
        events: list[Event] = []
        for refused in self._admission.shed(self._now_ms()):
            outcome = not_run(refused)
            for member in members_of(self._ledger.state.records[refused.task].spec):
                self._queue.remove(member)
                events.append(Ended(member, outcome, self._now_ms()))
        self.commit(events)

    def checkpoint_excess(self, team: str, excess: Resources) -> None:
        """Checkpoint repeatable tasks of a team until ``excess`` is released.

        The latest placements are checkpointed first, since they lose the least work.
        Tasks that are not repeatable run to their end.
        """
        left = excess
        placed = self._index.records_of_team(team)
        for record in sorted(placed, key=lambda record: -record.placed_at_ms):
            if not any(amount > 0 for amount in left):
                return
            session = self._fleet.session(record.worker)
            if record.spec.repeatable and session is not None:
                session.commands.checkpoint((record.spec.id, record.attempt))
                left = left.minus(record.held_resources())

    def _place_all(self, places: Sequence[Place]) -> list[Event]:
        """Return the events of the placements that their workers admit.

        If the worker of one member of an all-at-once job does not admit it, no member
        is placed.
        """
        blocked_jobs = {
            place.task.job() for place in places if not self._admits_member(place)
        }
        events: list[Event] = []
        for place in places:
            record = self._ledger.state.records[place.task]
            admitted = self._monitor.admits(place.worker, record.spec)
            if place.task.job() in blocked_jobs or not admitted:
                self._queue.requeue_avoiding(record, place.worker)
            else:
                events.append(self._place(place, record))
        return events

    def _admits_member(self, place: Place) -> bool:
        spec = self._ledger.state.records[place.task].spec
        return spec.members == 1 or self._monitor.admits(place.worker, spec)

    def _place(self, place: Place, record: TaskRecord) -> Event:
        session = self._fleet.ensure_by_name(place.worker)
        attempt = (place.task, record.attempt + 1)
        corrected = self._queue.pop_corrected(place.task)
        held = record.spec.resources if corrected is None else corrected
        self._index.place(attempt, place.worker, held)
        self._admission.started(place.task, self._now_ms())
        self._monitor.placed(place.worker, place.task)
        return Placed(
            *attempt,
            place.worker,
            session.incarnation,
            self._now_ms(),
            corrected,
        )

    def _preempt(self, decision: Preempt) -> None:
        record = self._ledger.state.records[decision.task]
        session = self._fleet.session(decision.worker)
        if session is not None:
            session.commands.checkpoint((decision.task, record.attempt))

    def _overflow(self, tasks: Sequence[TaskId]) -> list[Event]:
        """Return offers of jobs that another shard may accept; requeue the others."""
        events: list[Event] = []
        for job in dict.fromkeys(task.job() for task in tasks):
            record = self._ledger.state.records[job]
            members = members_of(record.spec)
            for member in members:
                self._queue.remove(member)
            target = None if record.origin else self._offers.choose_target(record.spec)
            if target is None:
                self._requeue_all(members)
            else:
                events += self._offers.offer_events(members, target)
        return events

    def _send_offer(self, job: TaskId, target: str) -> None:
        self._offers.send(job, target).addCallback(self._requeue_all)

    def _requeue_all(self, tasks: Sequence[TaskId]) -> None:
        for task in tasks:
            self._queue.readd(self._ledger.state.records[task])
        if tasks:
            self._plan_soon()

    def _send_order(self, event: Placed) -> None:
        attempt = (event.task, event.attempt)
        self._index.commit(attempt)
        record = self._ledger.state.records.get(event.task)
        session = self._fleet.session(event.worker)
        if not is_placed_at(record, event.attempt) or session is None:
            return
        self._observer.placed(record.spec, self._now_ms() - record.accepted_at_ms)
        if session.incarnation != event.incarnation:
            # The next inventory proves that the attempt never started.
            self._index.mark_unsent(attempt)
            return
        self.start_unless_draining(session, record)
        if record.cancel_asked:
            session.commands.stop(attempt)

    def start_unless_draining(self, session: WorkerSession, record: TaskRecord) -> None:
        """Send a start order, or a stop if the worker is draining.

        The worker may have started to drain while the placement was being written.
        A worker that receives a stop for an unknown attempt never starts it.
        """
        if self._fleet.state(session.worker.name) is WorkerState.DRAINING:
            session.commands.stop((record.spec.id, record.attempt))
        else:
            session.commands.start(order_of(record))

    def _stop(self, task: TaskId) -> None:
        record = self._ledger.state.records.get(task)
        if record is None or record.phase is not Phase.PLACED:
            return
        session = self._fleet.session(record.worker)
        if session is not None:
            session.commands.stop((task, record.attempt))

    def _notify_ended(self, task: TaskId, outcome: Outcome) -> None:
        record = self._ledger.state.records.get(task)
        if record is not None and record.spec is not None:
            self._monitor.forget_job(task)
            self._observer.ended(record.spec, outcome)

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())


def members_of(spec: TaskSpec) -> list[TaskId]:
    """Return the ids of all members of the job that the task belongs to."""
    return [spec.id._replace(member=member) for member in range(spec.members)]


def is_placed_at(record: TaskRecord | None, attempt: int) -> bool:
    """Return whether the record is placed and ``attempt`` is its current attempt."""
    return (
        record is not None
        and record.phase is Phase.PLACED
        and record.attempt == attempt
    )


def order_of(record: TaskRecord) -> StartOrder:
    """Return the start order of the record's current attempt."""
    return StartOrder(
        task=record.spec.id,
        attempt=record.attempt,
        resources=record.held_resources(),
        payload=record.spec.payload,
    )


def _running_of(record: TaskRecord) -> PendingTask:
    """Return a placed task with the resources that it holds."""
    spec = record.spec._replace(resources=record.held_resources())
    return PendingTask(spec, record.accepted_at_ms, record.attempt + 1, record.avoid)
