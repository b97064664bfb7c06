"""docs/CAPACITY.md, worked out from measured slopes."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from bench._capacity_rows import (
    EVENTS_PER_START,
    GATHER_EVENTS,
    GATHER_S,
    LIMIT_WRITES_PER_S,
    MEMBERS,
    SHARDS,
    STARTS_PER_S,
    STORE_READS_PER_S,
    STORE_WRITES_PER_S,
    TEN,
    Row,
    number,
    rows_of,
)

if TYPE_CHECKING:
    from bench.capacity import Slopes


def write_page(path: Path, slopes: Slopes) -> None:
    """Write the page."""
    rows = rows_of(slopes)
    parts = [_HEAD, _slope_table(slopes), _SIZE, _table(rows), _over(rows)]
    parts += [_ten_times(slopes), _TAIL]
    path.write_text("\n".join(parts))


def _table(rows: Sequence[Row]) -> str:
    lines = ["| Role | What | Formula | Result | Limit | Carried by |"]
    lines.append("|---|---|---|---|---|---|")
    lines += [
        f"| {r.role} | {r.what} | {r.formula} | {number(r.value)} {r.unit} "
        f"| {r.verdict()} | {r.mechanism} |"
        for r in rows
    ]
    return "\n".join(lines) + "\n"


def _slope_table(s: Slopes) -> str:
    lines = ["| Slope | Measured |", "|---|---|"]
    for name, value in s._asdict().items():
        if name != "lead_writes":
            lines.append(f"| {name.replace('_', ' ')} | {number(value)} |")
    for starts, writes in s.lead_writes:
        what = f"journal writes of one lead at {starts:.0f} starts/s"
        lines.append(f"| {what} | {number(writes)} |")
    return "\n".join(lines) + "\n"


def _over(rows: Sequence[Row]) -> str:
    over = [r for r in rows if r.limit is not None and r.value > r.limit]
    lines = ["## What is over", ""]
    lines += [
        f"- {r.role}, {r.what}: {number(r.value)} {r.unit}, "
        f"{number(r.value / r.limit)} times its limit"
        for r in over
    ]
    return "\n".join([*lines, "", _NODES])


def _ten_times(s: Slopes) -> str:
    """Return what ten times the load asks of seven leads, the fullest part first."""
    rows = {(r.role, r.what): r.value for r in rows_of(s)}
    lead_cores = rows["lead", "processor, on top of the member's"]
    starts = TEN * STARTS_PER_S / SHARDS
    # Each write but the gathered ones carries at least so many events.
    journal = 1 / GATHER_S + starts * EVENTS_PER_START / GATHER_EVENTS
    writes = MEMBERS * s.member_writes + SHARDS * (
        s.shard_writes + journal + LIMIT_WRITES_PER_S
    )
    parts = [
        ("a lead's one core", s.member_cores + TEN * lead_cores, 1.0, "cores"),
        ("the store's writes", writes, STORE_WRITES_PER_S, "writes/s"),
        (
            "the store's reads",
            rows["store", "reads, each poll of a watch as one"],
            STORE_READS_PER_S,
            "reads/s",
        ),
    ]
    parts.sort(key=lambda part: part[1] / part[2], reverse=True)
    memory = rows["lead", "memory, whole process, a peak that lasts an hour"]
    lines = ["## At ten times the size", "", _TEN_TIMES]
    lines += [
        f"- {name}: {number(value)} of {number(limit)} {unit}"
        for name, value, limit, unit in parts
    ]
    grown = s.member_mib + TEN * (memory - s.member_mib)
    lines.append(f"- a lead's memory after an hour at the peak: {number(grown)} MiB")
    lines += ["", f"Of rates, {parts[0][0]} is the fullest and breaks first; a lead's"]
    lines += ["memory is over the limit of a node long before.", ""]
    return "\n".join(lines)


_HEAD = """# Capacity

Written by `make capacity` (`bench/capacity.py`), from slopes through cells of 30, 90
and 180 workers with 3, 6 and 9 daemons as real processes on one machine. Each cell is
measured without tasks, with services that run on, and under a load of single submits.
Other programs share the machine. Calls travel over loopback, so TCP, its packets and a
network's delay are left out. The stand-ins of the platform are Python programs as well;
what they use is not counted.

## Slopes

Cores are parts of one core; bytes count HTTP with its headers, both ways.
"""

_SIZE = """
## At the size to design for

650 workers, 59 starts a second, 7,500 running, 46 teams, 2 regions, 7 failure domains
with one shard each, 12 daemons, 1,800 changes of configuration a day. A lead has 93
workers, 1,071 running tasks and 8.4 starts a second.
"""

_NODES = """A node can be read in two ways. If it is an **entry VM**, the lines of
entry VM and the memory of member and lead count, and the limits are not kept. If it is
a **worker**, only the lines of the worker's link count, and the limit of bytes is kept:
nothing of the system runs there. Processor time and memory that the platform's own
program on a worker needs were not measured. Five of 12 entry VMs have no lead.
"""

_TEN_TIMES = """6,500 workers and 590 starts a second, with seven leads and 12 members
still. The journal's writes are bounded by its gathering: one each 60 ms, and one for
each 24 events, with three events a task.
"""

_TAIL = """## Which rates grow more slowly than the fleet

- Writes of the journal: events gather while a write is under way, for 60 ms or until
  24 wait, so a lead's writes rise ever more slowly with its starts (the slopes above).
- Reads and watches of the store, digests between daemons and copies of the
  configuration depend on members and shards, not on workers or tasks.
- Renewals and inventories grow with workers and running tasks, in step with the fleet,
  but never touch the store.
- Digests between daemons grow with the square of the members.

## Pools of a platform

The slopes above are those of cells without a platform; none were taken yet by growing
a cell with one. Single trial days of 680ce3f, an intermediate state, with 32 and 42
daemons and 176 workers, learned durations, marks of jobs and copies on, give these
parts of one core and memory peaks:

| Load | Daemon, mean | Busiest daemon | Memory |
|---|---|---|---|
| 690 to 950 jobs in 34 s, four days | 0.061 to 0.074 | 0.41 to 0.81 | 47 to 51 MB |
| some 1,400 jobs, two bursts, capacity short | 0.082 | 1.17 | 62 MB |

The busiest daemon leads a pool. Passes of the planner ask every worker for each waiting
step, so their cost grows with both.
"""
