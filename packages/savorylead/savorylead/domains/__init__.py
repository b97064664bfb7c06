"""Failure domains and shards, the membership of daemons and shard leadership."""

from ._domain import FailureDomain, Member, Shard
from ._lead_assignment import (
    LeadAssignment,
    LeadSteps,
    assign_leads,
    next_lead_steps,
)
from ._lead_directory import LeadDirectory
from ._member_record import (
    MEMBERS_PREFIX,
    MemberFormatError,
    MemberRecord,
)
from ._membership import MemberList, Membership, MembershipSettings
from ._registration import Registration, RegistrationSettings
from ._rendezvous import rendezvous_order, rendezvous_owner, rendezvous_score

__all__ = [
    "MEMBERS_PREFIX",
    "FailureDomain",
    "LeadAssignment",
    "LeadDirectory",
    "LeadSteps",
    "Member",
    "MemberFormatError",
    "MemberList",
    "MemberRecord",
    "Membership",
    "MembershipSettings",
    "Registration",
    "RegistrationSettings",
    "Shard",
    "assign_leads",
    "next_lead_steps",
    "rendezvous_order",
    "rendezvous_owner",
    "rendezvous_score",
]
