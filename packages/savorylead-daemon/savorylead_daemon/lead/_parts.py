"""Dependencies and configuration of a lead."""

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
    """The part of the current configuration that leads use."""

    revision: int
    policy: Policy
    #: Weight by team.
    shares: Mapping[str, float]
    #: Fleet-wide upper limit by team.
    limits: Mapping[str, Resources]
    #: Maximum number of pending tasks in one shard, by queue.
    max_waiting: Mapping[str, int]


class LeadParts(NamedTuple):
    """Dependencies that the composition root provides to each lead."""

    journal: Journal
    planner: Planner
    contract: WorkerContract
    vm_list: VmList
    router: OfferRouter
    clock: Clock
    rng: random.Random
    times: LeadTimes
    observer: LeadObserver
    #: Opens the upper limits of teams for the lead of a shard at an epoch.
    open_limits: Callable[[str, int, GrantHolder], TeamLimits]
    #: Whether leases may be renewed without proof of the epoch, since no other lead
    #: can declare an unresponsive worker lost at present.
    bridges_outage: Callable[[], bool]
    #: How long a majority of the region's daemons have been able to reach the store.
    store_reachable_for: Callable[[], timedelta]
    #: Maximum number of pending jobs in the shard, by class.
    waiting_bounds: Mapping[WorkClass, int]
