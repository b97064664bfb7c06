"""Stand-ins of processes that stop running for a while and go on."""

from ._config_cell import ConfigCell, ConfigDaemon, share_document
from ._coordination import (
    READS_PER_S,
    SHARDS,
    WRITES_PER_S,
    CoordinatedCell,
    CoordinatedDaemon,
)
from ._journal_cell import SMALL_JOURNAL, JournalCell, accepted_event
from ._pause import PausableClock, PausableStore, Pause

__all__ = [
    "READS_PER_S",
    "SHARDS",
    "SMALL_JOURNAL",
    "WRITES_PER_S",
    "ConfigCell",
    "ConfigDaemon",
    "CoordinatedCell",
    "CoordinatedDaemon",
    "JournalCell",
    "Pause",
    "PausableClock",
    "PausableStore",
    "accepted_event",
    "share_document",
]
