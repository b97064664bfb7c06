"""Schema errors and JSON paths."""

import pytest
from jsonschema import Draft202012Validator

from savorylead.documents import json_path, list_faults, schema_errors

SCHEMA = {
    "type": "object",
    "properties": {
        "name": {"type": "string"},
        "sizes": {"type": "array", "items": {"type": "integer", "minimum": 0}},
    },
    "required": ["name", "sizes"],
    "additionalProperties": False,
}
VALIDATOR = Draft202012Validator(SCHEMA)


@pytest.mark.parametrize(
    ("document", "errors"),
    [
        ({"name": "a", "sizes": []}, []),
        ({}, [(("name",), "required"), (("sizes",), "required")]),
        (
            {"name": 1, "sizes": [], "x": 1, "y'": 2},
            [
                (("name",), "type"),
                (("x",), "additionalProperties"),
                (("y'",), "additionalProperties"),
            ],
        ),
        (
            {"name": "a", "sizes": [1, -1, "2"]},
            [(("sizes", 1), "minimum"), (("sizes", 2), "type")],
        ),
        ([], [((), "type")]),
    ],
)
def test_each_field_has_an_error_of_its_own(document, errors):
    found = schema_errors(VALIDATOR, document)
    assert sorted((e.parts, e.keyword) for e in found) == errors


def test_a_long_value_is_not_quoted_whole():
    (fault,) = list_faults(VALIDATOR, {"name": ["x" * 10_000], "sizes": []})
    assert fault.path == "$.name"
    assert len(fault.message) < 250
    assert fault.message.endswith("is not of type 'string'")


@pytest.mark.parametrize(
    ("parts", "path"),
    [
        ((), "$"),
        (("a", "b_1"), "$.a.b_1"),
        (("a", 3), "$.a[3]"),
        (("dispatch/tours",), "$['dispatch/tours']"),
        (("it's",), "$['it\\'s']"),
    ],
)
def test_a_path_is_written_plainly_where_it_can_be(parts, path):
    assert json_path(*parts) == path
