"""Stand-ins of the platform's workers and of its list of VMs."""

from ._memory_vm_list import MemoryVmList
from ._memory_worker import Execution, MemoryWorker

__all__ = ["Execution", "MemoryVmList", "MemoryWorker"]
