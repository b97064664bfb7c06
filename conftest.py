"""Passes over the tests that are listed in KNOWN-RED.txt, and prints them."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = "KNOWN-RED.txt"


class KnownRed(NamedTuple):
    """A test that fails for a known fault."""

    #: Id of a test, or of a function for all rows of its table.
    test: str
    #: The lines below the id: command and seed, what was seen, issue.
    notes: tuple[str, ...]

    def covers(self, node_id: str) -> bool:
        """Return whether the entry lists this test."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the entries: an id at the start of a line, its notes indented below.

    Raises pytest.UsageError for an entry without notes and for notes without an id.
    """
    entries: list[KnownRed] = []
    lines = path.read_text().splitlines() if path.exists() else []
    for line in lines:
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        if line[0].isspace():
            if not entries:
                raise pytest.UsageError(f"{path}: notes without a test: {text}")
            last = entries[-1]
            entries[-1] = last._replace(notes=(*last.notes, text))
        else:
            entries.append(KnownRed(text, ()))
    for entry in entries:
        if not entry.notes:
            raise pytest.UsageError(f"{path}: no notes on {entry.test}")
    return entries


class KnownRedPlugin:
    """Marks listed tests, and fails a full run in which an entry matched none."""

    def __init__(self, entries: list[KnownRed]) -> None:
        self._entries = entries
        #: Outcomes by the id of each listed test that ran.
        self._outcomes: dict[str, str] = {}
        self._unmatched: list[KnownRed] = []

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests; they run, and neither result fails the run."""
        for item in items:
            for entry in self._entries:
                if entry.covers(item.nodeid):
                    # Not strict: a test of a race may pass at times.
                    reason = "; ".join(entry.notes)
                    item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note how a listed test ended, in this process or in one of xdist's."""
        if not any(entry.covers(report.nodeid) for entry in self._entries):
            return
        if report.when == "call" or report.outcome != "passed":
            failed = report.outcome != "passed"
            self._outcomes[report.nodeid] = "failed" if failed else "passed"

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a run of all tests in which an entry matched none of them."""
        config = session.config
        is_whole_run = (
            config.args_source is not pytest.Config.ArgsSource.ARGS
            and not config.option.keyword
            and not config.option.markexpr
            and not config.option.collectonly
        )
        if not is_whole_run or hasattr(config, "workerinput"):
            return
        self._unmatched = [
            entry
            for entry in self._entries
            if not any(entry.covers(node_id) for node_id in self._outcomes)
        ]
        if self._unmatched and session.exitstatus in (
            pytest.ExitCode.OK,
            pytest.ExitCode.NO_TESTS_COLLECTED,
        ):
            session.exitstatus = pytest.ExitCode.USAGE_ERROR

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print the entries and how their tests ended."""
        if self._entries:
            terminalreporter.section("known red, passed over")
        for entry in self._entries:
            terminalreporter.line(entry.test)
            for note in entry.notes:
                terminalreporter.line(f"    {note}")
        for node_id, outcome in self._outcomes.items():
            terminalreporter.line(f"{node_id} {outcome} in this run")
        for entry in self._unmatched:
            terminalreporter.line(f"ERROR: no test matches {entry.test}", red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; raises pytest.UsageError if it can't be read."""
    entries = read_known_red(config.rootpath / KNOWN_RED)
    config.pluginmanager.register(KnownRedPlugin(entries), "known-red")
