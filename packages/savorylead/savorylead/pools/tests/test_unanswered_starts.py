"""Which start orders a worker is told to refuse, and for how long."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from savorylead.jobs import TaskName
from savorylead.pools import MAX_ORDER_DELAY_MS, UnansweredStart, UnansweredStarts

SENT_MS = 100_000
SENT_TO_MS, NEXT_MS, THIRD_MS = 1, 2, 3
START = UnansweredStart(TaskName("job", 0, 0, 0), 4, SENT_MS, SENT_TO_MS)


class Case(NamedTuple):
    """What is known of an order, and whether an incarnation must be told of it."""

    name: str
    incarnation_ms: int
    refused_in_ms: int
    is_listed: bool
    age_ms: int
    is_told: bool


@pytest.mark.parametrize(
    "case",
    [
        # Its run is stopped there by its session.
        Case("the one it was sent to", SENT_TO_MS, 0, False, 1_000, False),
        Case("the next one", NEXT_MS, 0, False, 1_000, True),
        Case("one that refuses it", NEXT_MS, NEXT_MS, False, 1_000, False),
        Case("the one after that", THIRD_MS, NEXT_MS, False, 1_000, True),
        Case("executed", NEXT_MS, 0, True, 1_000, False),
        Case("latest execution", NEXT_MS, 0, False, MAX_ORDER_DELAY_MS - 1, True),
        Case("too late for it", NEXT_MS, 0, False, MAX_ORDER_DELAY_MS, False),
    ],
    ids=lambda case: case.name,
)
def test_an_incarnation_is_told_of_orders_that_it_may_execute(case: Case) -> None:
    starts = UnansweredStarts()
    starts.note_unanswered(START)
    if case.refused_in_ms:
        starts.note_refused(START, case.refused_in_ms)
    if case.is_listed:
        assert starts.note_executed({START.key}) == [START]
    told = starts.to_refuse(case.incarnation_ms, SENT_MS + case.age_ms)
    assert told == [START] * case.is_told


def test_no_order_is_kept_beyond_its_latest_execution() -> None:
    starts = UnansweredStarts(former_until_ms=SENT_MS + 10)
    assert starts.may_arrive(SENT_MS + 9)
    assert not starts.may_arrive(SENT_MS + 10)
    starts.note_unanswered(START)
    assert starts.has_open(SENT_MS + MAX_ORDER_DELAY_MS - 1)
    assert not starts.has_open(SENT_MS + MAX_ORDER_DELAY_MS)
    assert starts.is_empty
