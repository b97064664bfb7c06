"""What each role needs at the size to design for, by formula."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from bench.capacity import Slopes

#: The size to design for.
WORKERS = 650
STARTS_PER_S = 59
RUNNING = 7_500
TEAMS = 46
SHARDS = 7
#: Six entry VMs for each of two regions.
MEMBERS = 12
CHANGES_PER_DAY = 1_800
JOBS_PER_DAY = 12_000
DAY_S = 86_400
#: Ended tasks are known for this long (LeadTimes.retention).
RETENTION_S = 3_600
#: The limits of a node's control.
NODE_CORES = 0.013
NODE_MIB = 32.0
NODE_BYTES_PER_S = 6_000.0
#: Several hundred writes and two thousand reads a second.
STORE_WRITES_PER_S = 400.0
STORE_READS_PER_S = 2_000.0
#: Writes of the journal: least time between two, and events that go at once.
GATHER_S = 0.06
GATHER_EVENTS = 24
#: Accepted, placed and ended.
EVENTS_PER_START = 3
TEN = 10
#: Most writes of upper limits a second by one lead (EscrowedLimits).
LIMIT_WRITES_PER_S = 6.0
#: One list of wants every 2 s and one of records every 4 s (EscrowedLimits).
LIMIT_READS_PER_S = 0.75


class Row(NamedTuple):
    """One line of the page."""

    role: str
    what: str
    formula: str
    value: float
    unit: str
    #: None if no limit is given for it.
    limit: float | None
    mechanism: str

    def verdict(self) -> str:
        """Return whether the value keeps the limit."""
        if self.limit is None:
            return ""
        if self.value <= self.limit:
            return f"within {number(self.limit)}"
        return f"**over {number(self.limit)}**"


def rows_of(s: Slopes) -> list[Row]:
    """Return what each role needs at the size to design for."""
    w, r = WORKERS / SHARDS, RUNNING / SHARDS
    starts, submits = STARTS_PER_S / SHARDS, STARTS_PER_S / MEMBERS
    peak_tasks = r + starts * RETENTION_S
    day_tasks = r + JOBS_PER_DAY / DAY_S * RETENTION_S / SHARDS
    peers = MEMBERS - 1
    document = s.document_bytes + s.document_bytes_per_team * TEAMS
    changes = CHANGES_PER_DAY / DAY_S
    member_bytes = s.member_store_bytes + s.peer_bytes * peers + changes * document
    lead_bytes = s.worker_link_bytes * w + s.running_bytes * r + s.start_bytes * starts
    lead_cores = (
        s.worker_cores * w + s.running_cores * r + s.lead_core_s_per_start * starts
    )
    writes = lead_writes_at(s, starts)
    mib = s.member_mib
    without_lead = s.member_cores + s.gateway_core_s_per_task * submits
    return [
        Row(
            "entry VM without a lead",
            "processor",
            "member + gateway",
            without_lead,
            "cores",
            NODE_CORES,
            "Daemon",
        ),
        Row(
            "entry VM without a lead",
            "control bytes",
            "member",
            member_bytes,
            "B/s",
            NODE_BYTES_PER_S,
            "Daemon",
        ),
        Row(
            "entry VM with a lead",
            "processor",
            "member + gateway + lead",
            without_lead + lead_cores,
            "cores",
            NODE_CORES,
            "Daemon",
        ),
        Row(
            "entry VM with a lead",
            "control bytes",
            "member + lead",
            member_bytes + lead_bytes,
            "B/s",
            NODE_BYTES_PER_S,
            "Daemon",
        ),
        Row(
            "gateway",
            "processor",
            f"{number(s.gateway_core_s_per_task)} core-s x 59/12 submits/s",
            s.gateway_core_s_per_task * submits,
            "cores",
            None,
            "CallerGateway, JsonSite",
        ),
        Row(
            "gateway",
            "bytes, callers",
            f"{number(s.gateway_bytes_per_task)} B x 59/12 submits/s",
            s.gateway_bytes_per_task * submits,
            "B/s",
            None,
            "JsonSite (work, not control)",
        ),
        Row(
            "member",
            "processor",
            "of an idle daemon without a lead",
            s.member_cores,
            "cores",
            None,
            "Membership, InForceConfig, DigestPoller",
        ),
        Row(
            "member",
            "memory",
            "of an idle daemon without a lead",
            mib,
            "MiB",
            NODE_MIB,
            "interpreter and libraries",
        ),
        Row(
            "member",
            "bytes",
            f"{number(s.member_store_bytes)} to the store + "
            f"{number(s.peer_bytes)} x 11 peers + 1800/day x {document:.0f} B",
            member_bytes,
            "B/s",
            None,
            "PollingWatch, DigestPoller, ConfigEditor",
        ),
        Row(
            "lead",
            "state",
            "1071 running + 8.4/s x 3600 s kept",
            peak_tasks,
            "tasks",
            None,
            "ShardState, RetentionSweep",
        ),
        Row(
            "lead",
            "processor, on top of the member's",
            f"{number(s.worker_cores)} x 93 workers + {number(s.running_cores)} x "
            f"1071 running + {number(s.lead_core_s_per_start)} x 8.4 starts/s",
            lead_cores,
            "cores",
            None,
            "ShardLead, WorkerSession, IndexedPlanner",
        ),
        Row(
            "lead",
            "memory, whole process, a peak that lasts an hour",
            f"{number(mib)} + {number(s.worker_mib)} x 93 + "
            f"{number(s.task_mib)} x {peak_tasks:.0f} tasks",
            mib + s.worker_mib * w + s.task_mib * peak_tasks,
            "MiB",
            NODE_MIB,
            "ShardState, IndexedPlanner",
        ),
        Row(
            "lead",
            "memory, whole process, 12,000 jobs spread over the day",
            f"{number(mib)} + {number(s.worker_mib)} x 93 + "
            f"{number(s.task_mib)} x {day_tasks:.0f} tasks",
            mib + s.worker_mib * w + s.task_mib * day_tasks,
            "MiB",
            NODE_MIB,
            "ShardState, IndexedPlanner",
        ),
        Row(
            "lead",
            "bytes to its workers",
            f"{number(s.worker_link_bytes)} x 93 workers + "
            f"{number(s.running_bytes)} x 1071 running + "
            f"{number(s.start_bytes)} x 8.4 starts/s",
            lead_bytes,
            "B/s",
            None,
            "HttpWorkerContract",
        ),
        Row(
            "worker's link",
            "bytes at one worker",
            "those of a lead / 93",
            lead_bytes / w,
            "B/s",
            NODE_BYTES_PER_S,
            "WorkerSession, HttpWorkerContract",
        ),
        Row(
            "worker's link",
            "messages at one worker",
            "1/5 s renewals + 59/650 x (start, report, release)",
            1 / 5 + 3 * STARTS_PER_S / WORKERS,
            "calls/s",
            None,
            "WorkerSession",
        ),
        Row(
            "store",
            "writes",
            f"{number(s.member_writes)} x 12 members + ({number(s.shard_writes)} + "
            f"{number(writes)} of the journal + at most 6 of limits) x 7 leads",
            MEMBERS * s.member_writes
            + SHARDS * (s.shard_writes + writes + LIMIT_WRITES_PER_S),
            "writes/s",
            STORE_WRITES_PER_S,
            "RingJournal, Membership, EscrowedLimits",
        ),
        Row(
            "store",
            "reads, each poll of a watch as one",
            f"{number(s.member_reads + s.member_watches)} x 12 members + "
            f"({number(s.shard_reads + s.shard_watches)} + 0.75 of limits) x 7 leads "
            "+ 1800/day x 12",
            MEMBERS * (s.member_reads + s.member_watches)
            + SHARDS * (s.shard_reads + s.shard_watches + LIMIT_READS_PER_S)
            + changes * MEMBERS,
            "reads/s",
            STORE_READS_PER_S,
            "InForceConfig, LeadDirectory, Membership, EscrowedLimits",
        ),
        Row(
            "operator",
            "the configuration",
            f"{number(s.document_bytes)} + "
            f"{number(s.document_bytes_per_team)} x 46 teams",
            document,
            "B",
            1_000_000,
            "ConfigEditor, one compare-and-swap",
        ),
        Row(
            "operator",
            "its copies to all members",
            f"1800/day x {document:.0f} B x 12",
            changes * document * MEMBERS,
            "B/s",
            None,
            "InForceConfig",
        ),
    ]


def lead_writes_at(s: Slopes, starts_per_s: float) -> float:
    """Return the journal's writes a second between the measured rates."""
    points = [(0.0, 0.0), *s.lead_writes]
    for (x0, y0), (x1, y1) in zip(points, points[1:], strict=False):
        if starts_per_s <= x1:
            return y0 + (y1 - y0) * (starts_per_s - x0) / (x1 - x0)
    return points[-1][1]


def number(value: float) -> str:
    """Return three digits, or whole thousands."""
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"
