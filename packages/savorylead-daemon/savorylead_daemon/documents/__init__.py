"""Checks of JSON documents that list every fault with its path."""

from savorylead.config import DocumentFault, json_path

from ._faults import list_faults

__all__ = ["DocumentFault", "json_path", "list_faults"]
