"""Chooses and reaches other shards for tasks that a shard cannot place."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from savorylead.clock import Clock
from savorylead.contracts import TaskId, TaskSpec
from savorylead.domains import Shard, rendezvous_order
from savorylead.resources import Resources
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


class _CapacityIndex:
    """Which kinds of workers each shard has; made anew only if either changes."""

    def __init__(self, directory: ShardDirectory) -> None:
        self._directory = directory
        self._made_from: tuple[object, object] = (None, None)
        self._kinds: dict[str, frozenset[Resources]] = {}

    def able(self, resources: Resources, workers: Collection[Worker]) -> list[Shard]:
        """Return the shards with a worker that could hold that much."""
        shards = self._directory.shards
        if self._made_from[0] is not workers or self._made_from[1] is not shards:
            self._made_from = (workers, shards)
            self._kinds = {
                shard.name: frozenset(w.capacity for w in workers if shard.contains(w))
                for shard in shards.values()
            }
        return [
            shard
            for name, shard in shards.items()
            if any(resources.fits(capacity) for capacity in self._kinds[name])
        ]


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
        """Take ``workers``, which returns the same object until the list changes."""
        self._own_shard = own_shard
        self._directory = directory
        self._router = router
        self._workers = workers
        self._clock = clock
        self._capacities = _CapacityIndex(directory)

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
            for shard in self._capacities.able(spec.resources, self._workers())
            if shard.name != own.name
            and shard.region == own.region
            and shard.name not in declined
        ]
        ordered = rendezvous_order(str(spec.id.job()), able)
        roomy = [name for name in ordered if self._has_room(name, spec)]
        return next(iter(roomy + ordered), None)

    async def offer(self, target: str, origin: str, job: OfferedJob) -> bool:
        """Return whether the target took the job; raises OfferError."""
        message = OfferMessage(
            target, origin, job.specs, job.accepted_at_ms, job.attempt
        )
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
