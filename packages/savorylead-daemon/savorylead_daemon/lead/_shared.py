"""What the parts of one lead share."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.placement import Planner

from ._fleet import ShardFleet
from ._ledger import ShardLedger
from ._observer import LeadObserver
from ._offers import OfferSender
from ._pending_queue import PendingQueue
from ._placement_index import PlacementIndex
from ._run_care import RunCare
from ._waiting_room import WaitingRoom


class SharedParts(NamedTuple):
    """The state of one lead, by matter; each part changes only its own."""

    ledger: ShardLedger
    planner: Planner
    fleet: ShardFleet
    index: PlacementIndex
    queue: PendingQueue
    room: WaitingRoom
    care: RunCare
    offers: OfferSender
    clock: Clock
    observer: LeadObserver
    #: Has a planning round run soon.
    plan_soon: Callable[[], None]
