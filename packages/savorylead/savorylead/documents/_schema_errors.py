"""Schema violations found by jsonschema, one error for each field."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from ._faults import DocumentFault, json_path

if TYPE_CHECKING:
    from jsonschema.exceptions import ValidationError
    from jsonschema.protocols import Validator

#: Maximum length of a message, since jsonschema quotes the offending value in it.
MAX_MESSAGE_CHARS = 200


class SchemaError(NamedTuple):
    """A field that violates a keyword of the schema."""

    #: Names and indexes on the path from the root to the field.
    parts: tuple[str | int, ...]
    #: The keyword, such as "type"; "additionalProperties" for an unknown field and
    #: "required" for a missing one; for both, the last part is the field's name.
    keyword: str
    #: The keyword's value in the schema.
    expected: Any
    message: str


def schema_errors(validator: Validator, document: Any) -> Iterator[SchemaError]:
    """Yield every violation of the validator's schema in a document.

    jsonschema reports all unknown fields of an object in one error; this function
    yields one for each.
    """
    for error in validator.iter_errors(document):
        yield from _split_by_field(error)


def list_faults(validator: Validator, document: Any) -> list[DocumentFault]:
    """Return every schema violation as a fault, sorted by path."""
    errors = schema_errors(validator, document)
    return sorted(DocumentFault(json_path(*e.parts), e.message) for e in errors)


def _split_by_field(error: ValidationError) -> Iterator[SchemaError]:
    parts = tuple(error.absolute_path)
    keyword, expected = error.validator, error.validator_value
    if keyword == "additionalProperties":
        known = error.schema.get("properties", {})
        for name in error.instance:
            if name not in known:
                yield SchemaError((*parts, name), keyword, expected, "unknown field")
    elif keyword == "required":
        # jsonschema reports each missing field as a separate error.
        name = error.message.split("'")[1]
        yield SchemaError((*parts, name), keyword, expected, "missing field")
    else:
        yield SchemaError(parts, keyword, expected, _shorten(error.message))


def _shorten(message: str) -> str:
    if len(message) <= MAX_MESSAGE_CHARS:
        return message
    # The start quotes the value; the end names the violation.
    half = MAX_MESSAGE_CHARS // 2
    return f"{message[:half]}...{message[-half:]}"
