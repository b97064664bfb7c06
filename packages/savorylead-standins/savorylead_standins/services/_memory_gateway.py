"""A daemon's entrance over services in memory."""

from __future__ import annotations

import random
from datetime import UTC, datetime
from typing import Any

import msgspec
from twisted.internet.task import Clock as ManualTime

from savorylead.clock import TwistedClock
from savorylead.config import CellDocument
from savorylead_daemon.entrance import build_http_site
from savorylead_daemon.observability import Metrics, Readiness
from savorylead_daemon.settings import LimitSettings, parse_settings

from ._memory_callers import MemoryCallerService
from ._memory_connection import MemoryConnection
from ._memory_operators import MemoryOperatorService

#: Keys of the two teams and of the operator.
DISPATCH_KEY = "dispatch-1.secret"
PLANNING_KEY = "planning-1.secret"
OPERATOR_KEY = "operator-1.secret"


def small_cell() -> CellDocument:
    """Return a configuration with two teams, one shard and two presets."""
    preset: Any = {
        "spread_weight": 1.0,
        "packing_weight": 1.0,
        "accelerator_guard_weight": 1.0,
        "ageing_s": 60.0,
        "preemption": True,
        "backfill": True,
        "reservation_s": 30.0,
        "admit_batch": True,
    }
    return {
        "cell": "test",
        "shards": {"mv-1": {"region": "monteverde", "domain": "mv-1", "racks": []}},
        "teams": {
            "dispatch": {"share": 2.0, "limit": {"cores": 64}, "keys": {}},
            "planning": {"share": 1.0, "limit": {}, "keys": {}},
        },
        "operators": {},
        "workspaces": {
            "dispatch/tours": {"team": "dispatch", "home_region": "monteverde"}
        },
        "queues": {"open": {"open": True, "teams": [], "max_waiting": 100}},
        "presets": {
            "ordinary": preset,
            "peak": preset,
            "maintenance": {**preset, "admit_batch": False},
        },
        "preset": "ordinary",
    }


def small_limits(**changes: Any) -> LimitSettings:
    """Return the limits of a daemon, changed as in its settings file."""
    document = {
        "name": "entry-1",
        "region": "monteverde",
        "domain": "mv-1",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
        "platform": {"store": "127.0.0.1:1", "vm_list": "127.0.0.1:2"},
        "limits": changes,
    }
    return parse_settings(msgspec.json.encode(document)).limits


class MemoryGateway:
    """The entrance, its services, and the time that drives them."""

    def __init__(self, **limits: Any) -> None:
        self.time = ManualTime()
        self.clock = TwistedClock(self.time, datetime(2030, 1, 1, tzinfo=UTC))
        self.callers = MemoryCallerService(self.clock)
        self.callers.teams_by_key = {
            DISPATCH_KEY: "dispatch",
            PLANNING_KEY: "planning",
        }
        self.operators = MemoryOperatorService(OPERATOR_KEY, small_cell(), self.callers)
        self.metrics = Metrics(cpu_seconds=lambda: 0.0)
        self.readiness = Readiness()
        self.site = build_http_site(
            self.callers,
            self.operators,
            self.metrics,
            self.readiness,
            small_limits(**limits),
            random.Random(1),
        )

    def connect(self) -> MemoryConnection:
        """Return a new client's connection."""
        return MemoryConnection(self.site)

    def metric(self, series: str) -> float:
        """Return the value of one series, such as 'ready' or 'x{reason="y"}'."""
        lines = self.metrics.render()[0].decode().splitlines()
        prefix = f"savorylead_{series} "
        values = [line for line in lines if line.startswith(prefix)]
        return float(values[0].removeprefix(prefix)) if values else 0.0
