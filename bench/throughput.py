"""Task starts a second through six daemons, and what limits them.

Real processes on loopback. The generator and the stand-ins are Python programs too,
so the part of a core that each of them uses is printed beside the daemons'.
"""

from __future__ import annotations

import argparse
from datetime import timedelta
from pathlib import Path
from typing import Any

from twisted.internet import task

from bench._cell_load import (
    Snapshot,
    SteadySubmits,
    calls_growth,
    cpu_shares,
    metric_growth,
    take_snapshot,
)
from bench._report import percentile, report
from savorylead_standins.rig import RealCell, WorkPlace, run_with_timeout

BENCH = "throughput"
EXAMPLE = Path(__file__).with_name("throughput.json")
RUN_LIMIT_S = 58.0
DAEMONS = 6
STARTS_PER_S = 2_000
TASKS_PER_CALL = 50
LOAD_S = 20.0
#: Load before each measurement, in which limits are divided anew among the leads.
RAMP_S = 3.0
PEAK_STARTS_PER_S = 59
PEAK_S = 5.0
URGENT_REQUESTS = 20
#: The end of the longest task, and the copy of counts into the metrics.
SETTLE = timedelta(seconds=5.5)
#: What the issue asks for.
TARGET_P99_MS = 25
TARGET_WRITES_PER_S = 200
TARGET_PEAK_WRITES_PER_S = 60
TARGET_URGENT_P50_MS = 30
WRITES = ("swap", "grant_lease", "renew_lease", "revoke_lease")
READS = ("get", "list", "watch")
PLACED = "savorylead_submit_to_placed_seconds"
RUN_S = 0.5
BATCH = {
    "kind": "batch",
    "run_s": RUN_S,
    "resources": {"cores": 1, "memory_mb": 512},
}
URGENT = {**BATCH, "run_s": 0.05, "urgent": True, "repeatable": False}


