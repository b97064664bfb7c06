"""What the lead of a pool is built from."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.pools import AdviceSlots, CellStore, WorkerCalls
from savorylead_daemon.observability import EventLog

from ._advice_asker import AskAdviser
from ._cell_lease import CellLease


class LeadParts(NamedTuple):
    """What a lead is built from."""

    store: CellStore
    clock: Clock
    log: EventLog
    calls: WorkerCalls
    ask_adviser: AskAdviser
    #: Returns the calls for advice that may be made now.
    advice_slots: Callable[[], AdviceSlots]
    lease: CellLease
    #: How long states of ended jobs are told, in milliseconds.
    status_for_ms: int
    #: Takes note of the pool that this daemon can't serve, and why.
    on_unable: Callable[[str, str], None]
    #: Returns whether a pool has a lead, as far as is known here.
    has_lead: Callable[[str], bool]
    #: Tells the other leads that they should look at the teams' limits.
    on_grants_written: Callable[[str], None]
