"""A stand-in of the platform's key-value service."""

from ._change_log import ChangeLog, Changes
from ._memory_store import (
    CallFate,
    FaultPlan,
    MemoryStore,
    MemoryStoreClient,
    StoreCall,
)

__all__ = [
    "CallFate",
    "ChangeLog",
    "Changes",
    "FaultPlan",
    "MemoryStore",
    "MemoryStoreClient",
    "StoreCall",
]
