"""Checks of JSON documents that list every fault with its path."""

from ._faults import DocumentFault, json_path, list_faults

__all__ = ["DocumentFault", "json_path", "list_faults"]
