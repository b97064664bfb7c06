"""Decides how a worker's report, or its absence, changes a task.

The functions are pure; the lead turns their verdicts into journal events.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from savorylead.journal import RequeueReason, TaskRecord
from savorylead.outcomes import Cancelled, Done, Failed, Outcome, Unknown
from savorylead.workers import MAX_RESULT_CHARS, RunReport, RunState


@dataclass(frozen=True)
class KeepWaiting:
    """The state of the attempt is not known yet; no action."""


@dataclass(frozen=True)
class ResendOrder:
    """The start order may not have arrived; orders are idempotent."""


@dataclass(frozen=True)
class EndWith:
    """The task ends with an outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class RequeueFor:
    """The attempt is certain not to run and the task may be retried."""

    reason: RequeueReason


@dataclass(frozen=True)
class DiscardResult:
    """The result does not match its digest; the next report repeats it."""


#: The action that follows from a report or its absence.
Verdict = KeepWaiting | ResendOrder | EndWith | RequeueFor | DiscardResult


def judge_report(record: TaskRecord, report: RunReport) -> Verdict:
    """Return the verdict on a report of the record's current attempt."""
    if report.state is RunState.RUNNING:
        return KeepWaiting()
    if report.state is RunState.DONE:
        return _judge_done(report)
    if report.state is RunState.FAILED:
        return _judge_failed(record, report)
    if report.state is RunState.NEVER_STARTED:
        return _end_or_requeue(record, RequeueReason.NEVER_STARTED, started=False)
    if report.state is RunState.CHECKPOINTED:
        return _end_or_requeue(record, RequeueReason.CHECKPOINTED, started=True)
    return _judge_interrupted(record, RequeueReason.STOPPED)


def judge_absence(record: TaskRecord, incarnation: str, order_unsent: bool) -> Verdict:
    """Return the verdict on an inventory without the record's current attempt.

    ``incarnation`` is the one that the inventory describes. ``order_unsent`` is True
    only if it is proved that no start order was sent.
    """
    if incarnation == record.incarnation:
        return ResendOrder()
    if order_unsent:
        return _end_or_requeue(record, RequeueReason.NEVER_STARTED, started=False)
    return _judge_interrupted(record, RequeueReason.WORKER_RESTARTED)


def judge_lost_worker(record: TaskRecord, order_unsent: bool) -> Verdict:
    """Return the verdict on a task whose worker's lease expired without a report."""
    if order_unsent:
        return _end_or_requeue(record, RequeueReason.NEVER_STARTED, started=False)
    return _judge_interrupted(record, RequeueReason.LEASE_LAPSED)


def _judge_done(report: RunReport) -> Verdict:
    digest = hashlib.sha256(report.result.encode()).hexdigest()
    if digest != report.digest:
        return DiscardResult()
    if len(report.result) > MAX_RESULT_CHARS:
        # The journal can't store it, and every later lead would receive it again.
        detail = f"the answer of {len(report.result)} characters is too long"
        return EndWith(Failed(detail, report.attempt))
    return EndWith(Done(report.result, report.digest, report.attempt))


def _judge_failed(record: TaskRecord, report: RunReport) -> Verdict:
    if record.cancel_asked:
        return EndWith(Cancelled(started=True))
    if _is_repeatable(record):
        return RequeueFor(RequeueReason.FAILED)
    return EndWith(Failed(report.result[:MAX_RESULT_CHARS], report.attempt))


def _judge_interrupted(record: TaskRecord, reason: RequeueReason) -> Verdict:
    """Return the verdict on an attempt that ended, or may have, without a result."""
    if record.cancel_asked:
        return EndWith(Cancelled(started=True))
    if _is_repeatable(record):
        return RequeueFor(reason)
    return EndWith(Unknown(f"interrupted: {reason}"))


def _end_or_requeue(
    record: TaskRecord, reason: RequeueReason, started: bool
) -> Verdict:
    """Requeue an attempt without partial effects, unless it was cancelled."""
    if record.cancel_asked:
        return EndWith(Cancelled(started=started or record.attempt > 1))
    return RequeueFor(reason)


def _is_repeatable(record: TaskRecord) -> bool:
    return record.spec is not None and record.spec.repeatable
