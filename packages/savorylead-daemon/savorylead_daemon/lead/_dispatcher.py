"""Turns decisions and reports into events, and durable events into commands."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import (
    CancelAsked,
    Ended,
    Event,
    Offered,
    Phase,
    Placed,
    Requeued,
    RequeueReason,
    TaskRecord,
)
from savorylead.outcomes import Cancelled, Failed, NotRun, Outcome
from savorylead.placement import (
    Decision,
    Overflow,
    PendingTask,
    Place,
    Planner,
    Preempt,
    Reject,
)
from savorylead.resources import ZERO, Resources
from savorylead.workers import (
    Inventory,
    OverrunAction,
    RunReport,
    RunState,
    StartOrder,
)

from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._observer import LeadObserver
from ._offers import OfferSender
from ._reconciler import (
    DiscardAnswer,
    EndWith,
    RequeueFor,
    SendAgain,
    Verdict,
    judge_absence,
    judge_lost_worker,
    judge_report,
)
from ._run_care import RunCare
from ._waiting_room import WaitingRoom, not_run
from ._worker_session import Attempt, WorkerSession

#: A run that is overdue is asked about again after this part of its delay.
OVERDUE_DIVISOR = 2


class TaskDispatcher:
    """Carries tasks from the queue to a worker and back to an answer.

    State changes at once; a command leaves only when the event behind it is
    durable.
    """

    def __init__(
        self,
        ledger: ShardLedger,
        planner: Planner,
        fleet: ShardFleet,
        clock: Clock,
        observer: LeadObserver,
        offers: OfferSender,
        room: WaitingRoom,
        plan_soon: Callable[[], None],
    ) -> None:
        self._ledger = ledger
        self._planner = planner
        self._fleet = fleet
        self._clock = clock
        self._observer = observer
        self._offers = offers
        self._room = room
        self.care = RunCare(fleet, self.held_on, clock)
        #: What the planner was told that a waiting task needs, if not what it says.
        self._corrected: dict[TaskId, Resources] = {}
        self._plan_soon = plan_soon
        self._placed_on: dict[str, set[TaskId]] = defaultdict(set)
        #: Attempts whose placement is not durable, so that no order has left.
        self._uncommitted: set[Attempt] = set()
        #: Attempts whose start a worker confirmed to this lead.
        self._started: set[Attempt] = set()

    def restore(self) -> None:
        """Hand the replayed records to the planner and ask their workers."""
        for task, record in self._ledger.state.records.items():
            if record.phase is Phase.QUEUED:
                self._wait_again(record)
            elif record.phase is Phase.PLACED:
                self._fleet.ensure_known(record.worker)
                running = _running_of(record)
                self._planner.add_running(running, record.worker, record.placed_at_ms)
                self._placed_on[record.worker].add(task)
        for job, target in self._offers.unanswered():
            self._send_offer(job, target)

    def running_on(self, worker: str) -> int:
        """Return how many tasks are placed on the worker."""
        return len(self._placed_on.get(worker, ()))

    def held_on(self, worker: str) -> Resources:
        """Return what the tasks placed on the worker ask for in all."""
        held = ZERO
        for task in self._placed_on.get(worker, ()):
            held = held.plus(self._ledger.state.records[task].held_resources())
        return held

    def decide(self, decisions: Iterable[Decision]) -> list[Event]:
        """Return the events of decisions; commands follow in ``enact``."""
        events: list[Event] = []
        overflow = []
        for decision in decisions:
            if isinstance(decision, Place):
                events += self._place(decision)
            elif isinstance(decision, Reject):
                self._room.removed(decision.task, self._now_ms())
                outcome = NotRun(decision.reason, decision.detail)
                events.append(Ended(decision.task, outcome, self._now_ms()))
            elif isinstance(decision, Preempt):
                self._preempt(decision)
            elif isinstance(decision, Overflow):
                overflow.append(decision.task)
        return events + self._overflow(overflow)

    def enact(self, events: Sequence[Event]) -> None:
        """Send the commands of events that have become durable."""
        for event in events:
            if isinstance(event, Placed):
                self._send_order(event)
            elif isinstance(event, Ended):
                self._tell_ended(event.task, event.outcome)
            elif isinstance(event, Offered) and event.task == event.task.job():
                self._send_offer(event.task, event.target)

    def commit(self, events: Sequence[Event]) -> None:
        """Make events, and those staged before, durable; enact them afterwards."""
        if events or self._ledger.has_staged():
            done = self._ledger.commit(events)
            done.addCallbacks(lambda _: self.enact(events), lambda _: None)

    def plan(self, max_decisions: int) -> bool:
        """Run one planning round; True if there may be more to decide."""
        decisions = self._planner.plan(self._now_ms(), max_decisions)
        self.commit(self.decide(decisions))
        return len(decisions) >= max_decisions

    def cancel(self, tasks: Iterable[TaskId]) -> None:
        """Cancel tasks that have no answer yet."""
        events: list[Event] = []
        for task in tasks:
            record = self._ledger.state.records[task]
            if record.phase is Phase.QUEUED:
                self._planner.remove(task)
                self._room.removed(task, self._now_ms())
                outcome = Cancelled(started=record.attempt > 0)
                events.append(Ended(task, outcome, self._now_ms()))
            elif record.phase is Phase.PLACED and not record.cancel_asked:
                events.append(CancelAsked(task, self._now_ms()))
        if events:
            done = self._ledger.commit(events)
            done.addCallbacks(lambda _: self._after_cancel(events), lambda _: None)
            self._plan_soon()

    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """Compare what a worker runs with what was placed there."""
        listed = {(report.task, report.attempt) for report in inventory.runs}
        self.on_reports(session, inventory.runs)
        for task in list(self._placed_on.get(session.worker.name, ())):
            record = self._ledger.state.records[task]
            attempt = (task, record.attempt)
            if attempt in listed or attempt in self._uncommitted:
                continue
            self._judge_absent(session, record, attempt, inventory.incarnation)

    def on_reports(self, session: WorkerSession, reports: Sequence[RunReport]) -> None:
        """Take what a worker says about attempts."""
        for report in reports:
            record = self._ledger.state.records.get(report.task)
            if self._is_current(session, record, report):
                self._take_report(session, record, report)
            elif report.state is RunState.RUNNING:
                session.stop((report.task, report.attempt))
            elif self._ledger.is_settled(report.task):
                session.release((report.task, report.attempt))

    def on_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """Take a worker's word that an attempt runs."""
        record = self._ledger.state.records.get(attempt[0])
        if record is None or record.spec is None or attempt in self._started:
            return
        self._started.add(attempt)
        self._observer.started(record.spec, self._now_ms() - record.accepted_at_ms)
        self._expect_end(session, record, 0)

    def on_start_refused(self, attempt: Attempt, reason: str) -> None:
        """Take back an attempt that will never start."""
        record = self._ledger.state.records.get(attempt[0])
        if not _is_placed_at(record, attempt[1]):
            return
        if record.cancel_asked:
            self._end(record, Cancelled(started=record.attempt > 1))
        else:
            self._requeue(record, RequeueReason.WORKER_REFUSED)

    def on_lost(self, session: WorkerSession) -> None:
        """Take back everything from a worker whose lease surely lapsed."""
        for task in list(self._placed_on.get(session.worker.name, ())):
            record = self._ledger.state.records[task]
            unsent = self._withdraw(session, (task, record.attempt))
            self._follow(session, record, judge_lost_worker(record, unsent))

    def checkpoint_all(self, session: WorkerSession) -> None:
        """Move repeatable tasks away from a worker that is leaving."""
        for task in self._placed_on.get(session.worker.name, ()):
            record = self._ledger.state.records[task]
            if record.spec is not None and record.spec.repeatable:
                session.checkpoint((task, record.attempt))

    def checkpoint_excess(self, team: str, excess: Resources) -> None:
        """Checkpoint repeatable tasks of a team until ``excess`` is given back.

        The latest placements go first, since they lose least; what may not be
        repeated runs to its end.
        """
        left = excess
        for record in self._movable_of(team):
            if not any(amount > 0 for amount in left):
                return
            session = self._fleet.session(record.worker)
            if session is not None:
                session.checkpoint((record.spec.id, record.attempt))
                left = left.minus(record.held_resources())

    def _movable_of(self, team: str) -> list[TaskRecord]:
        records = self._ledger.state.records
        placed = (records[task] for on in self._placed_on.values() for task in on)
        movable = [r for r in placed if r.spec.id.team == team and r.spec.repeatable]
        return sorted(movable, key=lambda record: -record.placed_at_ms)

    def _overflow(self, tasks: Sequence[TaskId]) -> list[Event]:
        """Return the offers of jobs that another shard may take; others wait on."""
        events: list[Event] = []
        for job in dict.fromkeys(task.job() for task in tasks):
            record = self._ledger.state.records[job]
            members = members_of(record.spec)
            for member in members:
                self._planner.remove(member)
            target = None if record.origin else self._offers.choose_target(record.spec)
            if target is None:
                self._queue_again(members)
            else:
                self._room.removed(job, self._now_ms())
                events += self._offers.offer_events(members, target)
        return events

    def _send_offer(self, job: TaskId, target: str) -> None:
        self._offers.send(job, target).addCallback(self._queue_again)

    def _queue_again(self, tasks: Sequence[TaskId]) -> None:
        for task in tasks:
            self._wait_again(self._ledger.state.records[task])
        if tasks:
            self._plan_soon()

    def _place(self, decision: Place) -> list[Event]:
        """Return the event of a placement; none if the worker must not get it."""
        record = self._ledger.state.records[decision.task]
        if not self.care.admits(decision.worker, record.spec):
            pending = self._pending(record)
            avoid = (*pending.avoid, decision.worker)
            self._planner.requeue(pending._replace(avoid=avoid))
            return []
        session = self._fleet.ensure_known(decision.worker)
        attempt = record.attempt + 1
        self._uncommitted.add((decision.task, attempt))
        self._placed_on[decision.worker].add(decision.task)
        self._room.started(decision.task, self._now_ms())
        self.care.placed(decision.worker, decision.task)
        placed = Placed(
            decision.task,
            attempt,
            decision.worker,
            session.incarnation,
            self._now_ms(),
            self._corrected.pop(decision.task, None),
        )
        return [placed]

    def _preempt(self, decision: Preempt) -> None:
        record = self._ledger.state.records[decision.task]
        session = self._fleet.session(decision.worker)
        if session is not None:
            session.checkpoint((decision.task, record.attempt))

    def _send_order(self, event: Placed) -> None:
        attempt = (event.task, event.attempt)
        self._uncommitted.discard(attempt)
        record = self._ledger.state.records.get(event.task)
        session = self._fleet.session(event.worker)
        if not _is_placed_at(record, event.attempt) or session is None:
            return
        self._observer.placed(record.spec, self._now_ms() - record.accepted_at_ms)
        if session.incarnation != event.incarnation:
            # The order would be declined; the next inventory settles the attempt.
            self._judge_absent(session, record, attempt, session.incarnation)
            return
        session.start(_order_of(record))
        if record.cancel_asked:
            session.stop(attempt)

    def _judge_absent(
        self,
        session: WorkerSession,
        record: TaskRecord,
        attempt: Attempt,
        incarnation: str,
    ) -> None:
        if session.has_waiting_order(attempt) and incarnation == record.incarnation:
            return
        never_left = incarnation != record.incarnation and (
            self._withdraw(session, attempt)
        )
        self._follow(session, record, judge_absence(record, incarnation, never_left))

    def _withdraw(self, session: WorkerSession, attempt: Attempt) -> bool:
        """Return whether it is proved that no order of the attempt ever left."""
        if attempt in self._uncommitted:
            return True
        return session.withdraw_order(attempt)

    def _is_current(
        self, session: WorkerSession, record: TaskRecord | None, report: RunReport
    ) -> bool:
        return (
            _is_placed_at(record, report.attempt)
            and record.worker == session.worker.name
        )

    def _take_report(
        self, session: WorkerSession, record: TaskRecord, report: RunReport
    ) -> None:
        if report.state is RunState.RUNNING:
            self.on_started(session, (report.task, report.attempt))
            self._watch_run(session, record, report)
            return
        verdict = judge_report(record, report)
        verdict = self._learn(session.worker.name, record, report, verdict)
        self._follow(session, record, verdict)

    def _watch_run(
        self, session: WorkerSession, record: TaskRecord, report: RunReport
    ) -> None:
        """Stop a cancelled run, act on an overrun, and ask again in time."""
        attempt = (report.task, report.attempt)
        held = record.held_resources()
        action = self.care.observe(session.worker.name, record.spec, held, report)
        if record.cancel_asked or action is OverrunAction.STOP:
            session.stop(attempt)
        elif action is OverrunAction.CHECKPOINT:
            session.checkpoint(attempt)
        elif action is OverrunAction.THROTTLE:
            session.throttle(attempt, held)
        self._expect_end(session, record, report.ran_ms)

    def _learn(
        self, worker: str, record: TaskRecord, report: RunReport, verdict: Verdict
    ) -> Verdict:
        """Remember how the run ended; a job that fails everywhere is given up."""
        if report.state is RunState.DONE and isinstance(verdict, EndWith):
            self.care.ended_well(worker, record.spec, report.ran_ms)
        elif report.state is RunState.FAILED:
            exhausted = self.care.failed(worker, record.spec, report.result)
            if exhausted is not None and isinstance(verdict, RequeueFor):
                return EndWith(Failed(exhausted.describe(), record.attempt))
        else:
            self.care.left(worker, report.task)
        return verdict

    def _expect_end(
        self, session: WorkerSession, record: TaskRecord, ran_ms: int
    ) -> None:
        """Fetch the answer when the run should be over; rarer the later it is."""
        if not record.spec.run_time_ms:
            return
        left_ms = record.spec.run_time_ms - ran_ms
        if left_ms < 0:
            left_ms = -left_ms // OVERDUE_DIVISOR
        session.expect_end_in(timedelta(milliseconds=left_ms))

    def _follow(
        self, session: WorkerSession, record: TaskRecord, verdict: Verdict
    ) -> None:
        if isinstance(verdict, EndWith):
            self._end(record, verdict.outcome)
        elif isinstance(verdict, RequeueFor):
            self._requeue(record, verdict.reason)
        elif isinstance(verdict, SendAgain):
            session.start(_order_of(record))
        elif isinstance(verdict, DiscardAnswer):
            self._observer.answer_discarded(session.worker.name)

    def _end(self, record: TaskRecord, outcome: Outcome) -> None:
        task = record.spec.id
        self._leave_worker(record)
        self._planner.remove(task)
        events = [Ended(task, outcome, self._now_ms())]
        done = self._ledger.commit(events)
        done.addCallbacks(lambda _: self._after_end(record, events), lambda _: None)
        if isinstance(outcome, Failed) and record.spec.members > 1:
            self.cancel(self._open_siblings(record.spec))
        self._plan_soon()

    def _requeue(self, record: TaskRecord, reason: RequeueReason) -> None:
        task = record.spec.id
        self._leave_worker(record)
        event = Requeued(task, record.attempt, reason, self._now_ms())
        done = self._ledger.commit([event])
        requeued = self._ledger.state.records[task]
        self._room.readmit(requeued.spec, self._now_ms())
        self._planner.requeue(self._pending(requeued))
        done.addCallbacks(lambda _: self._release(record), lambda _: None)
        self._observer.requeued(record.spec, reason)
        if record.spec.members > 1:
            self._stop_siblings(record.spec)
        self._plan_soon()

    def _leave_worker(self, record: TaskRecord) -> None:
        attempt = (record.spec.id, record.attempt)
        self._placed_on[record.worker].discard(record.spec.id)
        self._uncommitted.discard(attempt)
        self._started.discard(attempt)
        self.care.left(record.worker, record.spec.id)

    def _after_end(self, record: TaskRecord, events: Sequence[Event]) -> None:
        self._release(record)
        self.enact(events)

    def _release(self, record: TaskRecord) -> None:
        session = self._fleet.session(record.worker)
        if session is not None:
            session.release((record.spec.id, record.attempt))

    def _after_cancel(self, events: Sequence[Event]) -> None:
        """Stop what was placed; answers of what waited are durable now."""
        for event in events:
            if isinstance(event, Ended):
                continue
            record = self._ledger.state.records.get(event.task)
            if record is None or record.phase is not Phase.PLACED:
                continue
            session = self._fleet.session(record.worker)
            if session is not None:
                session.stop((event.task, record.attempt))

    def _open_siblings(self, spec: TaskSpec) -> list[TaskId]:
        """Return the other members of an all-at-once job that have no answer."""
        return [m for m in members_of(spec) if m != spec.id and self._is_open(m)]

    def _is_open(self, task: TaskId) -> bool:
        record = self._ledger.state.records.get(task)
        return record is not None and record.phase in (Phase.QUEUED, Phase.PLACED)

    def _stop_siblings(self, spec: TaskSpec) -> None:
        """Stop a job whole when one member must start again."""
        for task in self._open_siblings(spec):
            record = self._ledger.state.records[task]
            session = self._fleet.session(record.worker)
            if record.phase is Phase.PLACED and session is not None:
                session.stop((task, record.attempt))

    def fresh(self, spec: TaskSpec, accepted_at_ms: int) -> PendingTask:
        """Return a task as the planner is to see it, with its size corrected."""
        corrected = self.care.corrected(spec)
        if corrected == spec.resources:
            self._corrected.pop(spec.id, None)
            return PendingTask(spec, accepted_at_ms)
        self._corrected[spec.id] = corrected
        return PendingTask(spec._replace(resources=corrected), accepted_at_ms)

    def shed(self) -> None:
        """Refuse what can't start in time any more, at once."""
        events: list[Event] = []
        for refused in self._room.shed(self._now_ms()):
            outcome = not_run(refused)
            for member in members_of(self._ledger.state.records[refused.task].spec):
                self._planner.remove(member)
                events.append(Ended(member, outcome, self._now_ms()))
        self.commit(events)

    def _pending(self, record: TaskRecord) -> PendingTask:
        pending = self.fresh(record.spec, record.accepted_at_ms)
        return pending._replace(
            next_attempt=record.attempt + 1, avoid=self._avoided(record)
        )

    def _avoided(self, record: TaskRecord) -> tuple[str, ...]:
        """Return the workers where the task failed, but never all that fit it."""
        if not record.avoid:
            return ()
        wanted = record.spec.resources
        able = sum(1 for s in self._fleet if wanted.fits(s.worker.capacity))
        return record.avoid[-(able - 1) :] if able > 1 else ()

    def _wait_again(self, record: TaskRecord) -> None:
        self._room.readmit(record.spec, self._now_ms())
        self._planner.add_pending(self._pending(record))

    def _tell_ended(self, task: TaskId, outcome: Outcome) -> None:
        record = self._ledger.state.records.get(task)
        if record is not None and record.spec is not None:
            self.care.forget_job(task)
            self._observer.ended(record.spec, outcome)

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())


def members_of(spec: TaskSpec) -> list[TaskId]:
    """Return the ids of all members of the job that the task belongs to."""
    return [spec.id._replace(member=member) for member in range(spec.members)]


def _running_of(record: TaskRecord) -> PendingTask:
    """Return a placed task with what it holds."""
    spec = record.spec._replace(resources=record.held_resources())
    return PendingTask(spec, record.accepted_at_ms, record.attempt + 1, record.avoid)


def _is_placed_at(record: TaskRecord | None, attempt: int) -> bool:
    return (
        record is not None
        and record.phase is Phase.PLACED
        and record.attempt == attempt
    )


def _order_of(record: TaskRecord) -> StartOrder:
    return StartOrder(
        task=record.spec.id,
        attempt=record.attempt,
        resources=record.held_resources(),
        payload=record.spec.payload,
    )
