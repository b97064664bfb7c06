"""Faults of a JSON document, each with the path of the field."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorylead.config import DocumentFault, json_path

if TYPE_CHECKING:
    from jsonschema.protocols import Validator

#: Longest text of one fault; a message quotes the value at fault.
MAX_MESSAGE_CHARS = 200


def list_faults(validator: Validator, document: Any) -> list[DocumentFault]:
    """Return every fault that the schema finds, sorted by path.

    A field that is unknown or missing is named in the path itself, so that each
    has a fault of its own.
    """
    faults = []
    for error in validator.iter_errors(document):
        faults.extend(_faults_of(error))
    return sorted(set(faults))


def _faults_of(error: Any) -> list[DocumentFault]:
    parts = list(error.absolute_path)
    if error.validator == "additionalProperties":
        known = error.schema.get("properties", {})
        unknown = [name for name in error.instance if name not in known]
        return [
            DocumentFault(json_path(*parts, name), "unknown field") for name in unknown
        ]
    if error.validator == "required":
        missing = [name for name in error.validator_value if name not in error.instance]
        return [
            DocumentFault(json_path(*parts, name), "missing field") for name in missing
        ]
    return [DocumentFault(json_path(*parts), _shorten(error.message))]


def _shorten(message: str) -> str:
    if len(message) <= MAX_MESSAGE_CHARS:
        return message
    # The end of a message says what is wrong; the start quotes the value.
    half = MAX_MESSAGE_CHARS // 2
    return f"{message[:half]}...{message[-half:]}"
