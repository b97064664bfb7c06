"""Leads a shard at one epoch: records, queue, workers and upper limits."""

from ._observer import LeadObserver
from ._offers import OfferedJob, OfferError, OfferRouter
from ._parts import CellPolicy, LeadParts
from ._periodic import CoalescedCall, Periodic
from ._shard_lead import ShardLead
from ._times import LeadTimes
from ._views import ABSENT_PHASE, view_job

__all__ = [
    "ABSENT_PHASE",
    "CellPolicy",
    "CoalescedCall",
    "LeadObserver",
    "LeadParts",
    "LeadTimes",
    "OfferError",
    "OfferRouter",
    "OfferedJob",
    "Periodic",
    "ShardLead",
    "view_job",
]
