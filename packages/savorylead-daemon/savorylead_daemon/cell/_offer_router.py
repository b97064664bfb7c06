"""Chooses and reaches other shards for tasks that a shard cannot place."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from savorylead.clock import Clock
from savorylead.contracts import TaskId, TaskSpec
from savorylead.domains import rendezvous_order
from savorylead.workers import Worker
from savorylead_daemon.lead import (
    ABSENT_PHASE,
    OfferedJob,
    OfferError,
    OfferRouter,
)
from savorylead_daemon.peers import (
    AnswersMessage,
    OfferAnswer,
    OfferMessage,
    PeerAnswer,
    PeerMessage,
    ViewsAnswer,
)

from ._directory import ShardDirectory
from ._router import NoLeadError, ShardRouter

#: How long one attempt to place an offer looks for the target's lead.
OFFER_DEADLINE = timedelta(seconds=5)


class PeerOfferRouter(OfferRouter):
    """Offers to shards of the same region that could hold the task."""

    def __init__(
        self,
        own_shard: str,
        directory: ShardDirectory,
        router: Callable[[], ShardRouter],
        workers: Callable[[], Collection[Worker]],
        clock: Clock,
    ) -> None:
        self._own_shard = own_shard
        self._directory = directory
        self._router = router
        self._workers = workers
        self._clock = clock

    def choose_target(self, spec: TaskSpec, declined: Collection[str]) -> str | None:
        """Return the most suitable other shard, or None.

        Shards with free room come first, then the order of rendezvous hashing, so
        that tasks of one kind spread over shards that look alike.
        """
        own = self._directory.shards.get(self._own_shard)
        if own is None:
            return None
        able = [
            shard.name
            for shard in self._directory.shards.values()
            if shard.name != own.name
            and shard.region == own.region
            and shard.name not in declined
            and any(
                shard.holds(worker) and spec.resources.fits(worker.capacity)
                for worker in self._workers()
            )
        ]
        ordered = rendezvous_order(str(spec.id.job()), able)
        roomy = [name for name in ordered if self._has_room(name, spec)]
        return next(iter(roomy + ordered), None)

    async def offer(self, target: str, origin: str, job: OfferedJob) -> bool:
        """Return whether the target took the job; raises OfferError."""
        message = OfferMessage(target, origin, job.specs, job.accepted_at_ms)
        answer = await self._ask(target, message)
        if not isinstance(answer, OfferAnswer):
            raise OfferError(f"unexpected {type(answer).__name__}")
        return answer.taken

    async def forgotten(self, target: str, jobs: Sequence[TaskId]) -> list[TaskId]:
        """Return those jobs that the target knows no more; raises OfferError."""
        if target not in self._directory.shards:
            # A shard that the configuration no longer has can run nothing.
            return list(jobs)
        message = AnswersMessage(target, tuple(jobs), wait_ms=0)
        answer = await self._ask(target, message)
        if not isinstance(answer, ViewsAnswer):
            raise OfferError(f"unexpected {type(answer).__name__}")
        return [view.task for view in answer.views if view.phase == ABSENT_PHASE]

    async def _ask(self, target: str, message: PeerMessage) -> PeerAnswer:
        until = self._clock.now() + OFFER_DEADLINE
        try:
            return await self._router().ask(target, message, until)
        except NoLeadError as exc:
            raise OfferError(str(exc)) from exc

    def _has_room(self, shard: str, spec: TaskSpec) -> bool:
        digest = self._directory.shard_digests().get(shard)
        if digest is None:
            return False
        wanted = spec.resources.times(spec.members)
        return wanted.fits(digest.capacity.minus(digest.held))