class ThroughputBench:
    """Runs the loads one after the other on one cell."""

    def __init__(self, reactor: Any, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._cell = RealCell(
            reactor, EXAMPLE, 1, RUN_LIMIT_S, profiles=arguments.profile
        )
        self._place = WorkPlace(**self._cell.example["demo"]["load"]["batch"])

    async def run(self) -> None:
        cell = self._cell
        try:
            await cell.start(DAEMONS)
            await cell.clock.sleep(timedelta(seconds=1))
            await self._lone_urgent()
            await self._load("peak", PEAK_STARTS_PER_S, 1, PEAK_S)
            rate = self._arguments.rate
            await self._load("load", rate, TASKS_PER_CALL, LOAD_S)
            if self._arguments.profile is not None:
                await self._stop_daemons()
        finally:
            await cell.close()

    async def _load(
        self, name: str, rate: float, tasks_per_call: int, seconds: float
    ) -> None:
        cell = self._cell
        ramp = SteadySubmits(cell, f"{name}-ramp", self._place, BATCH)
        await ramp.run(rate, tasks_per_call, RAMP_S)
        submits = SteadySubmits(cell, name, self._place, BATCH)
        before = await take_snapshot(cell)
        before_ms = cell.now_ms()
        await submits.run(rate, tasks_per_call, seconds)
        until_ms = before_ms + round(seconds * 1000)
        replied_s = (cell.now_ms() - before_ms) / 1000
        after = await take_snapshot(cell)
        # Tasks that are queued by then still count where they were placed in time.
        await cell.clock.sleep(SETTLE)
        settled = await take_snapshot(cell)
        history = await cell.history()
        starts = sum(
            before_ms <= e.started_at_ms < until_ms for e in history.executions
        )
        report(BENCH, f"{name}_starts", starts / seconds, "starts/s", rate)
        report(BENCH, f"{name}_replied_after", replied_s, "s", seconds)
        for status, count in sorted(submits.replies.items()):
            report(BENCH, f"{name}_replies_{status}", count, "tasks")
        self._report_waits(name, before, settled)
        self._report_store(name, before, after)
        for process, share in sorted(cpu_shares(before, after).items()):
            report(BENCH, f"{name}_core_{process}", share, "cores")

    def _report_waits(self, name: str, before: Snapshot, after: Snapshot) -> None:
        total = metric_growth(before, after, f"{PLACED}_count", 'kind="batch"')
        report(BENCH, f"{name}_placed", total, "tasks")
        bound_ms = placed_percentile(before, after, 0.99) * 1000
        report(BENCH, f"{name}_placed_p99_at_most", bound_ms, "ms", TARGET_P99_MS)
        in_time = metric_growth(
            before, after, f"{PLACED}_bucket", 'kind="batch"', 'le="0.025"'
        )
        if total:
            report(BENCH, f"{name}_placed_within_25_ms", in_time / total, "part", 0.99)
        p50_ms = placed_percentile(before, after, 0.5) * 1000
        report(BENCH, f"{name}_placed_p50_at_most", p50_ms, "ms")

    def _report_store(self, name: str, before: Snapshot, after: Snapshot) -> None:
        seconds = after.at_s - before.at_s
        target = TARGET_WRITES_PER_S if name == "load" else TARGET_PEAK_WRITES_PER_S
        writes = calls_growth(before, after, *WRITES) / seconds
        reads = calls_growth(before, after, *READS) / seconds
        report(BENCH, f"{name}_store_writes", writes, "writes/s", target)
        report(BENCH, f"{name}_store_reads", reads, "reads/s", 2_000)

    async def _lone_urgent(self) -> None:
        """Measure from the submit to the start as the worker notes it."""
        cell = self._cell
        submits = SteadySubmits(cell, "urgent", self._place, URGENT)
        submitted_ms = {}
        for _ in range(URGENT_REQUESTS):
            draft = submits.draft()
            submitted_ms[draft["request"]] = cell.now_ms()
            await cell.callers[self._place.team].submit([draft])
            await cell.clock.sleep(timedelta(milliseconds=150))
        history = await cell.history()
        waits = [
            float(e.started_at_ms - submitted_ms[e.task.request])
            for e in history.executions
        ]
        report(BENCH, "urgent_alone_started", len(waits), "tasks", URGENT_REQUESTS)
        p50 = percentile(waits, 0.5)
        report(BENCH, "urgent_alone_p50", p50, "ms", TARGET_URGENT_P50_MS)
        report(BENCH, "urgent_alone_max", max(waits), "ms")

    async def _stop_daemons(self) -> None:
        """End the daemons in the planned way, since they write profiles at the end."""
        for child in self._cell.processes.daemons.values():
            child.signal("TERM")
        for child in self._cell.processes.daemons.values():
            await child.ended


async def _run(reactor: Any, arguments: argparse.Namespace) -> None:
    await ThroughputBench(reactor, arguments).run()


def placed_percentile(before: Snapshot, after: Snapshot, part: float) -> float:
    """Return the bound, in seconds, of the bucket that holds a percentile."""
    total = metric_growth(before, after, f"{PLACED}_count", 'kind="batch"')
    bounds = {
        float(key[1].partition('le="')[2].partition('"')[0])
        for samples in after.metrics.values()
        for key in samples
        if key[0] == f"{PLACED}_bucket" and "Inf" not in key[1]
    }
    for bound in sorted(bounds):
        labels = ('kind="batch"', f'le="{bound:g}"')
        if metric_growth(before, after, f"{PLACED}_bucket", *labels) >= part * total:
            return bound
    return float("inf")


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.throughput")
    parser.add_argument("--rate", type=float, default=STARTS_PER_S)
    parser.add_argument(
        "--profile", type=Path, help="folder for a profile of each daemon"
    )
    arguments = parser.parse_args()
    if arguments.profile is not None:
        arguments.profile.mkdir(parents=True, exist_ok=True)
    task.react(
        lambda reactor: run_with_timeout(reactor, _run(reactor, arguments), RUN_LIMIT_S)
    )


if __name__ == "__main__":
    main()
