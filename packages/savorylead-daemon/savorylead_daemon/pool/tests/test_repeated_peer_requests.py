"""A refusal by a peer is true of the whole request, although copies of it are lost."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

import msgspec
import pytest
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.jobs import JobRecord
from savorylead.links import (
    LinkReply,
    LinkRequest,
    LinkSettings,
    ResilientLink,
    RetryBudget,
)
from savorylead.store import StoreError
from savorylead_daemon.pool._peer_messages import (
    Done,
    JobStoreRequest,
    LeaseEndRequest,
    ReachabilityQuery,
)
from savorylead_daemon.pool._peer_requests import MEMORY, PeerRequests
from savorylead_daemon.pool._peers import PeerClient, PeerError
from savorylead_standins.links import ConnectionFate, MemoryTransport
from savorylead_standins.pools import job_spec
from savorylead_standins.time import SteppedTime

RECORD = JobRecord("one", "pool", "q", "team", 1, job_spec())


class Links:
    """Opens links to one peer, with the settings of links between daemons."""

    def __init__(self, serve: Callable[[LinkRequest], LinkReply]) -> None:
        self.time = SteppedTime()
        self.clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.transport = MemoryTransport(self.clock, serve)

    def open(self, address: str) -> ResilientLink:
        return ResilientLink(
            self.clock,
            random.Random(1),
            self.transport,
            RetryBudget(0.1, 10),
            LinkSettings(attempt_timeout=timedelta(milliseconds=200)),
        )


class Case(NamedTuple):
    """A request whose first answer is lost, and what its sender may be told."""

    request: Any
    #: Whether the link may send it again, so that the last answer counts.
    is_repeated: bool


@pytest.mark.parametrize("fate", ["REPLIES_LOST", "BREAKS"])
@pytest.mark.parametrize(
    "case",
    [
        Case(JobStoreRequest(RECORD), is_repeated=False),
        Case(LeaseEndRequest("7"), is_repeated=False),
        Case(ReachabilityQuery("pool", "node"), is_repeated=True),
    ],
    ids=lambda case: type(case.request).__name__,
)
def test_a_request_that_was_executed_is_not_refused(case: Case, fate: str) -> None:
    # Regression: the peer executed the request and its answer was lost. The link sent
    # it again, and the refusal of that copy was taken for the whole request: a caller
    # was told that a job would never run, and it ran.
    served: list[LinkRequest] = []

    def serve(request: LinkRequest) -> LinkReply:
        served.append(request)
        return LinkReply(200, msgspec.json.encode(Done(len(served) == 1)))

    links = Links(serve)
    links.transport.fate = ConnectionFate[fate]
    answers: list[bool | PeerError] = []
    client = PeerClient(links, links)

    async def ask() -> None:
        try:
            answers.append(await client.send_request("peer", case.request))
        except PeerError as exc:
            answers.append(exc)

    Deferred.fromCoroutine(ask())
    links.time.advance(0.002)
    links.transport.fate = ConnectionFate.ANSWERS
    links.time.advance(1.0)
    (answer,) = answers
    if case.is_repeated:
        assert len(served) > 1
        assert answer is False
    else:
        assert len(served) == 1
        assert isinstance(answer, PeerError) and answer.sent


class Copies(NamedTuple):
    """Copies of one request, by the outcome of each, and the answers to them."""

    name: str
    #: True for done, False for refused, None for unknown; then its delay in seconds.
    outcomes: tuple[tuple[bool | None, float], ...]
    #: True and False are told as such, None as unknown.
    answers: tuple[bool | None, ...]
    #: Time between two copies, in seconds.
    gap_s: float = 0.2


@pytest.mark.parametrize(
    "copies",
    [
        Copies("refused", ((False, 0),), (False,)),
        Copies("refused twice", ((False, 0), (False, 0)), (False, False)),
        Copies("done, then refused", ((True, 0), (False, 0)), (True, None)),
        Copies("unknown, then refused", ((None, 0), (False, 0)), (None, None)),
        Copies("in progress, then refused", ((True, 0.5), (False, 0)), (None, True)),
        Copies(
            "unknown, then refused twice",
            ((None, 0), (False, 0), (False, 0)),
            (None, None, None),
        ),
        Copies(
            "forgotten once nobody repeats it",
            ((True, 0), (False, 0)),
            (True, False),
            gap_s=MEMORY.total_seconds() + 0.1,
        ),
    ],
    ids=lambda copies: copies.name,
)
def test_a_copy_is_refused_only_if_no_other_may_take_effect(copies: Copies) -> None:
    # Daemons of earlier versions repeat a request that got no answer in 200 ms.
    time = SteppedTime()
    clock = TwistedClock(time, datetime(2026, 1, 1, tzinfo=UTC))
    requests = PeerRequests(clock)
    answers: list[bool | None] = []

    async def work(outcome: bool | None, delay_s: float) -> bool:
        if delay_s:
            await clock.sleep(timedelta(seconds=delay_s))
        if outcome is None:
            raise StoreError("no answer")
        return outcome

    async def execute(outcome: bool | None, delay_s: float) -> None:
        try:
            answers.append(await requests.execute("job one", work(outcome, delay_s)))
        except StoreError:
            answers.append(None)

    for outcome, delay_s in copies.outcomes:
        Deferred.fromCoroutine(execute(outcome, delay_s))
        time.advance(copies.gap_s)
    time.advance(1.0)
    assert tuple(answers) == copies.answers
