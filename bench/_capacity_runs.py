"""Cells of several sizes, and what each of their daemons uses."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from bench._cell_load import (
    Snapshot,
    SteadySubmits,
    cpu_shares,
    take_snapshot,
)
from savorylead_standins.rig import RealCell, WorkPlace

EXAMPLE = Path(__file__).with_name("throughput.json")
SHARDS = 3
#: Most time that one cell may take.
RUN_LIMIT_S = 90.0
#: Counts are copied into the metrics every 5 s, so a window holds two copies.
SETTLE = timedelta(seconds=5.5)
WINDOW_S = 10.0
BATCH = {
    "kind": "batch",
    "run_s": 0.5,
    "resources": {"cores": 1, "memory_mb": 512},
}
SERVICE = {
    "kind": "service",
    "run_s": None,
    "resources": {"cores": 1, "memory_mb": 512},
}
IDLE = "idle"
RUNNING = "running"
LOAD = "load"


class CellSize(NamedTuple):
    """One size of a cell."""

    workers: int
    daemons: int
    #: Services that run on, for what a running task costs.
    services: int
    #: Starts a second of short tasks, submitted one by one.
    starts_per_s: float


#: The sizes that are measured, each on real processes.
SIZES = (
    CellSize(workers=30, daemons=3, services=150, starts_per_s=20),
    CellSize(workers=90, daemons=6, services=450, starts_per_s=60),
    CellSize(workers=180, daemons=9, services=900, starts_per_s=120),
)


class DaemonPoint(NamedTuple):
    """What one daemon used over one window."""

    size: CellSize
    phase: str
    name: str
    workers_led: float
    #: Tasks that run in the shards led.
    running: float
    cores: float
    memory_mib: float
    #: Placements a second as a lead, and submits a second as a gateway.
    placed_per_s: float
    submits_per_s: float
    #: Tasks that were placed here since the start.
    placed_so_far: float
    #: Bytes a second, sent and received, by link.
    bytes_per_s: dict[str, float]


class StorePoint(NamedTuple):
    """Calls a second at the store over one window."""

    size: CellSize
    phase: str
    writes_per_s: float
    reads_per_s: float
    watches_per_s: float


class Points(NamedTuple):
    """Everything that was measured."""

    daemons: list[DaemonPoint]
    store: list[StorePoint]

    def of(self, phase: str) -> list[DaemonPoint]:
        """Return the points of one phase."""
        return [point for point in self.daemons if point.phase == phase]

    def store_of(self, phase: str) -> list[StorePoint]:
        """Return the store's points of one phase."""
        return [point for point in self.store if point.phase == phase]


async def measure_size(reactor: Any, size: CellSize, points: Points) -> None:
    """Run a cell of one size and add its points."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "example.json")
        path.write_text(json.dumps(_example_of(size)))
        cell = RealCell(reactor, path, 1, RUN_LIMIT_S)
        try:
            await cell.start(size.daemons)
            await _measure_phases(cell, size, points)
        finally:
            await cell.close()


async def _measure_phases(cell: RealCell, size: CellSize, points: Points) -> None:
    place = WorkPlace(**cell.example["demo"]["load"]["batch"])
    await cell.clock.sleep(SETTLE)
    await _window(cell, size, IDLE, points)
    services = SteadySubmits(cell, "services", place, SERVICE)
    await services.run(100, 50, size.services / 100)
    await cell.clock.sleep(SETTLE)
    await _window(cell, size, RUNNING, points)
    ramp = SteadySubmits(cell, "ramp", place, BATCH)
    await ramp.run(size.starts_per_s, 1, SETTLE.total_seconds())
    load = SteadySubmits(cell, "load", place, BATCH)
    before = await take_snapshot(cell)
    await load.run(size.starts_per_s, 1, WINDOW_S)
    _add(points, size, LOAD, before, await take_snapshot(cell))


async def _window(cell: RealCell, size: CellSize, phase: str, points: Points) -> None:
    before = await take_snapshot(cell)
    await cell.clock.sleep(timedelta(seconds=WINDOW_S))
    _add(points, size, phase, before, await take_snapshot(cell))


def _add(
    points: Points, size: CellSize, phase: str, before: Snapshot, after: Snapshot
) -> None:
    seconds = after.at_s - before.at_s
    cores = cpu_shares(before, after)
    for name, samples in after.metrics.items():
        earlier = before.metrics[name]
        leads = _sum(samples, "savorylead_leads_held")
        placed = _sum(samples, "savorylead_submit_to_placed_seconds_count")
        placed_before = _sum(earlier, "savorylead_submit_to_placed_seconds_count")
        submits = _sum(samples, "savorylead_http_requests_total", "submit")
        submits_before = _sum(earlier, "savorylead_http_requests_total", "submit")
        point = DaemonPoint(
            size=size,
            phase=phase,
            name=name,
            workers_led=leads * size.workers / SHARDS,
            running=_sum(samples, "savorylead_tasks_running"),
            cores=cores[name],
            memory_mib=after.processes[name].memory_mib,
            placed_per_s=(placed - placed_before) / seconds,
            submits_per_s=(submits - submits_before) / seconds,
            placed_so_far=placed,
            bytes_per_s=_bytes(earlier, samples, seconds),
        )
        points.daemons.append(point)
    points.store.append(_store_point(size, phase, before, after))


def _store_point(
    size: CellSize, phase: str, before: Snapshot, after: Snapshot
) -> StorePoint:
    seconds = after.at_s - before.at_s

    def rate(*kinds: str) -> float:
        then, now = before.store_calls, after.store_calls
        return sum(now.get(kind, 0) - then.get(kind, 0) for kind in kinds) / seconds

    writes = rate("swap", "grant_lease", "renew_lease", "revoke_lease")
    reads = rate("get", "list", "healthz")
    return StorePoint(size, phase, writes, reads, rate("watch"))


def _bytes(
    before: Mapping[tuple[str, str], float],
    after: Mapping[tuple[str, str], float],
    seconds: float,
) -> dict[str, float]:
    totals: dict[str, float] = {}
    for key, value in after.items():
        if key[0] == "savorylead_control_bytes_total":
            link = key[1].partition('link="')[2].partition('"')[0]
            grown = value - before.get(key, 0.0)
            totals[link] = totals.get(link, 0.0) + grown / seconds
    return totals


def _sum(samples: Mapping[tuple[str, str], float], name: str, label: str = "") -> float:
    return sum(v for k, v in samples.items() if k[0] == name and label in k[1])


def _example_of(size: CellSize) -> dict[str, Any]:
    example = json.loads(EXAMPLE.read_text())
    for rack in example["platform"]["racks"]:
        rack["workers"] = size.workers // SHARDS
    return example
