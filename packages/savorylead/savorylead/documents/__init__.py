"""Faults of JSON documents, each with the path of its field."""

from ._faults import DocumentFault, json_path
from ._schema_errors import SchemaError, list_faults, schema_errors

__all__ = [
    "DocumentFault",
    "SchemaError",
    "json_path",
    "list_faults",
    "schema_errors",
]
