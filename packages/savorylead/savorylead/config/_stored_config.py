"""Stored form of the configuration: a short head and the document.

Every daemon polls the head, so it must stay short; the document is read only after the
head has changed. Each document is immutable under its own key, so a compare-and-swap of
the head alone replaces the configuration.
"""

from __future__ import annotations

import hashlib
from typing import TypedDict

import msgspec

from savorylead.store import KeyValue, Store

from ._document import CellDocument

#: Key prefix of the head, used by watches and polls.
CONFIG_PREFIX = "config/"
#: Key of the head; its store revision is the revision of the configuration.
CONFIG_KEY = "config/cell"
#: Key prefix of the documents.
DOCUMENTS_PREFIX = "config-documents/"
#: Format version that this module writes, and the only one that it reads.
CONFIG_FORMAT = 1
#: Maximum number of changes recorded in the head.
MAX_RECENT_EDITS = 8
#: Maximum number of paths recorded for a change.
MAX_PATHS_PER_EDIT = 4


class EditRecord(TypedDict):
    """Record of an accepted change."""

    #: Id of the change, by which a repeat of it is detected.
    edit: str
    #: Revision that the change replaced; 0 for the first.
    replaced: int
    #: ISO 8601 time of the change.
    at: str
    #: Id of the operator's key; may be empty.
    by: str
    #: JSON paths of the changed fields; at most MAX_PATHS_PER_EDIT.
    paths: list[str]


class ConfigHead(TypedDict):
    """The value of CONFIG_KEY."""

    format: int
    #: Key of the document.
    document: str
    #: Key of the previous document, which may be deleted already; empty for the first.
    former: str
    #: The latest changes, oldest first; the last one produced this head.
    recent: list[EditRecord]


class ConfigFormatError(Exception):
    """A stored value of the configuration cannot be decoded."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}")
        self.key = key
        self.detail = detail


_ENCODER = msgspec.json.Encoder()
_HEAD_DECODER = msgspec.json.Decoder(ConfigHead)
_DOCUMENT_DECODER = msgspec.json.Decoder(CellDocument)


def encode_head(head: ConfigHead) -> bytes:
    """Encode the head as JSON."""
    return _ENCODER.encode(head)


def decode_head(item: KeyValue) -> ConfigHead:
    """Decode the head; raises ConfigFormatError."""
    try:
        head = _HEAD_DECODER.decode(item.value)
    except msgspec.MsgspecError as exc:
        raise ConfigFormatError(item.key, str(exc)) from exc
    if head["format"] != CONFIG_FORMAT:
        raise ConfigFormatError(item.key, f"unsupported format {head['format']}")
    return head


def encode_document(document: CellDocument) -> bytes:
    """Encode the document as JSON."""
    return _ENCODER.encode(document)


def decode_document(item: KeyValue) -> CellDocument:
    """Decode the document; raises ConfigFormatError."""
    try:
        return _DOCUMENT_DECODER.decode(item.value)
    except msgspec.MsgspecError as exc:
        raise ConfigFormatError(item.key, str(exc)) from exc


def document_key(edit: str, value: bytes) -> str:
    """Return the store key of a change's document, unique to the change."""
    digest = hashlib.sha256(value).hexdigest()[:16]
    return f"{DOCUMENTS_PREFIX}{edit}-{digest}"


async def read_document(store: Store, head: ConfigHead) -> CellDocument | None:
    """Return the document that a head refers to, or None if it has been replaced.

    Raises StoreError and ConfigFormatError.
    """
    item = await store.get(head["document"])
    return decode_document(item) if item else None
