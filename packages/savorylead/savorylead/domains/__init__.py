"""Regions, failure domains, shards, and who leads them."""

from ._domain import FailureDomain, Member, Shard
from ._rendezvous import rendezvous_order, rendezvous_owner, rendezvous_score

__all__ = [
    "FailureDomain",
    "Member",
    "Shard",
    "rendezvous_order",
    "rendezvous_owner",
    "rendezvous_score",
]
