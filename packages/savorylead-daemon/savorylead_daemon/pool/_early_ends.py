"""Marks of store leases that were ended while their holders may still rely on them.

A daemon acts under its store lease until a fixed time after its last renewal. Other
daemons may end the lease earlier, so a lead that begins after that must allow for acts
of the former one. The mark is written before the lease ends, and each term records the
leases of the terms before it, so any later lead finds the mark.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from savorylead.pools import CellStore, Put
from savorylead.store import KeyValue, Snapshot

from ._keys import ENDED_LEASE_PREFIX, ended_lease_key

#: How long a mark lasts. Calls to the store may be executed some 12 s late, and leases
#: of workers last up to 10 s.
MARK_TTL = timedelta(seconds=60)
#: Number of store leases of earlier terms that a term records, more than are used
#: before the worker leases of the first of these terms are over.
MAX_FORMER_LEASES = 8


class TermLeases(NamedTuple):
    """The leases under which a pool was led, as the lead of a term records them."""

    #: Number of the term that wrote the record.
    term: int
    #: Lease of this term, then those of the terms before it, the latest first. Terms
    #: of one daemon may have the same lease, which is named once.
    leases: tuple[str, ...]

    @classmethod
    def after(cls, former: Iterable[str], term: int, lease_id: str) -> TermLeases:
        """Return the record of a term that follows those with ``former`` leases."""
        others = [each for each in dict.fromkeys(former) if each != lease_id]
        return cls(term, (lease_id, *others[:MAX_FORMER_LEASES]))


def encode_term_leases(record: TermLeases) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_term_leases(item: KeyValue | None) -> TermLeases | None:
    """Return a stored record, None if there is none or it can't be decoded."""
    if item is None:
        return None
    try:
        return msgspec.json.decode(item.value, type=TermLeases)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def stand_in_lease(pool: str, term: int) -> str:
    """Return the name that stands for the lease of a term without a record.

    Its lead was of an earlier version, which records and marks no leases.
    """
    return f"{pool}/{term}"


async def mark_ended(store: CellStore, lease_id: str) -> None:
    """Mark a lease that is about to be ended for its holder; raises StoreError."""
    grant = await store.grant_lease(MARK_TTL)
    await store.commit({}, [Put(ended_lease_key(lease_id), b"1", grant.id)])


def ended_early(record: TermLeases | None, marks: Snapshot) -> bool:
    """Return whether the lead of an earlier term may have acted after its end.

    ``record`` is that of the present term, and ``marks`` are the keys below
    ``ENDED_LEASE_PREFIX``, read after the term began.
    """
    if record is None:
        return True
    marked = _marked_leases(item.key for item in marks.items)
    return not marked.isdisjoint(record.leases[1:])


def _marked_leases(keys: Iterable[str]) -> set[str]:
    return {key.removeprefix(ENDED_LEASE_PREFIX) for key in keys}
