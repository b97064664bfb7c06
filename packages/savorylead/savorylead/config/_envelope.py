"""The configuration as the store holds it, with the latest changes."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from savorylead.store import KeyValue

from ._document import CellDocument

#: Prefix of the configuration's only key; a watch and a poll read the prefix.
CONFIG_PREFIX = "config/"
#: The configuration's only key.
CONFIG_KEY = "config/cell"
#: Number of the format that this module writes, and the only one that it reads.
CONFIG_FORMAT = 1
#: Changes that are remembered.
RECENT_EDITS = 32
#: Paths that are remembered of one change.
RECENT_PATHS = 20


class EditRecord(TypedDict):
    """One accepted change."""

    #: Id of the change; a repeat of it finds this record.
    edit: str
    #: Revision that the change replaced; 0 for the first.
    replaced: int
    #: ISO 8601 time.
    at: str
    #: Name of the operator's key id; may be empty.
    by: str
    #: JSON paths of the fields that were changed, or the first of them.
    paths: list[str]


class Envelope(TypedDict):
    """The value of CONFIG_KEY."""

    format: int
    #: The latest changes, oldest first; the last one wrote this value.
    recent: list[EditRecord]
    document: CellDocument


class ConfigFormatError(Exception):
    """The configuration in the store cannot be read."""

    def __init__(self, detail: str) -> None:
        super().__init__(f"{CONFIG_KEY}: {detail}")
        self.detail = detail


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope as JSON."""
    return _ENCODER.encode(envelope)


def decode_envelope(item: KeyValue) -> Envelope:
    """Return the envelope; raises ConfigFormatError."""
    try:
        envelope = _DECODER.decode(item.value)
    except msgspec.MsgspecError as exc:
        raise ConfigFormatError(str(exc)) from exc
    if envelope["format"] != CONFIG_FORMAT:
        raise ConfigFormatError(f"format {envelope['format']} is not known")
    return envelope
