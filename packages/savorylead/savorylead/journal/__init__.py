"""Durable journal of a shard's decisions in the platform's store."""

from ._codec import (
    JournalFormatError,
    ShardHead,
    SnapshotPointer,
)
from ._events import (
    Accepted,
    CancelRequested,
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
from ._layout import HEADS_PREFIX
from ._reader import (
    JournalBusyError,
    ReplayedShard,
    decode_heads,
    read_heads,
    replay_shard,
)
from ._ring_journal import RingJournal
from ._settings import AlreadyOpenError, AppendTooLargeError, JournalSettings
from ._state import Phase, ShardState, TaskRecord, UnknownTaskError

__all__ = [
    "HEADS_PREFIX",
    "Accepted",
    "AlreadyOpenError",
    "AppendTooLargeError",
    "CancelRequested",
    "DeposedError",
    "Ended",
    "EpochBegan",
    "Event",
    "Forgotten",
    "Journal",
    "JournalBusyError",
    "JournalError",
    "JournalFormatError",
    "JournalSettings",
    "Moved",
    "OfferDeclined",
    "Offered",
    "Phase",
    "Placed",
    "ReplayedShard",
    "RequeueReason",
    "Requeued",
    "Resigned",
    "RingJournal",
    "ShardHead",
    "ShardState",
    "SnapshotPointer",
    "TaskRecord",
    "Tombstoned",
    "UnknownTaskError",
    "decode_heads",
    "read_heads",
    "replay_shard",
]
