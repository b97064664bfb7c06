"""How a shard's decisions become durable in the platform's store."""

from ._events import (
    Accepted,
    CancelAsked,
    Ended,
    EpochBegan,
    Event,
    Forgotten,
    Moved,
    OfferDeclined,
    Offered,
    Placed,
    Requeued,
    RequeueReason,
    Resigned,
    Tombstoned,
)
from ._journal import DeposedError, Journal, JournalError
from ._state import Phase, ShardState, TaskRecord, UnknownTaskError

__all__ = [
    "Accepted",
    "CancelAsked",
    "DeposedError",
    "Ended",
    "EpochBegan",
    "Event",
    "Forgotten",
    "Journal",
    "JournalError",
    "Moved",
    "OfferDeclined",
    "Offered",
    "Phase",
    "Placed",
    "RequeueReason",
    "Requeued",
    "Resigned",
    "ShardState",
    "TaskRecord",
    "Tombstoned",
    "UnknownTaskError",
]
