"""Measures slopes at several sizes and writes docs/CAPACITY.md from them.

Takes about three minutes, so ``python -m bench`` leaves it out.
"""

from __future__ import annotations

import copy
import json
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from twisted.internet import task

from bench._capacity_page import write_page
from bench._capacity_runs import (
    EXAMPLE,
    IDLE,
    LOAD,
    RUN_LIMIT_S,
    RUNNING,
    SIZES,
    DaemonPoint,
    Points,
    measure_size,
)
from bench._report import report
from savorylead_standins.rig import run_with_timeout

BENCH = "capacity"
PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
#: Sizes of the configuration whose document is measured.
TEAM_COUNTS = (3, 20, 46)


class Line(NamedTuple):
    """A straight line through measured points."""

    at_zero: float
    slope: float


class Slopes(NamedTuple):
    """What one more of each thing costs; per second unless told otherwise."""

    member_cores: float
    worker_cores: float
    running_cores: float
    gateway_core_s_per_task: float
    lead_core_s_per_start: float
    member_mib: float
    worker_mib: float
    task_mib: float
    worker_link_bytes: float
    running_bytes: float
    start_bytes: float
    peer_bytes: float
    member_store_bytes: float
    gateway_bytes_per_task: float
    member_writes: float
    member_reads: float
    member_watches: float
    shard_writes: float
    shard_reads: float
    shard_watches: float
    #: Journal writes a second of one lead at each measured rate of its starts.
    lead_writes: tuple[tuple[float, float], ...]
    document_bytes: float
    document_bytes_per_team: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the line of least squares through the points."""
    xs, ys = zip(*points, strict=True)
    found = statistics.linear_regression(xs, ys)
    return Line(found.intercept, found.slope)


def ratio_of(points: Sequence[tuple[float, float]]) -> float:
    """Return the slope of the line through the points and zero."""
    xs, ys = zip(*points, strict=True)
    return statistics.linear_regression(xs, ys, proportional=True).slope


def slopes_of(points: Points) -> Slopes:
    """Return the slopes through the measured points."""
    idle, running, load = points.of(IDLE), points.of(RUNNING), points.of(LOAD)
    cores = fit([(p.workers_led, p.cores) for p in idle])
    memory = fit([(p.workers_led, p.memory_mib) for p in idle])
    leads = [p for p in running if p.workers_led]
    gateway_cost = ratio_of(_growth(running, load, lambda p: p.cores, _submits, False))
    lead_cost = ratio_of(
        [
            (placed, grown - gateway_cost * submits)
            for placed, grown, submits in _lead_growth(running, load)
        ]
    )
    idle_store = points.store_of(IDLE)
    writes = fit([(s.size.daemons, s.writes_per_s) for s in idle_store])
    reads = fit([(s.size.daemons, s.reads_per_s) for s in idle_store])
    watches = fit([(s.size.daemons, s.watches_per_s) for s in idle_store])
    document = fit([(n, document_bytes(n)) for n in TEAM_COUNTS])
    return Slopes(
        member_cores=cores.at_zero,
        worker_cores=cores.slope,
        running_cores=ratio_of(
            [(p.running, p.cores - _same(idle, p).cores) for p in leads]
        ),
        gateway_core_s_per_task=gateway_cost,
        lead_core_s_per_start=lead_cost,
        member_mib=memory.at_zero,
        worker_mib=memory.slope,
        task_mib=ratio_of(
            [
                (p.placed_so_far, p.memory_mib - _same(idle, p).memory_mib)
                for p in load
                if p.workers_led
            ]
        ),
        worker_link_bytes=ratio_of(
            [(p.workers_led, _of(p, "worker")) for p in idle if p.workers_led]
        ),
        running_bytes=ratio_of(
            [
                (p.running, _of(p, "worker") - _of(_same(idle, p), "worker"))
                for p in leads
            ]
        ),
        start_bytes=ratio_of(
            _growth(running, load, lambda p: _of(p, "worker"), _placed, True)
        ),
        peer_bytes=ratio_of(
            [(p.size.daemons - 1, _of(p, "peer") + _of(p, "peer_served")) for p in idle]
        ),
        member_store_bytes=statistics.fmean(
            _of(p, "store") + _of(p, "watch") for p in idle if not p.workers_led
        ),
        gateway_bytes_per_task=ratio_of(
            _growth(running, load, lambda p: _of(p, "callers"), _submits, False)
        ),
        member_writes=writes.slope,
        member_reads=reads.slope,
        member_watches=watches.slope,
        shard_writes=max(0.0, writes.at_zero / 3),
        shard_reads=max(0.0, reads.at_zero / 3),
        shard_watches=max(0.0, watches.at_zero / 3),
        lead_writes=tuple(
            (s.size.starts_per_s / 3, (s.writes_per_s - i.writes_per_s) / 3)
            for s, i in zip(points.store_of(LOAD), idle_store, strict=True)
        ),
        document_bytes=document.at_zero,
        document_bytes_per_team=document.slope,
    )


def document_bytes(teams: int) -> int:
    """Return the length of a configuration with so many teams."""
    cell: dict[str, Any] = json.loads(EXAMPLE.read_text())["cell"]
    team = cell["teams"].pop("planning")
    for number in range(teams):
        name = f"team-{number:02}"
        cell["teams"][name] = copy.deepcopy(team)
        cell["workspaces"][f"{name}/main"] = {"team": name, "home_region": "monteverde"}
    return len(json.dumps(cell, separators=(",", ":")))


def _growth(
    before: Sequence[DaemonPoint],
    after: Sequence[DaemonPoint],
    value: Callable[[DaemonPoint], float],
    cause: Callable[[DaemonPoint], float],
    of_leads: bool,
) -> list[tuple[float, float]]:
    """Return pairs of a cause and by how much a value grew, of leads or of others."""
    return [
        (cause(p), value(p) - value(_same(before, p)))
        for p in after
        if bool(p.workers_led) is of_leads
    ]


def _lead_growth(
    before: Sequence[DaemonPoint], after: Sequence[DaemonPoint]
) -> list[tuple[float, float, float]]:
    return [
        (p.placed_per_s, p.cores - _same(before, p).cores, p.submits_per_s)
        for p in after
        if p.workers_led
    ]


def _same(points: Sequence[DaemonPoint], point: DaemonPoint) -> DaemonPoint:
    """Return the point of the same daemon in another phase."""
    return next(p for p in points if (p.size, p.name) == (point.size, point.name))


def _of(point: DaemonPoint, link: str) -> float:
    return point.bytes_per_s.get(link, 0.0)


def _placed(point: DaemonPoint) -> float:
    return point.placed_per_s


def _submits(point: DaemonPoint) -> float:
    return point.submits_per_s


async def _measure(reactor: Any) -> None:
    points = Points([], [])
    for size in SIZES:
        await measure_size(reactor, size, points)
    for point in points.daemons:
        what = f"{point.size.workers}_workers_{point.phase}_{point.name}"
        report(BENCH, f"{what}_core", point.cores, "cores")
        report(BENCH, f"{what}_memory", point.memory_mib, "MiB")
    slopes = slopes_of(points)
    for name, value in slopes._asdict().items():
        if name != "lead_writes":
            print(json.dumps({"bench": BENCH, "metric": name, "value": value}))
    for starts, writes in slopes.lead_writes:
        report(BENCH, f"lead_writes_at_{starts:.0f}_starts", writes, "writes/s")
    write_page(PAGE, slopes)


def main() -> None:
    limit_s = RUN_LIMIT_S * len(SIZES)
    task.react(lambda reactor: run_with_timeout(reactor, _measure(reactor), limit_s))


if __name__ == "__main__":
    main()
