"""Stand-ins of a platform's store, workers and adviser, and whole cells of nodes."""

from ._memory_adviser import (
    MAX_NAMED_WORKERS,
    MemoryAdviser,
    TicketIssuer,
    policy_allows,
)
from ._memory_cell_store import MemoryCellStore, StoreView
from ._memory_machine import MemoryMachine
from ._memory_workers import MemoryWorkers, RunRecord
from ._pool_cell import PoolCell, in_turn, job_spec

__all__ = [
    "MAX_NAMED_WORKERS",
    "MemoryAdviser",
    "MemoryCellStore",
    "MemoryMachine",
    "MemoryWorkers",
    "PoolCell",
    "RunRecord",
    "StoreView",
    "TicketIssuer",
    "in_turn",
    "job_spec",
    "policy_allows",
]
