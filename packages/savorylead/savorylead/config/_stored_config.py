"""The configuration as the store holds it: a short head, and the document.

The head is what every daemon polls, so it must stay short; the document is read only
after the head has changed. A document lies under a key of its own and is never
changed, so the compare-and-swap of the head alone changes the configuration.
"""

from __future__ import annotations

import hashlib
from typing import TypedDict

import msgspec

from savorylead.store import KeyValue, Store

from ._document import CellDocument

#: Prefix of the head; a watch and a poll read the prefix.
CONFIG_PREFIX = "config/"
#: Key of the head. Its revision is the configuration's.
CONFIG_KEY = "config/cell"
#: Prefix of the documents.
DOCUMENTS_PREFIX = "config-documents/"
#: Number of the format that this module writes, and the only one that it reads.
CONFIG_FORMAT = 1
#: Changes that the head remembers.
RECENT_EDITS = 8
#: Paths that are remembered of one change.
RECENT_PATHS = 4


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


class ConfigHead(TypedDict):
    """The value of CONFIG_KEY."""

    format: int
    #: Key of the document.
    document: str
    #: Key of the document before; empty for the first. It may be deleted.
    former: str
    #: The latest changes, oldest first; the last one wrote this value.
    recent: list[EditRecord]


class ConfigFormatError(Exception):
    """A value of the configuration in the store cannot be read."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}")
        self.key = key
        self.detail = detail


_ENCODER = msgspec.json.Encoder()
_HEAD_DECODER = msgspec.json.Decoder(ConfigHead)
_DOCUMENT_DECODER = msgspec.json.Decoder(CellDocument)


def encode_head(head: ConfigHead) -> bytes:
    """Return the head as JSON."""
    return _ENCODER.encode(head)


def decode_head(item: KeyValue) -> ConfigHead:
    """Return the head; raises ConfigFormatError."""
    try:
        head = _HEAD_DECODER.decode(item.value)
    except msgspec.MsgspecError as exc:
        raise ConfigFormatError(item.key, str(exc)) from exc
    if head["format"] != CONFIG_FORMAT:
        raise ConfigFormatError(item.key, f"format {head['format']} is not known")
    return head


def encode_document(document: CellDocument) -> bytes:
    """Return the document as JSON."""
    return _ENCODER.encode(document)


def decode_document(item: KeyValue) -> CellDocument:
    """Return the document; raises ConfigFormatError."""
    try:
        return _DOCUMENT_DECODER.decode(item.value)
    except msgspec.MsgspecError as exc:
        raise ConfigFormatError(item.key, str(exc)) from exc


def document_key(edit: str, value: bytes) -> str:
    """Return the key of a change's document, which no other change has."""
    digest = hashlib.sha256(value).hexdigest()[:16]
    return f"{DOCUMENTS_PREFIX}{edit}-{digest}"


async def read_document(store: Store, head: ConfigHead) -> CellDocument | None:
    """Return the document that a head names, or None if it was replaced since.

    Raises StoreError and ConfigFormatError.
    """
    item = await store.get(head["document"])
    return decode_document(item) if item else None
