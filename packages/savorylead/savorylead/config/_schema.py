"""Structural checks of a document by a JSON schema generated from its types."""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from typing import TYPE_CHECKING, Any

import msgspec

from savorylead.documents import DocumentFault, json_path, schema_errors

from ._document import CellDocument

if TYPE_CHECKING:
    from jsonschema import Draft202012Validator


@cache
def cell_schema() -> dict[str, Any]:
    """Return the JSON schema of a cell's document; it rejects unknown fields."""
    schema = msgspec.json.schema(CellDocument)
    for definition in schema["$defs"].values():
        if "properties" not in definition:
            continue
        definition["additionalProperties"] = False
        for field in definition["properties"].values():
            _require_enumerated_keys(field)
    return schema


def _require_enumerated_keys(field: dict[str, Any]) -> None:
    """Turn a map with enumerated keys into an object that requires every key."""
    names = field.pop("propertyNames", {}).get("enum")
    if names is None:
        return
    value = field["additionalProperties"]
    field["properties"] = dict.fromkeys(names, value)
    field["required"] = names
    field["additionalProperties"] = False


@cache
def _validator() -> Draft202012Validator:
    # Imported here because the package costs memory, which only daemons that check
    # documents need to spend.
    from jsonschema import Draft202012Validator

    return Draft202012Validator(cell_schema())


def structural_faults(
    raw: object,
) -> Iterator[tuple[tuple[str, ...], DocumentFault]]:
    """Yield every structural fault of ``raw`` with the path parts of its field."""
    for error in schema_errors(_validator(), raw):
        yield error.parts, DocumentFault(json_path(*error.parts), error.message)
