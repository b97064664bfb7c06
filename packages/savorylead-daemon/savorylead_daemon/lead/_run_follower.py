"""Tracks attempts on workers until their tasks have an outcome."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from savorylead.clock import to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import Ended, Phase, Requeued, RequeueReason, TaskRecord
from savorylead.outcomes import Cancelled, Failed, Outcome
from savorylead.workers import Inventory, OverrunAction, RunReport, RunState

from ._dispatcher import TaskDispatcher, is_placed_at, members_of
from ._reconciler import (
    DiscardResult,
    EndWith,
    RequeueFor,
    ResendOrder,
    Verdict,
    judge_absence,
    judge_lost_worker,
    judge_report,
)
from ._session_listener import Attempt
from ._shared import SharedParts
from ._worker_session import WorkerSession

#: The next report on an overdue run is requested after half of its overdue time.
OVERDUE_DIVISOR = 2


class RunFollower:
    """Turns workers' reports, and missing reports, into events."""

    def __init__(self, shared: SharedParts, dispatcher: TaskDispatcher) -> None:
        self._ledger = shared.ledger
        self._planner = shared.planner
        self._fleet = shared.fleet
        self._index = shared.index
        self._queue = shared.queue
        self._monitor = shared.monitor
        self._dispatcher = dispatcher
        self._clock = shared.clock
        self._observer = shared.observer
        self._plan_soon = shared.plan_soon

    def on_inventory(self, session: WorkerSession, inventory: Inventory) -> None:
        """Reconcile a worker's inventory with the tasks placed on it."""
        listed = {(report.task, report.attempt) for report in inventory.runs}
        self.on_reports(session, inventory.runs)
        for record in self._index.records_on(session.worker.name):
            attempt = (record.spec.id, record.attempt)
            if attempt not in listed and not self._index.is_uncommitted(attempt):
                self._judge_absent(session, record, attempt, inventory.incarnation)

    def on_reports(self, session: WorkerSession, reports: Sequence[RunReport]) -> None:
        """Process a worker's reports about attempts."""
        for report in reports:
            record = self._ledger.state.records.get(report.task)
            if self._is_current(session, record, report):
                self._process_report(session, record, report)
            elif report.state is RunState.RUNNING:
                session.commands.stop((report.task, report.attempt))
            elif self._ledger.is_durable(report.task):
                session.commands.release((report.task, report.attempt))

    def on_started(self, session: WorkerSession, attempt: Attempt) -> None:
        """Process a worker's confirmation that an attempt started."""
        record = self._ledger.state.records.get(attempt[0])
        if record is None or record.spec is None or not self._index.start(attempt):
            return
        self._observer.started(record.spec, self._now_ms() - record.accepted_at_ms)
        self._expect_end(session, record, 0)

    def on_start_refused(self, attempt: Attempt, reason: str) -> None:
        """End or requeue a task whose start the worker refused."""
        record = self._ledger.state.records.get(attempt[0])
        if not is_placed_at(record, attempt[1]):
            return
        if record.cancel_asked:
            self._end(record, Cancelled(started=record.attempt > 1))
        else:
            self._requeue(record, RequeueReason.WORKER_REFUSED)

    def on_lost(self, session: WorkerSession) -> None:
        """End or requeue the tasks of a worker whose lease has certainly expired."""
        for record in self._index.records_on(session.worker.name):
            unsent = self._withdraw(session, (record.spec.id, record.attempt))
            self._apply_verdict(session, record, judge_lost_worker(record, unsent))

    def checkpoint_all(self, session: WorkerSession) -> None:
        """Checkpoint the repeatable tasks of a worker that is leaving."""
        for record in self._index.records_on(session.worker.name):
            if record.spec.repeatable:
                session.commands.checkpoint((record.spec.id, record.attempt))

    def _judge_absent(
        self,
        session: WorkerSession,
        record: TaskRecord,
        attempt: Attempt,
        incarnation: str,
    ) -> None:
        is_same = incarnation == record.incarnation
        if is_same and session.commands.has_pending_order(attempt):
            return
        unsent = not is_same and self._withdraw(session, attempt)
        self._apply_verdict(session, record, judge_absence(record, incarnation, unsent))

    def _withdraw(self, session: WorkerSession, attempt: Attempt) -> bool:
        """Withdraw the order; True if it is proved that none was ever sent."""
        return self._index.is_unsent(attempt) or session.commands.withdraw_order(
            attempt
        )

    def _is_current(
        self, session: WorkerSession, record: TaskRecord | None, report: RunReport
    ) -> bool:
        return (
            is_placed_at(record, report.attempt)
            and record.worker == session.worker.name
        )

    def _process_report(
        self, session: WorkerSession, record: TaskRecord, report: RunReport
    ) -> None:
        if report.state is RunState.RUNNING:
            self.on_started(session, (report.task, report.attempt))
            self._check_run(session, record, report)
            return
        verdict = judge_report(record, report)
        verdict = self._record_end(session.worker.name, record, report, verdict)
        self._apply_verdict(session, record, verdict)

    def _check_run(
        self, session: WorkerSession, record: TaskRecord, report: RunReport
    ) -> None:
        """Stop a cancelled run, act on an overrun, and schedule the next report."""
        attempt = (report.task, report.attempt)
        held = record.held_resources()
        action = self._monitor.observe(session.worker.name, record.spec, held, report)
        if record.cancel_asked or action is OverrunAction.STOP:
            session.commands.stop(attempt)
        elif action is OverrunAction.CHECKPOINT:
            session.commands.checkpoint(attempt)
        elif action is OverrunAction.THROTTLE:
            session.commands.throttle(attempt, held)
        self._expect_end(session, record, report.ran_ms)

    def _record_end(
        self, worker: str, record: TaskRecord, report: RunReport, verdict: Verdict
    ) -> Verdict:
        """Record how the run ended; fail a job whose attempt budget is exhausted."""
        if report.state is RunState.DONE and isinstance(verdict, EndWith):
            self._monitor.succeeded(worker, record.spec, report.ran_ms)
        elif report.state is RunState.FAILED:
            exhausted = self._monitor.failed(worker, record.spec, report.result)
            if exhausted is not None and isinstance(verdict, RequeueFor):
                return EndWith(Failed(exhausted.describe(), record.attempt))
        return verdict

    def _expect_end(
        self, session: WorkerSession, record: TaskRecord, ran_ms: int
    ) -> None:
        """Schedule the next report at the expected end of the run.

        The next report on an overdue run is due after its overdue time divided by
        OVERDUE_DIVISOR, so the intervals grow.
        """
        if not record.spec.run_time_ms:
            return
        left_ms = record.spec.run_time_ms - ran_ms
        if left_ms < 0:
            left_ms = -left_ms // OVERDUE_DIVISOR
        session.expect_end_in(timedelta(milliseconds=left_ms))

    def _apply_verdict(
        self, session: WorkerSession, record: TaskRecord, verdict: Verdict
    ) -> None:
        if isinstance(verdict, EndWith):
            self._end(record, verdict.outcome)
        elif isinstance(verdict, RequeueFor):
            self._requeue(record, verdict.reason)
        elif isinstance(verdict, ResendOrder):
            self._dispatcher.start_unless_draining(session, record)
        elif isinstance(verdict, DiscardResult):
            self._observer.answer_discarded(session.worker.name)

    def _end(self, record: TaskRecord, outcome: Outcome) -> None:
        self._remove_attempt(record)
        self._planner.remove(record.spec.id)
        events = [Ended(record.spec.id, outcome, self._now_ms())]
        done = self._ledger.commit(events)
        done.addCallbacks(lambda _: self._after_end(record, events), lambda _: None)
        if isinstance(outcome, Failed) and record.spec.members > 1:
            self._dispatcher.cancel(self._open_siblings(record.spec))
        self._plan_soon()

    def _requeue(self, record: TaskRecord, reason: RequeueReason) -> None:
        task = record.spec.id
        self._remove_attempt(record)
        event = Requeued(task, record.attempt, reason, self._now_ms())
        done = self._ledger.commit([event])
        self._queue.requeue(self._ledger.state.records[task])
        done.addCallbacks(lambda _: self._release(record), lambda _: None)
        self._observer.requeued(record.spec, reason)
        if record.spec.members > 1:
            self._stop_siblings(record.spec)
        self._plan_soon()

    def _remove_attempt(self, record: TaskRecord) -> None:
        self._index.remove(record)
        self._monitor.ended_without_result(record.worker, record.spec.id)

    def _after_end(self, record: TaskRecord, events: Sequence[Ended]) -> None:
        self._release(record)
        self._dispatcher.execute_events(events)

    def _release(self, record: TaskRecord) -> None:
        session = self._fleet.session(record.worker)
        if session is not None:
            session.commands.release((record.spec.id, record.attempt))

    def _open_siblings(self, spec: TaskSpec) -> list[TaskId]:
        """Return the other members of an all-at-once job that have no outcome."""
        return [m for m in members_of(spec) if m != spec.id and self._is_open(m)]

    def _is_open(self, task: TaskId) -> bool:
        record = self._ledger.state.records.get(task)
        return record is not None and record.phase in (Phase.QUEUED, Phase.PLACED)

    def _stop_siblings(self, spec: TaskSpec) -> None:
        """Stop the other members of an all-at-once job when one is requeued."""
        for task in self._open_siblings(spec):
            record = self._ledger.state.records[task]
            session = self._fleet.session(record.worker)
            if record.phase is Phase.PLACED and session is not None:
                session.commands.stop((task, record.attempt))

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())
