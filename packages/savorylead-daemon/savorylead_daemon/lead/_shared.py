"""Components that are shared within one lead."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.placement import Planner

from ._admission_control import AdmissionControl
from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._observer import LeadObserver
from ._offers import OfferSender
from ._pending_queue import PendingQueue
from ._placement_index import PlacementIndex
from ._run_monitor import RunMonitor


class SharedParts(NamedTuple):
    """The components that hold a lead's state; each changes only its own state."""

    ledger: ShardLedger
    planner: Planner
    fleet: ShardFleet
    index: PlacementIndex
    queue: PendingQueue
    admission: AdmissionControl
    monitor: RunMonitor
    offers: OfferSender
    clock: Clock
    observer: LeadObserver
    #: Schedules a planning round.
    plan_soon: Callable[[], None]
