"""Order of adviser calls in a daemon, and choice of the daemon for each call."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime

import msgspec
import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock as StepClock

from savorylead.clock import TwistedClock
from savorylead.pools import (
    Advice,
    AdviceSlots,
    AdviserBusyError,
    AdviserError,
    AdviserRefusedError,
    PolicyAdviser,
)
from savorylead_daemon.pool._advice_queue import (
    MAX_WAITING,
    MIN_EXCLUSION,
    AdviceQueue,
    AdviceRouter,
)
from savorylead_daemon.pool._peer_messages import AdviceReply, PeerAdviceRequest
from savorylead_daemon.pool._peers import PeerServer, advice_of

#: Calls in progress; without a reference they would be garbage-collected.
IN_PROGRESS: list[Deferred[None]] = []


def new_clock(steps: StepClock | None = None) -> TwistedClock:
    return TwistedClock(steps or StepClock(), datetime(2026, 1, 1, tzinfo=UTC))


async def never_answered(
    name: str, step: str, workers: object, rank_ms: float
) -> Advice:
    """Stay in progress for the whole test."""
    IN_PROGRESS.append(Deferred())
    await IN_PROGRESS[-1]
    raise AssertionError("a call that must not be answered was answered")


@pytest.mark.parametrize(
    "expected_ms, busy, chosen",
    [
        (20.0, {}, "d0"),
        (600.0, {}, "d2"),
        (20.0, {"d0": 2}, "d1"),
        (20.0, {"d0": 10, "d1": 10}, "d2"),
        (600.0, {"d2": 1}, "d3"),
        (600.0, {"d2": 2, "d3": 2, "d4": 2, "d5": 2}, "d0"),
    ],
)
def test_calls_for_advice_go_where_they_wait_least(
    expected_ms: float, busy: dict[str, int], chosen: str
) -> None:
    # Replays a burst of short calls beside long ones on six daemons.
    router = AdviceRouter(never_answered, new_clock())
    names = [f"d{n}" for n in range(6)]
    for name, calls in busy.items():
        for _ in range(calls):
            call = router.advise([name], "s", (), expected_ms, 0.0)
            Deferred.fromCoroutine(call).addErrback(lambda _: None)
    assert router.choose(names, expected_ms) == chosen


@pytest.mark.parametrize(
    "daemons, long_at, short_at, slots",
    [
        (9, {}, {}, (36, 6)),
        (9, {"d3": 1}, {}, (32, 5)),
        (9, {f"d{n}": 1 for n in range(3, 9)}, {"d0": 4, "d1": 3}, (5, 0)),
        (9, {f"d{n}": 1 for n in range(9)}, {}, (0, 0)),
        (2, {"d1": 1}, {}, (4, 0)),
        (1, {}, {"d0": 1}, (3, 1)),
    ],
)
def test_no_more_calls_are_made_than_daemons_can_take_up(
    daemons: int,
    long_at: dict[str, int],
    short_at: dict[str, int],
    slots: tuple[int, int],
) -> None:
    # Replays a backlog in which urgent calls were queued behind those for work that
    # could not start soon.
    router = AdviceRouter(never_answered, new_clock())
    for busy, expected_ms in ((long_at, 500.0), (short_at, 15.0)):
        for name, calls in busy.items():
            for _ in range(calls):
                call = router.advise([name], "s", (), expected_ms, 0.0)
                Deferred.fromCoroutine(call).addErrback(lambda _: None)
    names = [f"d{n}" for n in range(daemons)]
    assert router.slots(names) == AdviceSlots(*slots)


def test_a_daemon_whose_calls_fail_is_passed_over_for_a_while() -> None:
    # A daemon that could not reach the adviser failed each call immediately, so it had
    # the shortest queue and received all calls.
    steps = StepClock()
    failing = {"d1"}

    async def advise_through(
        name: str, step: str, workers: object, rank_ms: float
    ) -> Advice:
        if name in failing:
            raise AdviserError("no answer")
        return Advice({}, 0)

    router = AdviceRouter(advise_through, new_clock(steps))
    names = ["d0", "d1", "d2"]

    def call() -> str:
        name = router.choose(names, 600.0)
        advising = router.advise(names, "s", (), 600.0, 0.0)
        Deferred.fromCoroutine(advising).addErrback(lambda failure: None)
        return name

    assert [call(), call(), call()] == ["d1", "d2", "d2"]
    assert router.slots(names) == AdviceSlots(8, 1)
    exclusion_s = MIN_EXCLUSION.total_seconds()
    steps.advance(exclusion_s)
    assert [call(), call()] == ["d1", "d2"]
    steps.advance(exclusion_s)
    assert call() == "d2"
    steps.advance(exclusion_s)
    failing.clear()
    assert [call(), call()] == ["d1", "d1"]
    failing.update(["d1", "d2"])
    assert [call(), call()] == ["d1", "d2"]
    # The only daemon left is reserved for short calls, but must make long ones too.
    assert router.slots(names) == AdviceSlots(4, 1)
    # If calls fail through all daemons, none is excluded.
    failing.update(names)
    assert [call(), call(), call()] == ["d0", "d1", "d1"]


def test_a_daemon_whose_call_is_refused_goes_on_getting_calls() -> None:
    # A single step whose calls were refused had all daemons excluded in turn.
    async def refuse(name: str, step: str, workers: object, rank_ms: float) -> Advice:
        raise AdviserRefusedError("status 400")

    router = AdviceRouter(refuse, new_clock())
    names = ["d0", "d1", "d2"]
    chosen = router.choose(names, 600.0)
    call = router.advise(names, "s", (), 600.0, 0.0)
    Deferred.fromCoroutine(call).addErrback(lambda failure: None)
    assert router.choose(names, 600.0) == chosen
    assert router.slots(names) == AdviceSlots(12, 2)


class FailingAdviser(PolicyAdviser):
    """Raises the same error for each call."""

    def __init__(self, exc: AdviserError) -> None:
        self._exc = exc

    async def advise(self, step: str, workers: Sequence[str]) -> Advice:
        raise self._exc


@pytest.mark.parametrize(
    "raised, expected",
    [
        (AdviserError("no answer"), AdviserError),
        (AdviserError(), AdviserError),
        (AdviserRefusedError("status 400"), AdviserRefusedError),
        (AdviserBusyError("too many calls wait"), AdviserRefusedError),
        (AdviserBusyError(), AdviserRefusedError),
    ],
)
def test_a_peer_tells_a_refused_call_from_a_failed_one(
    raised: AdviserError, expected: type[AdviserError]
) -> None:
    queue = AdviceQueue(FailingAdviser(raised), new_clock())
    server = PeerServer(lambda pool: None, queue, None, None)
    answers: list[AdviceReply] = []
    answering = Deferred.fromCoroutine(server.answer(PeerAdviceRequest("s", (), 0.0)))
    answering.addCallback(answers.append)
    sent = msgspec.json.encode(answers.pop())
    with pytest.raises(AdviserError) as caught:
        advice_of(msgspec.json.decode(sent, type=AdviceReply))
    assert caught.type is expected


class SlowAdviser(PolicyAdviser):
    """Answers a call when the test completes it."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.pending: list[Deferred[None]] = []

    async def advise(self, step: str, workers: Sequence[str]) -> Advice:
        self.calls.append(step)
        done: Deferred[None] = Deferred()
        self.pending.append(done)
        await done
        return Advice({}, 0)


