"""What jsonschema objects to, one error for each field."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from ._faults import DocumentFault, json_path

if TYPE_CHECKING:
    from jsonschema.exceptions import ValidationError
    from jsonschema.protocols import Validator

#: Longest message; jsonschema quotes the value in it.
MAX_MESSAGE_CHARS = 200


class SchemaError(NamedTuple):
    """One field that breaks one keyword of a schema."""

    #: Names and indexes that lead to the field.
    parts: tuple[str | int, ...]
    #: The keyword, such as "type"; "additionalProperties" for an unknown field and
    #: "required" for a missing one, whose own name is the last part.
    keyword: str
    #: What the keyword asks for.
    expected: Any
    message: str


def schema_errors(validator: Validator, document: Any) -> Iterator[SchemaError]:
    """Yield every way in which a document differs from the validator's schema.

    jsonschema joins unknown fields in one error; here each has its own.
    """
    for error in validator.iter_errors(document):
        yield from _split(error)


def list_faults(validator: Validator, document: Any) -> list[DocumentFault]:
    """Return every difference as a fault, sorted by path."""
    errors = schema_errors(validator, document)
    return sorted(DocumentFault(json_path(*e.parts), e.message) for e in errors)


def _split(error: ValidationError) -> Iterator[SchemaError]:
    parts = tuple(error.absolute_path)
    keyword, expected = error.validator, error.validator_value
    if keyword == "additionalProperties":
        known = error.schema.get("properties", {})
        for name in error.instance:
            if name not in known:
                yield SchemaError((*parts, name), keyword, expected, "unknown field")
    elif keyword == "required":
        # jsonschema reports each missing field by an error of its own.
        name = error.message.split("'")[1]
        yield SchemaError((*parts, name), keyword, expected, "missing field")
    else:
        yield SchemaError(parts, keyword, expected, _shorten(error.message))


def _shorten(message: str) -> str:
    if len(message) <= MAX_MESSAGE_CHARS:
        return message
    # The end of a message says what is wrong; the start quotes the value.
    half = MAX_MESSAGE_CHARS // 2
    return f"{message[:half]}...{message[-half:]}"
