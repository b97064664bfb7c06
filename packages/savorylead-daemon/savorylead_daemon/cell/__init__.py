"""A daemon's view of the cell, and its requests to the leads of shards."""

from ._caretaker import Caretaker
from ._cell_config import (
    ConfigConfirmation,
    ConfigDoorkeeper,
    ConfigOperatorDesk,
    ConfigRevisions,
    age_ms,
)
from ._cell_policy import fleet_beside, policy_of, shards_of
from ._digest_poller import DigestPoller, DigestTimes
from ._directory import KnownDigest, ShardDirectory
from ._doors import ConfigDesk, Doorkeeper, TeamKey
from ._lead_supervisor import LeadDuty, LeadSupervisor
from ._message_handler import MessageHandler, StoreSight
from ._observed_store import ObservedStore
from ._offer_router import PeerOfferRouter
from ._region_duty import AssignedLeadDuty
from ._region_quorum import RegionQuorum
from ._router import NoLeadError, ShardRouter

__all__ = [
    "AssignedLeadDuty",
    "Caretaker",
    "ConfigConfirmation",
    "ConfigDesk",
    "ConfigDoorkeeper",
    "ConfigOperatorDesk",
    "ConfigRevisions",
    "DigestPoller",
    "DigestTimes",
    "Doorkeeper",
    "KnownDigest",
    "LeadDuty",
    "LeadSupervisor",
    "MessageHandler",
    "NoLeadError",
    "ObservedStore",
    "PeerOfferRouter",
    "RegionQuorum",
    "ShardDirectory",
    "ShardRouter",
    "StoreSight",
    "TeamKey",
    "age_ms",
    "fleet_beside",
    "policy_of",
    "shards_of",
]
