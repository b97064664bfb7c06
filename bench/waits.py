"""Tells from logs where jobs of steps waited, by queue and part of the way.

Reads what daemons wrote (``python -m bench.waits LOG...``), with anything before the
line's JSON. Lines that a daemon left out to bound its log are counted in the last row:
a job of which a line is missing is left out of the parts that need it.
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterable
from contextlib import ExitStack
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from bench._report import percentile
from savorylead_ctl.explain import LogLine, read_logs

#: The parts of a job's way, in their order.
PARTS = ("accept", "lead", "advice", "room", "work", "whole")
_ROW = "{:<14} {:>7} {:>6} " + " ".join(["{:>15}"] * len(PARTS))


class JobWay(NamedTuple):
    """Milliseconds that each part of a job's way took; None where no line tells."""

    queue: str
    #: Whether its team sent more than is owed to it.
    surplus: bool
    state: str
    parts: dict[str, float | None]


class _Seen:
    """The first line of each kind on one job."""

    def __init__(self) -> None:
        self.accepted: LogLine | None = None
        self.taken: LogLine | None = None
        self.advised: LogLine | None = None
        self.started: LogLine | None = None
        self.ended: LogLine | None = None

    def note(self, line: LogLine) -> None:
        details = line.details
        if line.event == "job_accepted":
            self.accepted = self.accepted or line
        elif line.event == "job_taken_in":
            self.taken = self.taken or line
        elif line.event == "advice" and details.get("allowed"):
            self.advised = self.advised or line
        elif line.event == "task_start" and details.get("outcome") == "started":
            self.started = self.started or line
        elif line.event == "job_ended":
            self.ended = self.ended or line


def ways_of(lines: Iterable[LogLine]) -> list[JobWay]:
    """Return the way of every job whose intake is told."""
    seen: defaultdict[str, _Seen] = defaultdict(_Seen)
    for line in lines:
        job = line.details.get("job") or _job_of(line.details.get("step"))
        if job:
            seen[str(job)].note(line)
    return [_way(each) for each in seen.values() if each.taken is not None]


def _job_of(step: Any) -> str:
    return str(step).split(".", 1)[0] if step else ""


def _way(seen: _Seen) -> JobWay:
    assert seen.taken is not None
    accept = None
    if seen.accepted is not None:
        # The age at the intake counts from when the call arrived.
        age_ms = float(seen.taken.details.get("age_ms", 0))
        accept = max(0.0, age_ms - (_between(seen.accepted, seen.taken) or 0.0))
    before_start = seen.advised if seen.advised is not None else seen.taken
    whole = None
    if seen.ended is not None:
        whole = float(seen.ended.details.get("after_ms", 0))
    return JobWay(
        queue=str(seen.accepted.details.get("queue", "?")) if seen.accepted else "?",
        surplus=bool(seen.taken.details.get("surplus")),
        state=str(seen.ended.details.get("state")) if seen.ended else "",
        parts={
            "accept": accept,
            "lead": _between(seen.accepted, seen.taken),
            "advice": _between(seen.taken, seen.advised),
            "room": _between(before_start, seen.started),
            "work": _between(seen.started, seen.ended),
            "whole": whole,
        },
    )


def _between(first: LogLine | None, second: LogLine | None) -> float | None:
    if first is None or second is None:
        return None
    return max(0.0, (second.time - first.time).total_seconds() * 1000)


def table(ways: Iterable[JobWay], suppressed: int) -> list[str]:
    """Return the median and 95th percentile of each part, by queue."""
    groups: defaultdict[tuple[str, bool], list[JobWay]] = defaultdict(list)
    for way in ways:
        groups[(way.queue, way.surplus)].append(way)
    rows = [_ROW.format("queue", "", "jobs", *(f"{part} ms" for part in PARTS))]
    for (queue, surplus), group in sorted(groups.items()):
        cells = []
        for part in PARTS:
            known = [v for way in group if (v := way.parts[part]) is not None]
            cells.append(_cell(known))
        kind = "surplus" if surplus else "owed"
        rows.append(_ROW.format(queue[:14], kind, len(group), *cells))
    rows.append(f"lines left out by the daemons: {suppressed}")
    return rows


def _cell(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{percentile(values, 0.5):.0f} / {percentile(values, 0.95):.0f}"


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.waits")
    parser.add_argument("log", nargs="+", type=Path)
    parser.add_argument("--since", type=datetime.fromisoformat, help="with its zone")
    parser.add_argument("--until", type=datetime.fromisoformat, help="with its zone")
    args = parser.parse_args()
    with ExitStack() as stack:
        files = [stack.enter_context(p.open(errors="replace")) for p in args.log]
        read = read_logs(files)
    lines = [
        line
        for line in read.lines
        if (args.since is None or line.time >= args.since)
        and (args.until is None or line.time < args.until)
    ]
    suppressed = sum(int(line.details.get("suppressed", 0)) for line in lines)
    sys.stdout.write("\n".join(table(ways_of(lines), suppressed)) + "\n")


if __name__ == "__main__":
    main()
