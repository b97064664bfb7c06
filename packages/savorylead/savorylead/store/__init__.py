"""The platform's key-value service as an interface."""

from ._backoff import Backoff
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

__all__ = [
    "ABSENT",
    "Backoff",
    "MAX_VALUE_BYTES",
    "KeyValue",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreLeaseLostError",
    "StoreTimeoutError",
    "StoreUnavailableError",
    "SwapConflict",
    "Swapped",
    "Watch",
]
