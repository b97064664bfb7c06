"""Stand-ins of a platform's store, workers and adviser, and whole cells of nodes."""

from ._memory_adviser import MemoryAdviser
from ._memory_cell_store import MemoryCellStore, StoreView
from ._memory_workers import MemoryMachine, MemoryWorkers, RunRecord
from ._pool_cell import PoolCell, job_spec

__all__ = [
    "MemoryAdviser",
    "MemoryCellStore",
    "MemoryMachine",
    "MemoryWorkers",
    "PoolCell",
    "RunRecord",
    "StoreView",
    "job_spec",
]