def test_one_call_is_made_at_a_time_and_short_ones_first() -> None:
    steps = StepClock()
    clock = TwistedClock(steps, datetime(2026, 1, 1, tzinfo=UTC))
    adviser = SlowAdviser()
    queue = AdviceQueue(adviser, clock)
    for step, rank_ms in [("first", 600), ("long", 600), ("short", 20), ("lasts", 0)]:
        Deferred.fromCoroutine(queue.advise(step, (), rank_ms))
    # A long call that has waited long enough precedes a new short one.
    steps.advance(10.0)
    Deferred.fromCoroutine(queue.advise("late", (), 20))
    for _ in range(5):
        adviser.pending[-1].callback(None)
    assert adviser.calls == ["first", "lasts", "short", "long", "late"]


def test_a_call_that_is_given_up_keeps_no_place() -> None:
    # Cancelled calls of an ended lead kept the queue full for the next lead's calls.
    clock = TwistedClock(StepClock(), datetime(2026, 1, 1, tzinfo=UTC))
    adviser = SlowAdviser()
    queue = AdviceQueue(adviser, clock)
    Deferred.fromCoroutine(queue.advise("first", (), 20))
    waiting = [
        Deferred.fromCoroutine(queue.advise("cancelled", (), 20))
        for _ in range(MAX_WAITING)
    ]
    for call in waiting:
        call.addErrback(lambda failure: failure.trap(CancelledError))
        call.cancel()
    Deferred.fromCoroutine(queue.advise("next", (), 20))
    for _ in range(2):
        adviser.pending[-1].callback(None)
    assert adviser.calls == ["first", "next"]


def test_a_full_queue_is_told() -> None:
    clock = TwistedClock(StepClock(), datetime(2026, 1, 1, tzinfo=UTC))
    adviser = SlowAdviser()
    queue = AdviceQueue(adviser, clock)
    for _ in range(MAX_WAITING + 1):
        Deferred.fromCoroutine(queue.advise("s", (), 20))
    failures: list[object] = []
    Deferred.fromCoroutine(queue.advise("s", (), 20)).addErrback(failures.append)
    (failure,) = failures
    assert failure.check(AdviserBusyError)
    # Complete the waiting calls; garbage collection would otherwise resume them.
    for _ in range(MAX_WAITING + 1):
        adviser.pending[-1].callback(None)
    assert len(adviser.calls) == MAX_WAITING + 1
