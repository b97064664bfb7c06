"""Replies of the store's HTTP interface.

NamedTuples are encoded as JSON arrays of their fields in order, bytes as base64.
Where a reply is one of several types, its array begins with a tag.
"""

from __future__ import annotations

import msgspec

from savorylead.store import KeyValue

#: Names the client of each request, so that faults can be injected for some clients.
CLIENT_HEADER = "x-client"


class SwappedReply(msgspec.Struct, tag="swapped", array_like=True, frozen=True):
    """The compare-and-swap took effect."""

    revision: int


class ConflictReply(msgspec.Struct, tag="conflict", array_like=True, frozen=True):
    """The key had another revision."""

    current: KeyValue | None


class LeaseReply(msgspec.Struct, frozen=True):
    """A new lease."""

    lease_id: str


class WatchReply(msgspec.Struct, frozen=True):
    """Changed keys; none if the wait ended without a change."""

    #: From where the next poll continues.
    revision: int
    #: Keys that were written or deleted; the prefix itself stands for all keys.
    keys: tuple[str, ...]
