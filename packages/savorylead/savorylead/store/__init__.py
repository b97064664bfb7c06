"""The platform's key-value service as an interface."""

from ._retry import RetryPauses, RetryPolicy
from ._store import (
    ABSENT,
    MAX_VALUE_BYTES,
    KeyValue,
    Snapshot,
    Store,
    StoreError,
    StoreLeaseLostError,
    StoreTimeoutError,
    StoreUnavailableError,
    SwapConflict,
    Swapped,
    Watch,
)
from ._watched_prefix import WatchedPrefix, WatchSettings

__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "KeyValue",
    "RetryPauses",
    "RetryPolicy",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreLeaseLostError",
    "StoreTimeoutError",
    "StoreUnavailableError",
    "SwapConflict",
    "Swapped",
    "Watch",
    "WatchSettings",
    "WatchedPrefix",
]
