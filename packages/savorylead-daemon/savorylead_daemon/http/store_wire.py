"""What the store's HTTP interface sends.

NamedTuples travel as JSON arrays of their fields in order, bytes as base64.
Where a reply is one of several types, its array begins with a tag.
"""

from __future__ import annotations

import msgspec

from savorylead.store import KeyValue

#: Names the client of each request, so that faults can befall some of them.
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
    """What changed; no keys when the wait ended without a change."""

    #: Where the next watch goes on.
    revision: int
    #: Keys that were written or deleted; the prefix itself stands for all.
    keys: tuple[str, ...]
