"""Validation faults of JSON documents, with the JSON paths of their fields."""

from ._faults import DocumentFault, json_path
from ._schema_errors import SchemaError, list_faults, schema_errors

__all__ = [
    "DocumentFault",
    "SchemaError",
    "json_path",
    "list_faults",
    "schema_errors",
]
