"""Checks a configuration without any endpoint."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from savorylead.config import CellDocument


class DocumentFault(NamedTuple):
    """One thing wrong with a configuration."""

    path: str
    message: str


def check_document(document: Any) -> list[DocumentFault]:
    """Return every fault, sorted by path; the daemons check again."""
    # Only these commands need the library, and its import takes a while.
    from jsonschema import Draft202012Validator

    validator = Draft202012Validator(_closed(msgspec.json.schema(CellDocument)))
    faults = [
        DocumentFault(error.json_path, error.message)
        for error in validator.iter_errors(document)
    ]
    if not faults:
        faults = list(_reference_faults(document))
    return sorted(faults)


def _reference_faults(document: Any) -> Iterator[DocumentFault]:
    if document["preset"] not in document["presets"]:
        yield DocumentFault("$.preset", "is not among the presets")
    for label, workspace in document["workspaces"].items():
        if workspace["team"] not in document["teams"]:
            yield DocumentFault(f"$.workspaces['{label}'].team", "is no team")


def _closed(schema: Any) -> Any:
    if isinstance(schema, dict):
        closed = {name: _closed(part) for name, part in schema.items()}
        if "properties" in schema:
            closed["additionalProperties"] = False
        return closed
    if isinstance(schema, list):
        return [_closed(part) for part in schema]
    return schema
