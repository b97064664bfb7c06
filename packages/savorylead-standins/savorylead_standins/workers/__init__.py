"""Stand-ins of the platform's workers."""

from ._memory_worker import Execution, MemoryWorker

__all__ = ["Execution", "MemoryWorker"]
