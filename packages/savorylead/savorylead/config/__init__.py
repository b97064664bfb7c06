"""The operators' configuration: its document, checks, and being in force."""

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
from ._envelope import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    ConfigFormatError,
    EditRecord,
    Envelope,
    decode_envelope,
)
from ._in_force import InForce, InForceConfig, InForceSettings, PeerSight
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

__all__ = [
    "ABSENT_FIELD",
    "CONFIG_KEY",
    "CONFIG_PREFIX",
    "CellDocument",
    "ConfigEditor",
    "ConfigFormatError",
    "DocumentChange",
    "DocumentFault",
    "EditApplied",
    "EditConflict",
    "EditRecord",
    "EditRejected",
    "EditUncertainError",
    "EditView",
    "Envelope",
    "GrantedKey",
    "InForce",
    "InForceConfig",
    "InForceSettings",
    "KeyDocument",
    "KeyHolder",
    "KeyRing",
    "KeyRole",
    "PeerSight",
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
    "decode_envelope",
    "diff_documents",
    "grant_key",
    "hash_key",
    "json_path",
]
