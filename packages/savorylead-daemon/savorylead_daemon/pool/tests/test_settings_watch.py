"""Changes of the settings file, with and without a signal."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path

import pytest

from savorylead.clock import TwistedClock
from savorylead_daemon.observability import EventLog
from savorylead_daemon.pool._settings_watch import SettingsWatch
from savorylead_daemon.pool.settings import PoolSettings, load_pool_settings
from savorylead_standins.time import SteppedTime

DOCUMENT = {
    "name": "edge-1",
    "region": "r",
    "domain": "z",
    "listen": {
        "callers": "10.1.0.5:8686",
        "readiness": "10.1.0.5:8689",
        "peers": "10.1.0.5:7180",
        "metrics": "10.1.0.5:7195",
    },
    "platform": {"adapter": "savorylead_platform", "store": "10.200.1.7:8683"},
}


class Watched:
    def __init__(self, folder: Path) -> None:
        self.path = folder / "node.json"
        self.write()
        self.time = SteppedTime()
        clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.loaded: list[PoolSettings] = []
        self.watch = SettingsWatch(
            self.path,
            load_pool_settings(self.path),
            clock,
            EventLog(clock, 10),
            self.loaded.append,
        )
        self.watch.start()

    def write(self, **changes: object) -> None:
        self.path.write_text(json.dumps(DOCUMENT | changes))


@pytest.mark.parametrize("by_signal", [False, True])
def test_a_changed_bound_is_taken_over_once(tmp_path: Path, by_signal: bool) -> None:
    watched = Watched(tmp_path)
    watched.time.advance(3.0)
    assert watched.loaded == []
    watched.write(bounds={"key_withdrawn_ms": 3_000})
    if by_signal:
        watched.watch.reload()
    watched.time.advance(3.0)
    assert [s.bounds.key_withdrawn_ms for s in watched.loaded] == [3_000]
    watched.watch.stop()


@pytest.mark.parametrize("text", ["{", '{"name": "edge-1"}', ""])
def test_a_file_with_a_fault_changes_nothing(tmp_path: Path, text: str) -> None:
    # A file may be read while it is being written.
    watched = Watched(tmp_path)
    watched.path.write_text(text)
    watched.time.advance(2.5)
    assert watched.loaded == []
    watched.write(bounds={"key_withdrawn_ms": 4_000})
    watched.time.advance(1.5)
    assert len(watched.loaded) == 1
    watched.watch.stop()


def test_a_missing_file_changes_nothing(tmp_path: Path) -> None:
    watched = Watched(tmp_path)
    watched.path.unlink()
    watched.time.advance(2.5)
    assert watched.loaded == []
    watched.watch.stop()
