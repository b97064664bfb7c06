"""Reads the JSON-lines logs of all daemons and merges them by time."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from typing import Any, NamedTuple, TextIO

#: Fields common to all lines; the other fields are details of the event.
COMMON_FIELDS = ("time", "level", "daemon", "event")


class LogLine(NamedTuple):
    """An event logged by a daemon: a decision, or a change of what it assumes."""

    time: datetime
    daemon: str
    level: str
    event: str
    details: Mapping[str, Any]


class LogRead(NamedTuple):
    """All lines that could be parsed, in order of time."""

    lines: Sequence[LogLine]
    #: Number of lines that are not a JSON object with a time and an event, such as a
    #: truncated line.
    unreadable: int


def read_logs(files: Iterable[TextIO]) -> LogRead:
    """Parse the lines of all files; lines that can't be parsed are counted."""
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        for text in file:
            if not text.strip():
                continue
            line = _parse_line(text)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return LogRead(lines, unreadable)


def _parse_line(text: str) -> LogLine | None:
    # A supervisor or log collector may have put a prefix before the object.
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        time = datetime.fromisoformat(document["time"])
        event = document["event"]
    except (ValueError, KeyError, TypeError):
        return None
    if time.tzinfo is None or not isinstance(event, str):
        return None
    details = {k: v for k, v in document.items() if k not in COMMON_FIELDS}
    return LogLine(
        time,
        str(document.get("daemon", "")),
        str(document.get("level", "")),
        event,
        details,
    )
