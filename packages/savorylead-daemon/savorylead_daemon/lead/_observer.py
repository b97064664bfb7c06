"""What a lead tells whoever counts and logs."""

from __future__ import annotations

from savorylead.contracts import TaskSpec
from savorylead.journal import RequeueReason
from savorylead.outcomes import Outcome, Refusal


class LeadObserver:
    """Hooks for metrics and logs; each does nothing unless it is overridden."""

    def refused(self, spec: TaskSpec, reason: Refusal) -> None:
        """A task was refused on arrival; the gateway counts what it tells."""

    def placed(self, spec: TaskSpec, waited_ms: int) -> None:
        """A placement is durable, ``waited_ms`` after the task was accepted."""

    def started(self, spec: TaskSpec, waited_ms: int) -> None:
        """A worker confirmed a start, ``waited_ms`` after the task was accepted."""

    def requeued(self, spec: TaskSpec, reason: RequeueReason) -> None:
        """An attempt ended without an answer and the task waits again."""

    def ended(self, spec: TaskSpec, outcome: Outcome) -> None:
        """A final answer is durable."""

    def order_retried(self, worker: str, reason: str) -> None:
        """A command to a worker failed and is tried again."""

    def answer_discarded(self, worker: str) -> None:
        """A worker's answer did not match its digest and was not taken."""

    def takeover_failed(self, shard: str, reason: str) -> None:
        """This daemon could not take a shard and tries again later."""

    def lead_began(self, shard: str, epoch: int, tasks: int) -> None:
        """This daemon leads the shard from now on."""

    def lead_ended(self, shard: str, epoch: int, resigned: bool) -> None:
        """This daemon no longer leads the shard."""
