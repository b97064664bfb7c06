"""Daemons reduced to their configuration, on one store and a fake clock."""

from __future__ import annotations

import random
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.config import (
    CellDocument,
    ConfigEditor,
    EditApplied,
    InForceConfig,
    PeerObservation,
    PresetDocument,
)
from savorylead_standins.store import MemoryStore

from ._pause import PausableClock, PausableStore, Pause

_STORE_LONG_SILENT = timedelta(seconds=10)
_PRESET: PresetDocument = {
    "spread_weight": 1.0,
    "packing_weight": 1.0,
    "accelerator_guard_weight": 1.0,
    "ageing_s": 60.0,
    "preemption": True,
    "backfill": True,
    "reservation_s": 30.0,
    "admit_batch": True,
}


def share_document(share: float) -> CellDocument:
    """Return a valid cell whose only team has this share."""
    return {
        "cell": "test",
        "shards": {"s1": {"region": "north", "domain": "d1", "racks": []}},
        "teams": {"dispatch": {"share": float(share), "limit": {}, "keys": {}}},
        "operators": {},
        "workspaces": {"dispatch/tours": {"team": "dispatch", "home_region": "north"}},
        "queues": {"nightly": {"open": True, "teams": [], "max_waiting": 100}},
        "presets": {
            "ordinary": {**_PRESET},
            "peak": {**_PRESET},
            "maintenance": {**_PRESET},
        },
        "preset": "ordinary",
    }


class ConfigDaemon:
    """The configuration's part of one daemon."""

    def __init__(self, cell: ConfigCell, name: str) -> None:
        self.name = name
        self.pause = Pause()
        self.clock = PausableClock(cell.clock, self.pause)
        store = PausableStore(cell.store.client(name), self.pause)
        rng = random.Random(name)
        self.config = InForceConfig(store, self.clock, rng)
        self.editor = ConfigEditor(store, self.clock, rng, self.config.observe)
        #: Each revision as it came into force.
        self.seen: list[int] = []
        self.config.add_listener(lambda current: self.seen.append(current.revision))
        self.config.start()

    def share(self) -> float:
        """Return the share in force here."""
        return self.config.current.document["teams"]["dispatch"]["share"]

    def sight(
        self,
        store_age: timedelta | None = _STORE_LONG_SILENT,
        revision: int | None = None,
    ) -> PeerObservation:
        """Return what this daemon tells its peers."""
        own = self.config.revision if revision is None else revision
        return PeerObservation(self.name, own, self.config.age(), store_age)


class ConfigCell:
    """A store, a fake clock and the daemons that follow it."""

    def __init__(self, names: str = "ab") -> None:
        self.provider = task.Clock()
        self.clock = TwistedClock(self.provider, datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryStore(self.clock, random.Random(1))
        self.daemons = [ConfigDaemon(self, name) for name in names]

    def run(self, seconds: float) -> None:
        """Let the clock go on."""
        self.provider.pump([0.01] * round(seconds * 100))

    def result(self, coroutine: Coroutine[Any, Any, Any], seconds: float = 30) -> Any:
        """Let the clock go on until the result is there; return or raise it."""
        results: list[Any] = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        for _ in range(round(seconds * 100)):
            if results:
                break
            self.provider.advance(0.01)
        assert results, "not done in time"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def applied(self, share: float, expected: int, daemon: int = 0) -> int:
        """Have a daemon change the share; return the new revision."""
        editor = self.daemons[daemon].editor
        result = self.result(editor.apply(share_document(share), expected))
        assert isinstance(result, EditApplied)
        return result.revision
