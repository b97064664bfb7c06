"""Faults of a JSON document."""

from __future__ import annotations

from typing import NamedTuple


class DocumentFault(NamedTuple):
    """A validation error and the field that it concerns."""

    #: JSON path of the field, such as "$.teams.dispatch.share".
    path: str
    message: str


def json_path(*parts: str | int) -> str:
    """Return the JSON path of a field below the root."""
    path = "$"
    for part in parts:
        if isinstance(part, int):
            path += f"[{part}]"
        elif part.replace("_", "a").isalnum():
            path += f".{part}"
        else:
            quoted = part.replace("\\", "\\\\").replace("'", "\\'")
            path += f"['{quoted}']"
    return path
