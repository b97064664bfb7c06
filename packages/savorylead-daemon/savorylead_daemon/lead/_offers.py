"""Offers tasks that this shard cannot place to another shard."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import (
    DeposedError,
    Event,
    Moved,
    OfferDeclined,
    Offered,
    Phase,
)

from ._ledger import ShardLedger

#: Delay before an offer that got no reply is repeated.
OFFER_RETRY = timedelta(seconds=1)


class OfferedJob(NamedTuple):
    """All members of one task or all-at-once job, offered as a whole."""

    specs: tuple[TaskSpec, ...]
    accepted_at_ms: int
    #: Number of the last attempt of any member; 0 if none was ever placed.
    attempt: int = 0


class OfferError(Exception):
    """No reply arrived; the target may or may not have accepted the job."""


class OfferRouter(ABC):
    """Selects other shards and sends requests to their leads."""

    @abstractmethod
    def choose_target(self, spec: TaskSpec, declined: Collection[str]) -> str | None:
        """Return the shard to offer to, or None if no shard is suitable."""

    @abstractmethod
    async def offer(self, target: str, origin: str, job: OfferedJob) -> bool:
        """Return whether the target accepted the job; the reply is final.

        Offers are idempotent. Raises OfferError.
        """

    @abstractmethod
    async def forgotten(self, target: str, jobs: Sequence[TaskId]) -> list[TaskId]:
        """Return the jobs of which the target has no record; raises OfferError."""


class OfferSender:
    """Repeats each offer until it ends as "moved" or "declined".

    The offer is durable here before it is sent, and the reply is durable at the
    target before it is sent, so at any time at most one shard may run the job.
    """

    def __init__(
        self, shard: str, ledger: ShardLedger, router: OfferRouter, clock: Clock
    ) -> None:
        self._shard = shard
        self._ledger = ledger
        self._router = router
        self._clock = clock
        self._closed = False
        #: Waiters for the reply to the offer of each job that is in flight.
        self._waiters: dict[TaskId, list[Deferred[None]]] = {}

    def close(self) -> None:
        """Stop repeating offers."""
        self._closed = True

    def choose_target(self, spec: TaskSpec) -> str | None:
        """Return a shard to offer the task to, or None."""
        record = self._ledger.state.records.get(spec.id)
        declined = record.declined if record is not None else ()
        return self._router.choose_target(spec, declined)

    def offer_events(self, tasks: Iterable[TaskId], target: str) -> list[Event]:
        """Return the events that record an offer; once durable, call ``send``."""
        now_ms = to_millis(self._clock.now())
        return [Offered(task, target, now_ms) for task in tasks]

    def unanswered(self) -> list[tuple[TaskId, str]]:
        """Return offered jobs and their targets, to resend offers after a replay."""
        jobs = {
            task.job(): record.target
            for task, record in self._ledger.state.records.items()
            if record.phase is Phase.OFFERED
        }
        return sorted(jobs.items())

    def send(self, job: TaskId, target: str) -> Deferred[list[TaskId]]:
        """Send an offer until it is answered; fires with the tasks if declined."""
        self._waiters.setdefault(job, [])
        result = Deferred.fromCoroutine(self._complete_offer(job, target))
        result.addErrback(_ignore_deposed)
        result.addBoth(self._wake, job)
        return result

    def answered(self, job: TaskId) -> Deferred[None]:
        """Fire once no offer of the job is in flight."""
        waiter: Deferred[None] = Deferred()
        if job in self._waiters:
            self._waiters[job].append(waiter)
        else:
            waiter.callback(None)
        return waiter

    def _wake(self, result: list[TaskId], job: TaskId) -> list[TaskId]:
        for waiter in self._waiters.pop(job, ()):
            if not waiter.called:
                waiter.callback(None)
        return result

    async def _complete_offer(self, job: TaskId, target: str) -> list[TaskId]:
        offered = self._offered_job(job)
        taken = await self._offer_until_answered(target, offered)
        if taken is None:
            return []
        tasks = [spec.id for spec in offered.specs]
        if taken:
            now_ms = to_millis(self._clock.now())
            await self._ledger.commit([Moved(task, target, now_ms) for task in tasks])
            return []
        await self._ledger.commit([OfferDeclined(task, target) for task in tasks])
        return tasks

    async def _offer_until_answered(
        self, target: str, offered: OfferedJob
    ) -> bool | None:
        while not self._closed:
            try:
                return await self._router.offer(target, self._shard, offered)
            except OfferError:
                await self._clock.sleep(OFFER_RETRY)
        return None

    def _offered_job(self, job: TaskId) -> OfferedJob:
        records = self._ledger.state.records
        first = records[job]
        members = (job._replace(member=n) for n in range(first.spec.members))
        offered = [records[member] for member in members]
        specs = tuple(record.spec for record in offered)
        attempt = max(record.attempt for record in offered)
        return OfferedJob(specs, first.accepted_at_ms, attempt)


def _ignore_deposed(failure: Failure) -> list[TaskId]:
    failure.trap(DeposedError)
    return []
