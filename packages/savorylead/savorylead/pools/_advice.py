"""Advice received for each step, and the next requests to the policy adviser.

Load pattern: the adviser serves one request at a time for each calling machine, and a
request takes up to half a second, so requests are the scarcest resource of a pool. The
first request for a step names few workers; later ones only renew the tickets of workers
that are known to be allowed and have free capacity.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from savorylead.jobs import StepRun

from ._contracts import Advice, AdviceCost
from ._gang_advice import GangAdvice, GangCapacity
from ._pool_worker import PoolWorker

#: Assumed share of the workers that a queue's policy allows, until it is observed.
INITIAL_ALLOWED_SHARE = 0.4
#: Weight of one answer in the moving average of that share.
ALLOWED_SHARE_WEIGHT = 0.1
#: Target probability that the workers named include an allowed one.
HIT_PROBABILITY = 0.97
#: Maximum number of unknown workers named in one request; a gang may name more.
MAX_NAMED = 24
#: Extra workers are named while they lengthen a request by at most this share.
MAX_EXTRA_SHARE = 0.25
#: Maximum number of workers whose tickets one request renews.
MAX_RENEWED = 4
#: Time before its expiry from which on a ticket is not used, in milliseconds, so that
#: the order that carries it arrives in time.
TICKET_MARGIN_MS = 150
#: Delay before a failed request is retried, in milliseconds.
RETRY_MS = 200


#: Longest expected duration of a short request, in milliseconds.
SHORT_CALL_MS = 60.0


class AdviceSlots(NamedTuple):
    """How many more requests may be made now.

    A request that would only queue behind others is not made yet: by the time it is
    served, another step may be more urgent.
    """

    short: int
    long: int

    def allow(self, expected_ms: float) -> bool:
        """Return whether a request of that duration may be made."""
        return (self.short if expected_ms <= SHORT_CALL_MS else self.long) > 0

    def without(self, expected_ms: float) -> AdviceSlots:
        """Return what remains after a request of that duration."""
        if expected_ms <= SHORT_CALL_MS:
            return self._replace(short=self.short - 1)
        return self._replace(long=self.long - 1)


#: Slots that do not limit requests.
UNBOUNDED = AdviceSlots(1 << 30, 1 << 30)


class _Ticket(NamedTuple):
    text: str
    #: Start of the worker's incarnation; a ticket is valid for one incarnation only.
    incarnation_start_ms: int
    expires_ms: int


class AdviceRequest(NamedTuple):
    """A request to send to the adviser."""

    step: StepRun
    #: Ids of the workers to name.
    workers: tuple[str, ...]
    #: Expected duration, in milliseconds.
    expected_ms: float
    #: The pending request with the lowest rank is sent first: the expected duration, or
    #: 0 for a long-running step.
    rank_ms: float


class StepAdvice:
    """The advice known for one step."""

    __slots__ = ("bad", "good", "named", "not_before_ms", "pending")

    def __init__(self) -> None:
        #: Last tickets of the workers known to be allowed, by id.
        self.good: dict[str, _Ticket] = {}
        #: Ids of the workers known to be forbidden.
        self.bad: set[str] = set()
        #: Whether a request is pending.
        self.pending = False
        #: Ids of the workers that the last request named.
        self.named: frozenset[str] = frozenset()
        self.not_before_ms = 0


class AdviceBook:
    """Tickets by step, and the share of workers that each queue's policy allows."""

    def __init__(self) -> None:
        self._allowed_shares: dict[str, float] = {}

    def of(self, step: StepRun) -> StepAdvice:
        """Return the advice known for a step."""
        if not isinstance(step.advice, StepAdvice):
            step.advice = StepAdvice()
        return step.advice

    def ticket(self, step: StepRun, worker: PoolWorker, now_ms: int) -> str | None:
        """Return a ticket that is valid for an order sent now, or None."""
        ticket = self.of(step).good.get(worker.id)
        if (
            ticket is None
            or ticket.incarnation_start_ms != worker.entry.incarnation_start_ms
        ):
            return None
        return ticket.text if now_ms < ticket.expires_ms else None

    def has_or_awaits_ticket(
        self, step: StepRun, worker: PoolWorker, now_ms: int
    ) -> bool:
        """Return whether the worker is allowed and has or will soon get a ticket."""
        known = self.of(step)
        if worker.id not in known.good:
            return False
        if known.pending and worker.id in known.named:
            return True
        return self.ticket(step, worker, now_ms) is not None

    def may_be_allowed(self, step: StepRun, worker: PoolWorker) -> bool:
        """Return False if the worker is known to be forbidden."""
        return worker.id not in self.of(step).bad

    def request(
        self,
        step: StepRun,
        cost: AdviceCost,
        available: Sequence[PoolWorker],
        others: Sequence[PoolWorker],
        tasks_per_worker: float,
        now_ms: int,
    ) -> AdviceRequest | None:
        """Return the next request for a step, or None if it needs none now.

        ``available`` could start a task of the step now, best first; ``others``
        could hold one later.
        """
        known = self.of(step)
        if known.pending or now_ms < known.not_before_ms:
            return None
        if any(self.ticket(step, worker, now_ms) for worker in available):
            return None
        renewable = [w.id for w in available if w.id in known.good]
        if renewable:
            return self._make_request(step, renewable[:MAX_RENEWED], cost)
        unknown = [w.id for w in available if w.id not in known.bad]
        if not unknown:
            if known.good:
                return None
            unknown = [w.id for w in others if w.id not in known.bad]
        if not unknown:
            return None
        count = self._count_to_name(step, cost, tasks_per_worker)
        if len(unknown) < count:
            # Naming more workers now costs less than another request later.
            known_ids = set(unknown)
            unknown += [
                w.id for w in others if w.id not in known.bad and w.id not in known_ids
            ]
        return self._make_request(step, unknown[:count], cost)

    def request_for_gang(
        self,
        step: StepRun,
        cost: AdviceCost,
        capacities: Sequence[GangCapacity],
        tasks_per_worker: float,
        now_ms: int,
    ) -> AdviceRequest | None:
        """Return the next request for a gang, or None if it needs none now."""
        known = self.of(step)
        if known.pending or now_ms < known.not_before_ms:
            return None
        advice = GangAdvice(
            count=step.spec.count,
            allowed=frozenset(known.good),
            has_ticket=lambda worker: bool(self.ticket(step, worker, now_ms)),
            allowed_share=self._allowed_share(step),
            min_named=self._count_to_name(step, cost, tasks_per_worker),
            request_ms=cost.expected_ms,
        )
        named = advice.workers_to_name(
            [
                capacity
                for capacity in capacities
                if capacity.worker.id not in known.bad
            ],
            now_ms,
        )
        return self._make_request(step, named, cost) if named else None

    def allowed_count(self, step: StepRun) -> int:
        """Return the number of workers known to be allowed for a step."""
        return len(self.of(step).good)

    def note_requested(self, step: StepRun) -> None:
        """Record that a request is pending."""
        self.of(step).pending = True

    def record_answer(
        self,
        step: StepRun,
        queue: str,
        named_workers: Sequence[PoolWorker],
        advice: Advice,
        now_ms: int,
    ) -> None:
        """Record an answer that arrived now."""
        known = self.of(step)
        known.pending = False
        expires_ms = now_ms + advice.valid_ms - TICKET_MARGIN_MS
        newly_known = 0
        newly_allowed = 0
        for worker in named_workers:
            was_known = worker.id in known.good or worker.id in known.bad
            text = advice.tickets.get(worker.id)
            if text is None:
                known.bad.add(worker.id)
                known.good.pop(worker.id, None)
            else:
                known.good[worker.id] = _Ticket(
                    text, worker.entry.incarnation_start_ms, expires_ms
                )
                known.bad.discard(worker.id)
            newly_known += not was_known
            newly_allowed += not was_known and text is not None
        if newly_known:
            share = self._allowed_shares.get(queue, INITIAL_ALLOWED_SHARE)
            share += ALLOWED_SHARE_WEIGHT * (newly_allowed / newly_known - share)
            self._allowed_shares[queue] = share

    def record_failure(self, step: StepRun, now_ms: int) -> None:
        """Record that a request failed."""
        known = self.of(step)
        known.pending = False
        known.not_before_ms = now_ms + RETRY_MS

    def record_rejection(self, step: StepRun, worker_id: str) -> None:
        """Record that a worker rejected its ticket, so that the ticket is renewed."""
        ticket = self.of(step).good.get(worker_id)
        if ticket is not None:
            self.of(step).good[worker_id] = ticket._replace(expires_ms=0)

    def forget_workers(self, steps: Sequence[StepRun], worker_id: str) -> None:
        """Remove the advice on a worker that is gone."""
        for step in steps:
            known = self.of(step)
            known.good.pop(worker_id, None)
            known.bad.discard(worker_id)

    def _count_to_name(
        self, step: StepRun, cost: AdviceCost, tasks_per_worker: float
    ) -> int:
        """Return the number of unknown workers to name."""
        share = self._allowed_share(step)
        for_one = math.ceil(math.log(1 - HIT_PROBABILITY) / math.log(1 - share))
        for_all = math.ceil(len(step.waiting()) / max(1.0, tasks_per_worker) / share)
        affordable = MAX_NAMED
        if cost.per_worker_ms > 0:
            affordable = int(MAX_EXTRA_SHARE * cost.decide_ms / cost.per_worker_ms)
        return min(MAX_NAMED, max(for_one, for_all, affordable, 2))

    def _allowed_share(self, step: StepRun) -> float:
        """Return the share of workers that the policy of the step's queue allows."""
        share = self._allowed_shares.get(step.job.record.queue, INITIAL_ALLOWED_SHARE)
        return min(0.95, max(0.05, share))

    def _make_request(
        self, step: StepRun, workers: Sequence[str], cost: AdviceCost
    ) -> AdviceRequest:
        expected_ms = cost.expected_ms(len(workers))
        self.of(step).named = frozenset(workers)
        rank_ms = 0.0 if step.spec.long_running else expected_ms
        return AdviceRequest(step, tuple(workers), expected_ms, rank_ms)
