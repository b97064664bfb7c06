"""Arithmetic and encoding of limit records."""

import pytest

from savorylead.contracts import UNLIMITED, limit_from_amounts
from savorylead.contracts._limit_record import (
    LimitRecord,
    ShardGrant,
    Want,
    decode_limit_record,
    decode_want,
    divide_limit,
    encode_limit_record,
    encode_want,
    resources_sum,
    team_and_shard,
    want_key,
)
from savorylead.resources import Resources


def cores(amount):
    return Resources(cores_milli=amount)


def record(limit, *granted, revision=1, trimmed=1):
    grants = {
        f"s{number}": ShardGrant(cores(amount), 1, trimmed)
        for number, amount in enumerate(granted)
    }
    return LimitRecord(cores(limit), revision, grants)


@pytest.mark.parametrize(
    ("amounts", "expected"),
    [
        ({}, Resources(*(UNLIMITED,) * 5)),
        ({"cores": 1.5}, Resources(1500, *(UNLIMITED,) * 4)),
        (
            {
                "cores": 2,
                "memory_mb": 3,
                "accelerators": 4,
                "slots": 5,
                "connections": 0,
            },
            Resources(2000, 3, 4, 5, 0),
        ),
    ],
)
def test_limit_from_amounts(amounts, expected):
    assert limit_from_amounts(amounts) == expected


@pytest.mark.parametrize(
    ("limit", "granted", "in_force", "free"),
    [
        (10, (), True, 10),
        (10, (4, 6), True, 0),
        (10, (4, 7), False, -1),
        (UNLIMITED, (UNLIMITED, UNLIMITED), True, UNLIMITED),
        (10, (UNLIMITED, 1), False, 9 - UNLIMITED),
    ],
)
def test_free_and_in_force(limit, granted, in_force, free):
    rec = record(limit, *granted)
    assert rec.fully_in_force() is in_force
    assert rec.free().cores_milli == free


@pytest.mark.parametrize(
    ("limit", "granted", "expected"),
    [
        (10, (10, 10), (5, 5)),
        (10, (15, 5), (6, 3)),
        (10, (2, 3), (2, 3)),
        (0, (7, 7), (0, 0)),
        (9, (UNLIMITED, 0), (9, 0)),
        (UNLIMITED, (UNLIMITED, 3), (UNLIMITED, 3)),
    ],
)
def test_divided_limit(limit, granted, expected):
    rec = record(limit, *granted)
    parts = divide_limit(rec.limit, rec.grants)
    assert tuple(part.cores_milli for part in parts.values()) == expected


@pytest.mark.parametrize(
    ("rec", "may_allot", "allots"),
    [
        (record(10, 4, 6), True, False),
        (record(10, 9, 6, trimmed=0), False, False),
        (record(10, 9, 6, trimmed=0), True, True),
        (record(10, 9, 6, trimmed=1), False, True),
    ],
)
def test_allotments_wait_until_all_have_trimmed(rec, may_allot, allots):
    updated = rec.with_allotments(may_allot)
    assert bool(updated.allotments) is allots
    assert resources_sum(updated.allotments.values()).fits(rec.limit)


def test_allotments_stay_while_grants_shrink_and_go_at_the_end():
    shrinking = record(10, 10, 10).with_allotments(False)
    part = shrinking.with_grant("s0", ShardGrant(cores(5), 1, 1)).with_allotments(False)
    assert part.allotments == shrinking.allotments
    whole = part.with_grant("s1", ShardGrant(cores(5), 1, 1)).with_allotments(False)
    assert whole.fully_in_force()
    assert whole.allotments == {}


@pytest.mark.parametrize(
    "rec",
    [
        record(10, 9, 6).with_allotments(True),
        record(UNLIMITED, UNLIMITED, 3),
        record(UNLIMITED, UNLIMITED - 1),
        LimitRecord(),
    ],
)
def test_records_survive_the_store(rec):
    assert decode_limit_record(encode_limit_record(rec)) == rec


def test_unlimited_amounts_are_short_in_the_store():
    assert len(encode_limit_record(record(UNLIMITED, UNLIMITED))) < 50


def test_wants_survive_the_store():
    want = Want(cores(3), 17, 2)
    assert decode_want(encode_want(want)) == want
    assert team_and_shard(want_key("a/b", "s1")) == ("a/b", "s1")
