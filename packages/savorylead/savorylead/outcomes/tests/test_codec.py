"""Encoding and decoding of outcomes."""

import msgspec
import pytest

from savorylead.outcomes import (
    Cancelled,
    Done,
    Failed,
    NotRun,
    Refusal,
    Unknown,
    UnknownOutcomeError,
    outcome_from_wire,
    outcome_to_wire,
)


@pytest.mark.parametrize(
    "outcome",
    [
        Done("answer ö", "ab12", 2),
        Failed("trace", 1),
        Cancelled(started=True),
        NotRun(Refusal.QUEUE_FULL, "retry later"),
        Unknown("interrupted"),
    ],
)
def test_round_trip(outcome):
    wire = msgspec.json.decode(msgspec.json.encode(outcome_to_wire(outcome)))
    assert outcome_from_wire(wire) == outcome


@pytest.mark.parametrize(
    ("wire", "error"),
    [
        (("gone", []), UnknownOutcomeError),
        (("done", ["x"]), msgspec.ValidationError),
        (("not_run", ["because", ""]), msgspec.ValidationError),
    ],
)
def test_bad_wire(wire, error):
    with pytest.raises(error):
        outcome_from_wire(wire)
