"""Field-by-field differences between two documents."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from savorylead.documents import json_path


class _Absent:
    """Type of the sentinel for a field that one of the documents lacks."""

    def __repr__(self) -> str:
        return "ABSENT_FIELD"


#: Value of an absent field.
ABSENT_FIELD = _Absent()


class DocumentChange(NamedTuple):
    """A field that was added, removed or changed."""

    #: JSON path of the field.
    path: str
    #: ABSENT_FIELD if the field was added.
    before: Any
    #: ABSENT_FIELD if the field was removed.
    after: Any


def diff_documents(before: object, after: object) -> list[DocumentChange]:
    """Return the fields that differ, sorted by path.

    Objects are compared field by field; arrays and other values as a whole. An integer
    equals the float of the same value.
    """
    return sorted(_changes((), before, after), key=lambda change: change.path)


def _changes(
    parts: tuple[str, ...], before: Any, after: Any
) -> Iterator[DocumentChange]:
    if isinstance(before, dict) and isinstance(after, dict):
        for name in before.keys() | after.keys():
            yield from _changes(
                (*parts, name),
                before.get(name, ABSENT_FIELD),
                after.get(name, ABSENT_FIELD),
            )
    elif before != after or isinstance(before, bool) != isinstance(after, bool):
        yield DocumentChange(json_path(*parts), before, after)
