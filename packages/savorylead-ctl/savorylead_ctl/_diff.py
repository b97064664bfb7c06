"""Differences of two configurations, field by field."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

#: Stands for a field that one of the documents lacks.
_ABSENT: Any = object()


class DocumentChange(NamedTuple):
    """One field that differs."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.path}: {self.before} -> {self.after}"


def diff_documents(before: Any, after: Any, path: str = "$") -> list[DocumentChange]:
    """Return what differs, sorted by path."""
    return sorted(_changes(before, after, path))


def _changes(before: Any, after: Any, path: str) -> Iterator[DocumentChange]:
    if isinstance(before, dict) and isinstance(after, dict):
        for name in before.keys() | after.keys():
            yield from _changes(
                before.get(name, _ABSENT), after.get(name, _ABSENT), f"{path}.{name}"
            )
    elif before != after:
        yield DocumentChange(path, _text(before), _text(after))


def _text(value: Any) -> str:
    return "absent" if value is _ABSENT else json.dumps(value, ensure_ascii=False)
