"""Reads the JSON lines of all daemons and merges them by time."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from typing import Any, NamedTuple, TextIO

#: Fields that every line has; the others are details of its event.
COMMON_FIELDS = ("time", "level", "daemon", "event")


class LogLine(NamedTuple):
    """One decision or change of belief of one daemon."""

    time: datetime
    daemon: str
    level: str
    event: str
    details: Mapping[str, Any]


class LogRead(NamedTuple):
    """All lines that could be read, in order of time."""

    lines: Sequence[LogLine]
    #: Lines that are no JSON object with a time and an event, such as one cut short.
    unreadable: int


def read_logs(files: Iterable[TextIO]) -> LogRead:
    """Return the lines of all files; what can't be read is counted."""
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        for text in file:
            if not text.strip():
                continue
            line = _line(text)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return LogRead(lines, unreadable)


def _line(text: str) -> LogLine | None:
    # What runs a daemon may have put its own words before the object.
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
