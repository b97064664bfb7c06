"""JSON encoding of events, log entries, heads and snapshots.

An event is encoded as ``[tag, fields]``. Named tuples are encoded as arrays, so a field
with a default may be appended; any other change needs a new format number.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypeVar, get_type_hints

import msgspec

from savorylead.contracts import TaskId
from savorylead.outcomes import (
    UnknownOutcomeError,
    WireOutcome,
    outcome_from_wire,
    outcome_to_wire,
)

from ._events import (
    Accepted,
    CancelRequested,
    Ended,
    EpochBegan,
    Event,
    Forgotten,
    Moved,
    OfferDeclined,
    Offered,
    Placed,
    Requeued,
    Resigned,
    Tombstoned,
)
from ._journal import JournalError
from ._state import TaskRecord

T = TypeVar("T")

#: Format version that this module writes, and the only one that it reads.
JOURNAL_FORMAT = 1


class JournalFormatError(JournalError):
    """A value of the journal cannot be decoded."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}")
        self.key = key
        self.detail = detail


class SnapshotPointer(NamedTuple):
    """Identifies the latest complete snapshot."""

    snapshot: str
    chunks: int
    #: Index of the last log entry that the snapshot covers.
    covered: int
    #: Total size of the chunks.
    size_bytes: int


class ShardHead(NamedTuple):
    """Value of the key that holds a shard's lead and snapshot pointer.

    Raising the epoch and moving the snapshot pointer both compare-and-swap this key,
    so a new lead's claim also makes a pending pointer update of an older lead fail.
    """

    format: int
    epoch: int
    #: Name of the leading daemon; empty after it resigned.
    lead: str
    #: Random ID per claim, by which a lead recognizes that its claim took effect.
    claim: str
    #: Number of slots of the log ring; fixed when the shard is first led.
    ring_slots: int
    snapshot: SnapshotPointer | None = None

    @property
    def covered(self) -> int:
        """Index of the last entry that may be overwritten; 0 for none."""
        return self.snapshot.covered if self.snapshot else 0


class Entry(NamedTuple):
    """One log entry: a batch of events."""

    format: int
    #: Sequence number, from 1 over the lifetime of the shard.
    index: int
    epoch: int
    #: Random ID per batch, by which a lead recognizes that its write took effect.
    batch: str
    #: Whether the batch continues in the next entry; batches are applied atomically.
    more: bool
    events: list[tuple[str, msgspec.Raw]]


class _EndedWire(NamedTuple):
    task: TaskId
    outcome: WireOutcome
    at_ms: int


def _make_record_wire() -> type:
    """Return a variant of TaskRecord with a tagged outcome."""
    hints = get_type_hints(TaskRecord)
    hints["outcome"] = WireOutcome | None
    return NamedTuple("_RecordWire", [(name, hints[name]) for name in hints])


_RecordWire = _make_record_wire()
_RecordWire.__new__.__defaults__ = TaskRecord.__new__.__defaults__
_RecordWire._field_defaults = TaskRecord._field_defaults


class _ChunkWire(NamedTuple):
    format: int
    epoch: int
    lead: str
    records: list[tuple[TaskId, _RecordWire]]


class SnapshotChunk(NamedTuple):
    """One chunk of a snapshot: some of the shard's records."""

    epoch: int
    lead: str
    records: list[tuple[TaskId, TaskRecord]]


_EVENT_TAGS: dict[type, str] = {
    EpochBegan: "epoch_began",
    Accepted: "accepted",
    Placed: "placed",
    Requeued: "requeued",
    Ended: "ended",
    CancelRequested: "cancel_asked",
    Tombstoned: "tombstoned",
    Offered: "offered",
    OfferDeclined: "offer_declined",
    Moved: "moved",
    Forgotten: "forgotten",
    Resigned: "resigned",
}
_ENCODER = msgspec.json.Encoder()
_EVENT_DECODERS = {
    tag: msgspec.json.Decoder(_EndedWire if kind is Ended else kind)
    for kind, tag in _EVENT_TAGS.items()
}
_HEAD_DECODER = msgspec.json.Decoder(ShardHead)
_ENTRY_DECODER = msgspec.json.Decoder(Entry)
_CHUNK_DECODER = msgspec.json.Decoder(_ChunkWire)


