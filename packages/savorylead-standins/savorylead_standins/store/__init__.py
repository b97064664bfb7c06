"""A stand-in of the platform's key-value service."""

from ._memory_store import (
    CallFate,
    FaultPlan,
    MemoryStore,
    MemoryStoreClient,
    StoreCall,
)

__all__ = ["CallFate", "FaultPlan", "MemoryStore", "MemoryStoreClient", "StoreCall"]
