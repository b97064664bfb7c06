"""The operators' configuration: its document, checks, and being in force."""

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

__all__ = [
    "CellDocument",
    "KeyDocument",
    "PresetDocument",
    "PresetName",
    "QueueDocument",
    "ResourcesDocument",
    "ShardDocument",
    "TeamDocument",
    "WorkspaceDocument",
]