def encode_event(event: Event) -> bytes:
    """Return the event as JSON."""
    tag = _EVENT_TAGS[type(event)]
    if type(event) is Ended:
        return _ENCODER.encode(
            (tag, (event.task, outcome_to_wire(event.outcome), event.at_ms))
        )
    return _ENCODER.encode((tag, event))


def decode_events(key: str, entry: Entry) -> list[Event]:
    """Return the events of an entry; raises JournalFormatError."""
    try:
        return [_decode_event(tag, fields) for tag, fields in entry.events]
    except (KeyError, UnknownOutcomeError, msgspec.MsgspecError) as exc:
        raise JournalFormatError(key, repr(exc)) from exc


def _decode_event(tag: str, fields: msgspec.Raw) -> Event:
    event = _EVENT_DECODERS[tag].decode(fields)
    if type(event) is _EndedWire:
        return Ended(event.task, outcome_from_wire(event.outcome), event.at_ms)
    return event


def encode_entry(
    index: int, epoch: int, batch: str, more: bool, events: Sequence[bytes]
) -> bytes:
    """Return a log entry of already encoded events."""
    head = _ENCODER.encode((JOURNAL_FORMAT, index, epoch, batch, more))
    return b"%s,[%s]]" % (head[:-1], b",".join(events))


def decode_entry(key: str, value: bytes) -> Entry:
    """Decode a log entry; raises JournalFormatError."""
    return _decode(_ENTRY_DECODER, key, value)


def encode_head(head: ShardHead) -> bytes:
    """Return the head as JSON."""
    return _ENCODER.encode(head)


def decode_head(key: str, value: bytes) -> ShardHead:
    """Decode a head; raises JournalFormatError."""
    return _decode(_HEAD_DECODER, key, value)


def encode_record(task: TaskId, record: TaskRecord) -> bytes:
    """Return one record of a snapshot as JSON."""
    if record.outcome is None:
        return _ENCODER.encode((task, record))
    return _ENCODER.encode(
        (task, record._replace(outcome=outcome_to_wire(record.outcome)))
    )


def encode_chunk(epoch: int, lead: str, records: Iterable[bytes]) -> bytes:
    """Return a snapshot chunk of already encoded records."""
    head = _ENCODER.encode((JOURNAL_FORMAT, epoch, lead))
    return b"%s,[%s]]" % (head[:-1], b",".join(records))


def decode_chunk(key: str, value: bytes) -> SnapshotChunk:
    """Decode a snapshot chunk; raises JournalFormatError."""
    wire = _decode(_CHUNK_DECODER, key, value)
    try:
        records = [(task, _record_from_wire(record)) for task, record in wire.records]
    except (UnknownOutcomeError, msgspec.MsgspecError) as exc:
        raise JournalFormatError(key, str(exc)) from exc
    return SnapshotChunk(wire.epoch, wire.lead, records)


def _record_from_wire(wire: _RecordWire) -> TaskRecord:
    if wire.outcome is None:
        return TaskRecord._make(wire)
    return TaskRecord._make(wire)._replace(outcome=outcome_from_wire(wire.outcome))


def _decode(decoder: msgspec.json.Decoder[T], key: str, value: bytes) -> T:
    try:
        decoded = decoder.decode(value)
    except msgspec.MsgspecError as exc:
        raise JournalFormatError(key, str(exc)) from exc
    if decoded.format != JOURNAL_FORMAT:
        raise JournalFormatError(key, f"unsupported format {decoded.format}")
    return decoded
