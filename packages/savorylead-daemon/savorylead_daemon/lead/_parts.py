"""What a lead is made of and what it follows."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from savorylead.admission import WorkClass
from savorylead.clock import Clock
from savorylead.contracts import GrantHolder, TeamLimits
from savorylead.journal import Journal
from savorylead.placement import Planner, Policy
from savorylead.resources import Resources
from savorylead.workers import VmList, WorkerContract

from ._observer import LeadObserver
from ._offers import OfferRouter
from ._times import LeadTimes


class CellPolicy(NamedTuple):
    """What the configuration in force says to a lead."""

    revision: int
    policy: Policy
    #: Weight by team.
    shares: Mapping[str, float]
    #: Fleet-wide upper limit by team.
    limits: Mapping[str, Resources]
    #: Most tasks that may wait in one shard, by queue.
    max_waiting: Mapping[str, int]


class LeadParts(NamedTuple):
    """What the composition root gives to each lead."""

    journal: Journal
    planner: Planner
    contract: WorkerContract
    vm_list: VmList
    router: OfferRouter
    clock: Clock
    rng: random.Random
    times: LeadTimes
    observer: LeadObserver
    #: Opens the upper limits for a lead of the shard at an epoch.
    open_limits: Callable[[str, int, GrantHolder], TeamLimits]
    #: Whether leases may be renewed although the epoch is not proved, since no other
    #: lead can take a silent worker for lost now.
    bridges_outage: Callable[[], bool]
    #: For how long most daemons of the region have seen the store up.
    store_seen_for: Callable[[], timedelta]
    #: Most jobs of each class that may wait in the shard.
    waiting_bounds: Mapping[WorkClass, int]
