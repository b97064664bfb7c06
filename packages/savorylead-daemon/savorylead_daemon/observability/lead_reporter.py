"""Metrics and log events of leads."""

from __future__ import annotations

from savorylead.contracts import TaskSpec
from savorylead.journal import RequeueReason
from savorylead.outcomes import NotRun, Outcome, Refusal, outcome_tag
from savorylead_daemon.lead import LeadObserver
from savorylead_daemon.settings import LogLevel

from ._event_log import EventLog, LogSubject
from ._metrics import Metrics
from ._wait_histogram import WaitStage


class LeadReporter(LeadObserver):
    """Updates metrics and writes log lines for the events of a lead."""

    def __init__(self, metrics: Metrics, log: EventLog) -> None:
        self._metrics = metrics
        self._log = log

    def refused(self, spec: TaskSpec | None, reason: Refusal) -> None:
        """Log a refusal; the gateway that answers the caller counts it."""
        subject = LogSubject(task=spec.id if spec else None)
        self._log.log_event(LogLevel.INFO, "task_refused", subject, reason=reason.value)

    def placed(self, spec: TaskSpec, waited_ms: int) -> None:
        """Record the waiting time until the placement."""
        self._metrics.observe_wait(WaitStage.PLACED, spec.kind, waited_ms)

    def started(self, spec: TaskSpec, waited_ms: int) -> None:
        """Record the waiting time until the start."""
        self._metrics.observe_wait(WaitStage.STARTED, spec.kind, waited_ms)

    def requeued(self, spec: TaskSpec, reason: RequeueReason) -> None:
        """Count and log an attempt that is requeued."""
        self._metrics.count_requeue(reason)
        self._log.log_event(
            LogLevel.INFO,
            "task_requeued",
            LogSubject(task=spec.id),
            reason=reason.value,
        )

    def ended(self, spec: TaskSpec, outcome: Outcome) -> None:
        """Log a final outcome; count a refusal after the task was accepted."""
        if isinstance(outcome, NotRun):
            self._metrics.count_refusal(outcome.reason)
        self._log.log_event(
            LogLevel.DEBUG,
            "task_ended",
            LogSubject(task=spec.id),
            outcome=outcome_tag(outcome),
        )

    def order_retried(self, worker: str, reason: str) -> None:
        """Count and log a command that is retried."""
        self._metrics.count_retry("worker", reason)
        self._log.log_event(
            LogLevel.WARNING, "order_retried", worker=worker, reason=reason
        )

    def answer_discarded(self, worker: str) -> None:
        """Count and log an answer discarded because its digest does not match."""
        self._metrics.count_retry("worker", "answer_digest_mismatch")
        self._log.log_event(LogLevel.WARNING, "answer_discarded", worker=worker)

    def takeover_failed(self, shard: str, reason: str) -> None:
        """Count and log a failed attempt to take over a shard."""
        self._metrics.count_retry("takeover", reason)
        self._log.log_event(
            LogLevel.WARNING, "takeover_failed", LogSubject(shard=shard), reason=reason
        )

    def lead_began(self, shard: str, epoch: int, tasks: int) -> None:
        """Log that this daemon started to lead a shard."""
        self._log.log_event(
            LogLevel.INFO,
            "lead_began",
            LogSubject(shard=shard, epoch=epoch),
            tasks=tasks,
        )

    def lead_ended(self, shard: str, epoch: int, resigned: bool) -> None:
        """Log that this daemon no longer leads a shard."""
        self._log.log_event(
            LogLevel.INFO,
            "lead_ended",
            LogSubject(shard=shard, epoch=epoch),
            resigned=resigned,
        )
