"""Simulated network between daemons and workers, with injected faults."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead_standins.store import CallFate

T = TypeVar("T")


class NetworkCall(NamedTuple):
    """One call, as passed to a fault plan."""

    source: str
    target: str
    #: Name of the contract's method or of the message's type.
    method: str


class CallLostError(Exception):
    """No reply arrived; the call may have taken effect or may do so later."""


@dataclass
class NetworkPlan:
    """Decides the fate and duration of each call; tests replace its fields."""

    latency: timedelta = timedelta(milliseconds=1)
    #: Time without a reply after which the caller gets an error.
    deadline: timedelta = timedelta(seconds=3)
    #: Delay after the deadline at which a late call is applied.
    late_by: timedelta = timedelta(seconds=2)
    fate: Callable[[NetworkCall], CallFate] = lambda call: CallFate.ANSWERED
    #: Pairs of endpoints between which all calls are lost, in both directions.
    cut: set[frozenset[str]] = field(default_factory=set)
    #: Pairs (source, target) on which requests arrive but replies are lost.
    half_open: set[tuple[str, str]] = field(default_factory=set)
    #: Endpoints that receive no calls and send no replies.
    dead: set[str] = field(default_factory=set)
    #: Called with each call before its fate is chosen.
    on_call: Callable[[NetworkCall], None] = lambda call: None
    #: Called with each result at the target, before the reply is sent.
    on_result: Callable[[NetworkCall, Any], None] = lambda call, result: None

    def fate_of(self, call: NetworkCall) -> CallFate:
        """Return the fate of a call."""
        if frozenset((call.source, call.target)) in self.cut:
            return CallFate.LOST
        if call.target in self.dead:
            return CallFate.LOST
        if (call.source, call.target) in self.half_open:
            return CallFate.REPLY_LOST
        return self.fate(call)


class Network:
    """Delivers calls according to a fault plan."""

    def __init__(self, clock: Clock, rng: random.Random, plan: NetworkPlan) -> None:
        self.plan = plan
        #: Number of calls by method.
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._rng = rng

    async def call(
        self,
        call: NetworkCall,
        apply: Callable[[], Awaitable[T]],
        wait: timedelta = timedelta(0),
    ) -> T:
        """Run one call; raises CallLostError.

        ``wait`` is how long the target may delay the reply on purpose, in addition to
        the deadline.
        """
        self.calls[call.method] += 1
        self.plan.on_call(call)
        fate = self.plan.fate_of(call)
        if fate in (CallFate.LOST, CallFate.REFUSED):
            return await self._lose(fate)
        if fate is CallFate.LANDS_LATE:
            late = self.plan.deadline + self.plan.late_by
            self._clock.call_later(late, self._apply_late, call, apply)
            return await self._lose(fate)
        await self._clock.sleep(self._one_way())
        if call.target in self.plan.dead:
            return await self._lose(CallFate.LOST)
        reply = Deferred.fromCoroutine(_as_coroutine(apply))
        if fate is CallFate.REPLY_LOST:
            reply.addErrback(lambda _: None)
            return await self._lose(fate)
        result = await self._within_deadline(reply, wait)
        self.plan.on_result(call, result)
        await self._clock.sleep(self._one_way())
        if self.plan.fate_of(call) is CallFate.LOST:
            return await self._lose(CallFate.LOST)
        return result

    def _one_way(self) -> timedelta:
        return self.plan.latency * (0.5 + self._rng.random())

    async def _lose(self, fate: CallFate) -> T:
        if fate is not CallFate.REFUSED:
            await self._clock.sleep(self.plan.deadline)
        raise CallLostError(fate.value)

    async def _within_deadline(self, reply: Deferred[T], wait: timedelta) -> T:
        """Wait for a reply up to the deadline; the target is not interrupted by it."""
        result: Deferred[T] = Deferred()
        timer = self._clock.call_later(
            self.plan.deadline + wait,
            lambda: result.called or result.errback(CallLostError("deadline")),
        )
        reply.addCallbacks(
            lambda value: result.called or result.callback(value),
            lambda failure: result.called or result.errback(failure),
        )
        try:
            return await result
        finally:
            timer.cancel()

    def _apply_late(self, call: NetworkCall, apply: Callable[[], Awaitable[T]]) -> None:
        if call.target not in self.plan.dead:
            late = Deferred.fromCoroutine(_as_coroutine(apply))
            late.addErrback(lambda _: None)


async def _as_coroutine(apply: Callable[[], Awaitable[T]]) -> T:
    return await apply()
