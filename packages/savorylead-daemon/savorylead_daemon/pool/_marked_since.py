"""Record of the election since which every lead of a pool has marked its jobs.

A lead that marks jobs writes an empty progress record for each job before it orders the
job's first task. A later lead may conclude from a missing record that no task of the
job was ordered, but only if every lead since the job was accepted has marked jobs.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from savorylead.jobs import RecordError
from savorylead.store import KeyValue


class MarkedSince(NamedTuple):
    """The start of an unbroken series of terms whose leads mark jobs."""

    #: Number of the term that wrote the record.
    term: int
    #: Store revision of the first election of the series; 0 if it wrote this record.
    revision: int


def encode_marked_since(record: MarkedSince) -> bytes:
    """Return a record as a JSON array."""
    return msgspec.json.encode(record)


def decode_marked_since(item: KeyValue) -> MarkedSince:
    """Return a stored record; raises RecordError."""
    try:
        record = msgspec.json.decode(item.value, type=MarkedSince)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise RecordError(item.key, str(exc)) from exc
    if record.revision < 0:
        raise RecordError(item.key, f"negative revision {record.revision}")
    return record


def first_election(item: KeyValue | None, term: int) -> int | None:
    """Return the revision of the first election of a series that ``term`` continues.

    Returns None if the lead of ``term`` has not written the record, since it did not
    mark jobs then. Raises RecordError.
    """
    if item is None:
        return None
    record = decode_marked_since(item)
    if record.term != term:
        return None
    return record.revision or item.revision


def next_marked_since(item: KeyValue | None, term: int) -> MarkedSince:
    """Return what the election of ``term`` writes in place of a stored record.

    A record that can't be decoded is replaced by one that begins a new series.
    """
    try:
        revision = first_election(item, term - 1)
    except RecordError:
        revision = None
    return MarkedSince(term, revision or 0)
