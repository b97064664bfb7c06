"""Events that a lead reports for metrics and logs."""

from __future__ import annotations

from savorylead.contracts import TaskSpec
from savorylead.journal import RequeueReason
from savorylead.outcomes import Outcome, Refusal


class LeadObserver:
    """Hooks for metrics and logs; the default implementations do nothing."""

    def refused(self, spec: TaskSpec, reason: Refusal) -> None:
        """A task was refused on submission; the gateway counts returned refusals."""

    def placed(self, spec: TaskSpec, waited_ms: int) -> None:
        """A placement is durable, ``waited_ms`` after the task was accepted."""

    def started(self, spec: TaskSpec, waited_ms: int) -> None:
        """A worker confirmed a start, ``waited_ms`` after the task was accepted."""

    def requeued(self, spec: TaskSpec, reason: RequeueReason) -> None:
        """An attempt ended without an outcome and the task was queued again."""

    def ended(self, spec: TaskSpec, outcome: Outcome) -> None:
        """The outcome of a task is durable."""

    def order_retried(self, worker: str, reason: str) -> None:
        """A command to a worker failed and will be retried."""

    def answer_discarded(self, worker: str) -> None:
        """A worker's result did not match its digest and was discarded."""

    def takeover_failed(self, shard: str, reason: str) -> None:
        """This daemon failed to take over a shard and will retry."""

    def lead_began(self, shard: str, epoch: int, tasks: int) -> None:
        """This daemon became the lead of the shard."""

    def lead_ended(self, shard: str, epoch: int, resigned: bool) -> None:
        """This daemon stopped leading the shard."""
