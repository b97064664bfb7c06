"""A daemon's view of the cell, and its requests to the leads of shards."""

from ._cell_config import (
    ConfigConfirmation,
    ConfigKeyVerifier,
    ConfigRevisions,
    StoredConfigAdmin,
    age_ms,
)
from ._cell_policy import fleet_usage_outside, policy_of, shards_of
from ._config_access import ConfigAdmin, KeyVerifier, TeamKey
from ._digest_poller import DigestPoller, DigestTimes
from ._directory import KnownDigest, ShardDirectory
from ._lead_supervisor import LeadDuty, LeadSupervisor
from ._message_handler import MessageHandler, StoreAges
from ._observed_store import ObservedStore
from ._offer_router import PeerOfferRouter
from ._outage_lease_renewer import OutageLeaseRenewer
from ._region_duty import AssignedLeadDuty
from ._region_quorum import RegionQuorum
from ._router import NoLeadError, ShardRouter

__all__ = [
    "AssignedLeadDuty",
    "ConfigAdmin",
    "ConfigConfirmation",
    "ConfigKeyVerifier",
    "ConfigRevisions",
    "DigestPoller",
    "DigestTimes",
    "KeyVerifier",
    "KnownDigest",
    "LeadDuty",
    "LeadSupervisor",
    "MessageHandler",
    "NoLeadError",
    "ObservedStore",
    "OutageLeaseRenewer",
    "PeerOfferRouter",
    "RegionQuorum",
    "ShardDirectory",
    "ShardRouter",
    "StoreAges",
    "StoredConfigAdmin",
    "TeamKey",
    "age_ms",
    "fleet_usage_outside",
    "policy_of",
    "shards_of",
]
