"""Validates decoded JSON and lists the faults of invalid values."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from functools import cached_property
from typing import TYPE_CHECKING, Any, NoReturn

import msgspec

from savorylead.documents import SchemaError, json_path, schema_errors

from ._errors import CallError, CallErrorCode, CallFault

if TYPE_CHECKING:
    from jsonschema.protocols import Validator

#: Maximum number of faults listed for one call; others are reported after these are
#: fixed.
MAX_FAULTS = 50
#: Bounds on listing faults: unknown fields or items of one value, characters of one
#: string, and levels of nesting. A value beyond them is invalid in any case.
MAX_LISTED_ENTRIES = 60
MAX_LISTED_CHARS = 100_000
MAX_LISTED_DEPTH = 2
#: Maximum number of items whose faults are listed; listing is far slower than
#: validation.
MAX_FAULTY_ITEMS = 10

_CODES = {
    "type": CallErrorCode.WRONG_TYPE,
    "additionalProperties": CallErrorCode.UNKNOWN_FIELD,
    "required": CallErrorCode.MISSING_FIELD,
    "enum": CallErrorCode.BAD_VALUE,
    "pattern": CallErrorCode.BAD_VALUE,
}


def decode_json(body: bytes) -> Any:
    """Return the JSON value of a body; raises CallError."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        detail = str(exc) or "the body is no JSON"
        raise CallError(CallErrorCode.BAD_JSON, detail) from exc


def raise_faults(faults: Sequence[CallFault]) -> None:
    """Raise one CallError with the faults, or return if there are none."""
    if not faults:
        return
    first, *more = faults[:MAX_FAULTS]
    code = CallErrorCode(first.code)
    raise CallError(code, first.detail, first.path, more)


def raise_invalid_body(faults: Sequence[CallFault]) -> NoReturn:
    """Raise CallError for an invalid body, even if no fault was found."""
    raise_faults(faults)
    raise CallError(CallErrorCode.WRONG_TYPE, "the body has another form")


class ShapeChecker:
    """Validates decoded JSON against a msgspec type whose objects forbid other fields.

    A valid value is checked by msgspec alone. Only an invalid one is passed to
    jsonschema, with the schema that msgspec derives from the same type.
    """

    def __init__(self, shape: Any) -> None:
        self._shape = shape

    def is_valid(self, value: Any) -> bool:
        """Return whether a value is valid."""
        try:
            msgspec.convert(value, self._shape)
        except msgspec.ValidationError:
            return False
        return True

    def faults(self, value: Any, parts: Sequence[str | int] = ()) -> list[CallFault]:
        """Return the faults of the value at path ``parts`` of the body."""
        errors = schema_errors(self._validator, _pruned(value, self._known_names))
        listed = itertools.islice(errors, MAX_FAULTS)
        faults = [_fault_of(error, parts) for error in listed]
        if not faults:
            faults = self._remaining_faults(value, parts)
        return sorted(set(faults), key=lambda fault: (fault.path, fault.code))

    def _remaining_faults(
        self, value: Any, parts: Sequence[str | int]
    ) -> list[CallFault]:
        """Return the faults that msgspec reports and the schema does not."""
        try:
            msgspec.convert(value, self._shape)
        except msgspec.ValidationError as exc:
            return [CallFault(CallErrorCode.WRONG_TYPE, json_path(*parts), str(exc))]
        return []

    @cached_property
    def _validator(self) -> Validator:
        # Imported lazily, so that daemons that get no invalid body do not load it here.
        from jsonschema import Draft202012Validator
        from jsonschema.validators import extend

        types = Draft202012Validator.TYPE_CHECKER.redefine("integer", _is_integer)
        strict = extend(Draft202012Validator, type_checker=types)
        return strict(msgspec.json.schema(self._shape))

    @cached_property
    def _known_names(self) -> frozenset[str]:
        """The field names of all objects in the shape."""
        definitions = self._validator.schema.get("$defs", {}).values()
        return frozenset(
            name
            for definition in definitions
            for name in definition.get("properties", {})
        )


def _pruned(value: Any, known: frozenset[str], depth: int = 0) -> Any:
    """Return the value cut down to the bounds on listing faults.

    Listing faults is slow, and jsonschema quotes the value in its messages, so a
    client could otherwise keep the daemon busy with one body. ``known`` fields are
    retained, because they would otherwise be listed as missing.
    """
    if isinstance(value, str):
        return value[:MAX_LISTED_CHARS]
    if not isinstance(value, dict | list):
        return value
    if depth == MAX_LISTED_DEPTH:
        return type(value)()
    if isinstance(value, dict):
        names = [name for name in value if name in known]
        unknown = (name for name in value if name not in known)
        names.extend(itertools.islice(unknown, MAX_LISTED_ENTRIES))
        return {
            name[:MAX_LISTED_CHARS]: _pruned(value[name], known, depth + 1)
            for name in names
        }
    listed = value[:MAX_LISTED_ENTRIES]
    return [_pruned(each, known, depth + 1) for each in listed]


def _is_integer(_: Any, value: Any) -> bool:
    """Return whether a value is written as an integer; 1.0 is not."""
    return isinstance(value, int) and not isinstance(value, bool)


def _fault_of(error: SchemaError, parts: Sequence[str | int]) -> CallFault:
    code = _CODES.get(error.keyword, CallErrorCode.OUT_OF_RANGE)
    return CallFault(code, json_path(*parts, *error.parts), _detail(error))


def _detail(error: SchemaError) -> str:
    """Return what was expected, without quoting the value."""
    match error.keyword:
        case "additionalProperties" | "required":
            return error.message
        case "type":
            return f"must be {error.expected}"
        case "enum":
            return f"must be one of {', '.join(map(str, error.expected))}"
        case "pattern":
            return "has a character that is not allowed"
        case keyword:
            return f"{keyword} is {error.expected}"
