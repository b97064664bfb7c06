"""Formats the differences between two configurations."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from savorylead.config import ABSENT_FIELD, DocumentChange


def change_lines(changes: Iterable[DocumentChange]) -> list[str]:
    """Return one line for each change, for text output."""
    return [
        f"{change.path}: {_format_side(change.before)} -> {_format_side(change.after)}"
        for change in changes
    ]


def change_documents(changes: Iterable[DocumentChange]) -> list[dict[str, Any]]:
    """Return the changes for JSON output; an absent side is omitted."""
    return [
        {name: side for name, side in change._asdict().items() if _is_present(side)}
        for change in changes
    ]


def _is_present(side: Any) -> bool:
    return side is not ABSENT_FIELD


def _format_side(side: Any) -> str:
    if not _is_present(side):
        return "absent"
    return json.dumps(side, ensure_ascii=False)
