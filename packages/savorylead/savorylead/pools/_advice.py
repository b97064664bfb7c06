"""What the policy adviser said of each step, and what to ask it next.

Load pattern: the adviser serves one call at a time for each calling machine, and a
call takes up to half a second, so calls are the scarcest thing of a pool. A step is
asked about once, naming few workers; later calls only renew the tickets of workers
that are known to be allowed and have room.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from savorylead.jobs import StepRun

from ._contracts import Advice, AdviceCost
from ._gang_advice import GangAdvice, GangRoom
from ._pool_worker import PoolWorker

#: Part of the workers that a queue's policy allows, until it was observed.
INITIAL_GOOD_SHARE = 0.4
#: Weight of one answer in the observed part.
GOOD_SHARE_WEIGHT = 0.1
#: Wanted probability that the workers named include an allowed one.
HIT_PROBABILITY = 0.97
#: Most workers named in one call, whatever the step asks for.
MAX_NAMED = 24
#: Workers are named beyond need while they lengthen a call by no more than this part.
CHEAP_SHARE = 0.25
#: Most workers whose tickets one call renews.
MAX_RENEWED = 4
#: A ticket is not used in its last part, in milliseconds, so that an order which
#: carries it arrives in time.
TICKET_MARGIN_MS = 150
#: Time until a failed call is tried again, in milliseconds.
RETRY_MS = 200


#: Calls expected to take no longer are short, in milliseconds.
SHORT_CALL_MS = 60.0


class AdviceSlots(NamedTuple):
    """How many more calls may be made now.

    A call that would only wait behind others is not made yet: by the time its turn
    comes, another step may be more urgent.
    """

    short: int
    long: int

    def allow(self, expected_ms: float) -> bool:
        """Return whether a call of that length may be made."""
        return (self.short if expected_ms <= SHORT_CALL_MS else self.long) > 0

    def without(self, expected_ms: float) -> AdviceSlots:
        """Return what is left after a call of that length."""
        if expected_ms <= SHORT_CALL_MS:
            return self._replace(short=self.short - 1)
        return self._replace(long=self.long - 1)


#: Slots where nothing bounds the calls.
UNBOUNDED = AdviceSlots(1 << 30, 1 << 30)


class _Ticket(NamedTuple):
    text: str
    #: Start of the worker's incarnation; a ticket holds for one.
    born_ms: int
    expires_ms: int


class AdviceRequest(NamedTuple):
    """A call to make."""

    step: StepRun
    #: Ids of the workers to name.
    workers: tuple[str, ...]
    #: How long the adviser will take, in milliseconds.
    expected_ms: float
    #: Of the calls that wait, the one with the lowest rank is made first. It is the
    #: expected time, or 0 for a step that must run at any time.
    rank_ms: float


class StepAdvice:
    """What is known of one step."""

    __slots__ = ("bad", "good", "named", "not_before_ms", "pending")

    def __init__(self) -> None:
        self.good: dict[str, _Ticket] = {}
        self.bad: set[str] = set()
        #: Whether a call is under way.
        self.pending = False
        #: Ids of the workers that the last call named.
        self.named: frozenset[str] = frozenset()
        self.not_before_ms = 0


class AdviceBook:
    """Tickets by step, and how many workers a queue's policy tends to allow."""

    def __init__(self) -> None:
        self._good_share: dict[str, float] = {}

    def of(self, step: StepRun) -> StepAdvice:
        """Return what is known of a step."""
        if not isinstance(step.advice, StepAdvice):
            step.advice = StepAdvice()
        return step.advice

    def ticket(self, step: StepRun, worker: PoolWorker, now_ms: int) -> str | None:
        """Return a ticket that an order sent now may carry, or None."""
        ticket = self.of(step).good.get(worker.id)
        if ticket is None or ticket.born_ms != worker.entry.born_ms:
            return None
        return ticket.text if now_ms < ticket.expires_ms else None

    def is_prepared(self, step: StepRun, worker: PoolWorker, now_ms: int) -> bool:
        """Return whether an allowed worker has a ticket, or soon will."""
        known = self.of(step)
        if worker.id not in known.good:
            return False
        if known.pending and worker.id in known.named:
            return True
        return self.ticket(step, worker, now_ms) is not None

    def may_be_allowed(self, step: StepRun, worker: PoolWorker) -> bool:
        """Return whether the worker is not known to be forbidden."""
        return worker.id not in self.of(step).bad

    def request(
        self,
        step: StepRun,
        cost: AdviceCost,
        with_room: Sequence[PoolWorker],
        others: Sequence[PoolWorker],
        tasks_per_worker: float,
        now_ms: int,
    ) -> AdviceRequest | None:
        """Return the next call for a step, or None if it needs none now.

        ``with_room`` could start a task of the step now, best first; ``others``
        could hold one later.
        """
        known = self.of(step)
        if known.pending or now_ms < known.not_before_ms:
            return None
        if any(self.ticket(step, worker, now_ms) for worker in with_room):
            return None
        renewable = [w.id for w in with_room if w.id in known.good]
        if renewable:
            return self._call(step, renewable[:MAX_RENEWED], cost)
        unknown = [w.id for w in with_room if w.id not in known.bad]
        if not unknown:
            if known.good:
                return None
            unknown = [w.id for w in others if w.id not in known.bad]
        if not unknown:
            return None
        wanted = self._named(step, cost, tasks_per_worker)
        if len(unknown) < wanted:
            # Knowing more workers now costs less than another call later.
            known_ids = set(unknown)
            unknown += [
                w.id for w in others if w.id not in known.bad and w.id not in known_ids
            ]
        return self._call(step, unknown[:wanted], cost)

    def request_for_gang(
        self,
        step: StepRun,
        cost: AdviceCost,
        rooms: Sequence[GangRoom],
        tasks_per_worker: float,
        now_ms: int,
    ) -> AdviceRequest | None:
        """Return the next call for a gang, or None if it needs none now."""
        known = self.of(step)
        if known.pending or now_ms < known.not_before_ms:
            return None
        advice = GangAdvice(
            count=step.spec.count,
            good=frozenset(known.good),
            has_ticket=lambda worker: bool(self.ticket(step, worker, now_ms)),
            share=self._share_of(step),
            fewest=self._named(step, cost, tasks_per_worker),
            call_ms=cost.expected_ms,
        )
        named = advice.to_name(
            [room for room in rooms if room.worker.id not in known.bad], now_ms
        )
        return self._call(step, named, cost) if named else None

    def allowed_count(self, step: StepRun) -> int:
        """Return how many workers are known to be allowed for a step."""
        return len(self.of(step).good)

    def asked(self, step: StepRun) -> None:
        """Note that a call is under way."""
        self.of(step).pending = True

    def answered(
        self,
        step: StepRun,
        queue: str,
        asked: Sequence[PoolWorker],
        advice: Advice,
        now_ms: int,
    ) -> None:
        """Take over an answer that arrived now."""
        known = self.of(step)
        known.pending = False
        expires_ms = now_ms + advice.valid_ms - TICKET_MARGIN_MS
        first_time = 0
        allowed = 0
        for worker in asked:
            seen = worker.id in known.good or worker.id in known.bad
            text = advice.tickets.get(worker.id)
            if text is None:
                known.bad.add(worker.id)
                known.good.pop(worker.id, None)
            else:
                known.good[worker.id] = _Ticket(text, worker.entry.born_ms, expires_ms)
                known.bad.discard(worker.id)
            first_time += not seen
            allowed += not seen and text is not None
        if first_time:
            share = self._good_share.get(queue, INITIAL_GOOD_SHARE)
            share += GOOD_SHARE_WEIGHT * (allowed / first_time - share)
            self._good_share[queue] = share

    def failed(self, step: StepRun, now_ms: int) -> None:
        """Note that a call brought no advice."""
        known = self.of(step)
        known.pending = False
        known.not_before_ms = now_ms + RETRY_MS

    def refused(self, step: StepRun, worker_id: str) -> None:
        """Note that a worker refused the ticket, so that it is renewed."""
        ticket = self.of(step).good.get(worker_id)
        if ticket is not None:
            self.of(step).good[worker_id] = ticket._replace(expires_ms=0)

    def forget_workers(self, steps: Sequence[StepRun], gone: str) -> None:
        """Drop what was said of a worker that is gone."""
        for step in steps:
            known = self.of(step)
            known.good.pop(gone, None)
            known.bad.discard(gone)

    def _named(self, step: StepRun, cost: AdviceCost, tasks_per_worker: float) -> int:
        """Return how many unknown workers to name."""
        share = self._share_of(step)
        for_one = math.ceil(math.log(1 - HIT_PROBABILITY) / math.log(1 - share))
        for_all = math.ceil(len(step.waiting()) / max(1.0, tasks_per_worker) / share)
        cheap = MAX_NAMED
        if cost.per_worker_ms > 0:
            cheap = int(CHEAP_SHARE * cost.decide_ms / cost.per_worker_ms)
        return min(MAX_NAMED, max(for_one, for_all, cheap, 2))

    def _share_of(self, step: StepRun) -> float:
        """Return the part of the workers that the policy of the step's queue allows."""
        share = self._good_share.get(step.job.record.queue, INITIAL_GOOD_SHARE)
        return min(0.95, max(0.05, share))

    def _call(
        self, step: StepRun, workers: Sequence[str], cost: AdviceCost
    ) -> AdviceRequest:
        expected_ms = cost.expected_ms(len(workers))
        self.of(step).named = frozenset(workers)
        rank_ms = 0.0 if step.spec.long_running else expected_ms
        return AdviceRequest(step, tuple(workers), expected_ms, rank_ms)
