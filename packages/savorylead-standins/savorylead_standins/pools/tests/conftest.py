"""Fails tests of whole cells in which an unexpected error was logged."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from twisted.logger import LogEvent, globalLogPublisher

from savorylead_daemon.observability import EventLog

from .cell_cases import LoggedEvent


@pytest.fixture(autouse=True)
def unexpected_errors(request: pytest.FixtureRequest) -> Iterator[list[str]]:
    """Collect errors that a daemon caught and logged.

    A test that raises such errors on purpose is marked ``raises_unexpected_errors``.
    """
    errors: list[str] = []

    def observe(event: LogEvent) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            errors.append(f"{event.get('log_format')}: {failure.getTraceback()}")

    globalLogPublisher.addObserver(observe)
    yield errors
    globalLogPublisher.removeObserver(observe)
    if request.node.get_closest_marker("raises_unexpected_errors") is None:
        assert errors == []


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[LoggedEvent]:
    """Return the events that all daemons log."""
    logged: list[LoggedEvent] = []

    def note(_log: EventLog, _level: object, event: str, **details: Any) -> bool:
        logged.append(LoggedEvent(event, details))
        return True

    monkeypatch.setattr(EventLog, "log_event", note)
    return logged
