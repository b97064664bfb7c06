"""Dependencies of a pool's lead."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.pools import AdviceSlots, CellStore, SchedulingPolicy, WorkerCalls
from savorylead_daemon.observability import EventLog

from ._advice_caller import CallAdviser
from ._cell_lease import CellLease
from ._copy_counts import CopyCounts
from ._crash_tracker import CrashCounts


class LeadParts(NamedTuple):
    """Dependencies that a pool's lead is constructed with."""

    store: CellStore
    clock: Clock
    log: EventLog
    calls: WorkerCalls
    ask_adviser: CallAdviser
    #: Returns how many calls for advice may be made now.
    advice_slots: Callable[[], AdviceSlots]
    lease: CellLease
    #: How long the states of ended jobs stay available, in milliseconds.
    status_for_ms: int
    #: Workers shorten longer leases to this, in milliseconds.
    max_worker_lease_ms: int
    #: Called with a pool that this daemon cannot lead, and the reason.
    on_cannot_lead: Callable[[str, str], None]
    #: Returns whether a pool has a lead according to this daemon's view of the cell.
    has_lead: Callable[[str], bool]
    #: Returns whether every daemon marks a lease that it ends for its holder.
    all_mark_ended_leases: Callable[[], bool]
    #: Counts crashes of workers; outlives the lead.
    crash_counts: CrashCounts
    #: Counts copies of late tasks; outlives the lead.
    copy_counts: CopyCounts
    #: Counts what became of start orders without an answer, by pool and event; outlives
    #: the lead.
    unanswered_starts: Counter[tuple[str, str]]
    #: Notifies the other pools' leads that the teams' limit grants have changed.
    on_grants_written: Callable[[str], None]
    policy: SchedulingPolicy
