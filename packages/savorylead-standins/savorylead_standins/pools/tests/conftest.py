"""Fails tests of whole cells in which an unexpected error was logged."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from twisted.logger import LogEvent, globalLogPublisher


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
