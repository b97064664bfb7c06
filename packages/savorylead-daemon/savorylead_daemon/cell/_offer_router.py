"""Offers tasks that a shard cannot place to other shards."""

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

#: Limit for finding the target's lead in one attempt to make an offer.
OFFER_TIMEOUT = timedelta(seconds=5)


class _CapacityIndex:
    """The distinct worker capacities of each shard; rebuilt only after changes."""

    def __init__(self, directory: ShardDirectory) -> None:
        self._directory = directory
        self._built_from: tuple[object, object] = (None, None)
        self._worker_capacities: dict[str, frozenset[Resources]] = {}

    def shards_fitting(
        self, resources: Resources, workers: Collection[Worker]
    ) -> list[Shard]:
        """Return the shards with a worker whose capacity fits ``resources``."""
        shards = self._directory.shards
        if self._built_from[0] is not workers or self._built_from[1] is not shards:
            self._built_from = (workers, shards)
            self._worker_capacities = {
                shard.name: frozenset(w.capacity for w in workers if shard.contains(w))
                for shard in shards.values()
            }
        return [
            shard
            for name, shard in shards.items()
            if any(
                resources.fits(capacity) for capacity in self._worker_capacities[name]
            )
        ]


class PeerOfferRouter(OfferRouter):
    """Offers tasks to shards of the same region with large enough workers."""

    def __init__(
        self,
        own_shard: str,
        directory: ShardDirectory,
        router: Callable[[], ShardRouter],
        workers: Callable[[], Collection[Worker]],
        clock: Clock,
    ) -> None:
        """Create it; ``workers`` returns the same object until the list changes."""
        self._own_shard = own_shard
        self._directory = directory
        self._router = router
        self._workers = workers
        self._clock = clock
        self._capacities = _CapacityIndex(directory)

    def choose_target(self, spec: TaskSpec, declined: Collection[str]) -> str | None:
        """Return the most suitable other shard, or None.

        Shards with enough free capacity come first; within each group the order is by
        rendezvous hashing, which spreads similar tasks over equivalent shards.
        """
        own = self._directory.shards.get(self._own_shard)
        if own is None:
            return None
        candidates = [
            shard.name
            for shard in self._capacities.shards_fitting(
                spec.resources, self._workers()
            )
            if shard.name != own.name
            and shard.region == own.region
            and shard.name not in declined
        ]
        ordered = rendezvous_order(str(spec.id.job()), candidates)
        preferred = [name for name in ordered if self._has_free_capacity(name, spec)]
        return next(iter(preferred + ordered), None)

    async def offer(self, target: str, origin: str, job: OfferedJob) -> bool:
        """Return whether the target accepted the job; raises OfferError."""
        message = OfferMessage(
            target, origin, job.specs, job.accepted_at_ms, job.attempt
        )
        answer = await self._send_request(target, message)
        if not isinstance(answer, OfferAnswer):
            raise OfferError(f"unexpected answer {type(answer).__name__}")
        return answer.accepted

    async def forgotten(self, target: str, jobs: Sequence[TaskId]) -> list[TaskId]:
        """Return the jobs that the target no longer knows; raises OfferError."""
        if target not in self._directory.shards:
            # A shard that was removed from the configuration can run nothing.
            return list(jobs)
        message = AnswersMessage(target, tuple(jobs), wait_ms=0)
        answer = await self._send_request(target, message)
        if not isinstance(answer, ViewsAnswer):
            raise OfferError(f"unexpected answer {type(answer).__name__}")
        return [view.task for view in answer.views if view.phase == ABSENT_PHASE]

    async def _send_request(self, target: str, message: PeerMessage) -> PeerAnswer:
        until = self._clock.now() + OFFER_TIMEOUT
        try:
            return await self._router().ask(target, message, until)
        except NoLeadError as exc:
            raise OfferError(str(exc)) from exc

    def _has_free_capacity(self, shard: str, spec: TaskSpec) -> bool:
        digest = self._directory.shard_digests().get(shard)
        if digest is None:
            return False
        wanted = spec.resources.times(spec.members)
        return wanted.fits(digest.capacity.minus(digest.held))
