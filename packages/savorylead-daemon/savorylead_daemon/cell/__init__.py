"""What one daemon knows of the cell, and how it reaches the leads of shards."""

from ._directory import KnownDigest, ShardDirectory
from ._message_handler import MessageHandler
from ._offer_router import PeerOfferRouter
from ._router import NoLeadError, ShardRouter

__all__ = [
    "KnownDigest",
    "MessageHandler",
    "NoLeadError",
    "PeerOfferRouter",
    "ShardDirectory",
    "ShardRouter",
]
