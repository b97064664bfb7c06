"""The operators' configuration: document type, validation, edits and distribution."""

from savorylead.documents import DocumentFault, json_path

from ._check import check_document
from ._diff import ABSENT_FIELD, DocumentChange, diff_documents
from ._document import (
    CellDocument,
    KeyDocument,
    PresetDocument,
    PresetName,
    QueueDocument,
    ResourcesDocument,
    ShardDocument,
    TeamDocument,
    WorkspaceDocument,
)
from ._editor import (
    ConfigEditor,
    EditApplied,
    EditConflict,
    EditRejected,
    EditUncertainError,
    EditView,
)
from ._in_force import InForce, InForceConfig, InForceSettings, PeerObservation
from ._keys import (
    GrantedKey,
    KeyHolder,
    KeyRing,
    KeyRole,
    UnknownKey,
    WithdrawnKey,
    grant_key,
    hash_key,
)
from ._schema import cell_schema
from ._stored_config import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    DOCUMENTS_PREFIX,
    ConfigFormatError,
    ConfigHead,
    EditRecord,
    decode_document,
    decode_head,
)

__all__ = [
    "ABSENT_FIELD",
    "CONFIG_KEY",
    "CONFIG_PREFIX",
    "DOCUMENTS_PREFIX",
    "CellDocument",
    "ConfigEditor",
    "ConfigFormatError",
    "ConfigHead",
    "DocumentChange",
    "DocumentFault",
    "EditApplied",
    "EditConflict",
    "EditRecord",
    "EditRejected",
    "EditUncertainError",
    "EditView",
    "GrantedKey",
    "InForce",
    "InForceConfig",
    "InForceSettings",
    "KeyDocument",
    "KeyHolder",
    "KeyRing",
    "KeyRole",
    "PeerObservation",
    "PresetDocument",
    "PresetName",
    "QueueDocument",
    "ResourcesDocument",
    "ShardDocument",
    "TeamDocument",
    "UnknownKey",
    "WithdrawnKey",
    "WorkspaceDocument",
    "cell_schema",
    "check_document",
    "decode_document",
    "decode_head",
    "diff_documents",
    "grant_key",
    "hash_key",
    "json_path",
]
