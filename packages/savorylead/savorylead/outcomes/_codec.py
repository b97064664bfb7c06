"""Outcomes as tagged arrays, for journals and messages."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from ._outcomes import Cancelled, Done, Failed, NotRun, Outcome, Unknown

#: An outcome as ``(tag, fields)``.
WireOutcome = tuple[str, list[Any]]

_TAGS: dict[type, str] = {
    Done: "done",
    Failed: "failed",
    Cancelled: "cancelled",
    NotRun: "not_run",
    Unknown: "unknown",
}
_TYPES = {tag: kind for kind, tag in _TAGS.items()}


class UnknownOutcomeError(Exception):
    """A message has an unknown outcome tag."""

    def __init__(self, tag: str) -> None:
        super().__init__(f"unknown outcome {tag!r}")
        self.tag = tag


def outcome_tag(outcome: Outcome) -> str:
    """Return the tag of the outcome's type, such as "done"."""
    return _TAGS[type(outcome)]


def outcome_to_wire(outcome: Outcome) -> WireOutcome:
    """Return the outcome as a tagged array."""
    fields = [getattr(outcome, f.name) for f in dataclasses.fields(outcome)]
    return outcome_tag(outcome), fields


def outcome_from_wire(wire: WireOutcome) -> Outcome:
    """Return the outcome; raises UnknownOutcomeError or msgspec.ValidationError."""
    tag, fields = wire
    kind = _TYPES.get(tag)
    if kind is None:
        raise UnknownOutcomeError(tag)
    names = [f.name for f in dataclasses.fields(kind)]
    return msgspec.convert(dict(zip(names, fields, strict=False)), kind)
