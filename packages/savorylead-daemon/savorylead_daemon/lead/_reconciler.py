"""Judges what a worker's report, or its silence, means for a task.

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
    """Nothing is proved yet."""


@dataclass(frozen=True)
class SendAgain:
    """The order may not have arrived; sending it again is harmless."""


@dataclass(frozen=True)
class EndWith:
    """The task has its final answer."""

    outcome: Outcome


@dataclass(frozen=True)
class RequeueFor:
    """The attempt surely does not run and the task may be tried again."""

    reason: RequeueReason


@dataclass(frozen=True)
class DiscardAnswer:
    """The answer is not whole; the next report brings it again."""


#: What follows from a report or its absence.
Verdict = KeepWaiting | SendAgain | EndWith | RequeueFor | DiscardAnswer


def judge_report(record: TaskRecord, report: RunReport) -> Verdict:
    """Judge a report of the record's current attempt."""
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
    """Judge an inventory of ``incarnation`` that lacks the record's attempt.

    ``order_unsent`` is True only if it is proved that no start order left.
    """
    if incarnation == record.incarnation:
        return SendAgain()
    if order_unsent:
        return _end_or_requeue(record, RequeueReason.NEVER_STARTED, started=False)
    return _judge_interrupted(record, RequeueReason.WORKER_RESTARTED)


def judge_lost_worker(record: TaskRecord, order_unsent: bool) -> Verdict:
    """Judge a task whose worker's lease has surely lapsed without a word."""
    if order_unsent:
        return _end_or_requeue(record, RequeueReason.NEVER_STARTED, started=False)
    return _judge_interrupted(record, RequeueReason.LEASE_LAPSED)


def _judge_done(report: RunReport) -> Verdict:
    digest = hashlib.sha256(report.result.encode()).hexdigest()
    if digest != report.digest:
        return DiscardAnswer()
    if len(report.result) > MAX_RESULT_CHARS:
        # The journal could not keep it, and every later lead would meet it again.
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
    """Judge an attempt that ended, or may have, without an answer."""
    if record.cancel_asked:
        return EndWith(Cancelled(started=True))
    if _is_repeatable(record):
        return RequeueFor(reason)
    return EndWith(Unknown(f"interrupted: {reason}"))


def _end_or_requeue(
    record: TaskRecord, reason: RequeueReason, started: bool
) -> Verdict:
    """Requeue an attempt that left nothing half-done, unless it was cancelled."""
    if record.cancel_asked:
        return EndWith(Cancelled(started=started or record.attempt > 1))
    return RequeueFor(reason)


def _is_repeatable(record: TaskRecord) -> bool:
    return record.spec is not None and record.spec.repeatable
