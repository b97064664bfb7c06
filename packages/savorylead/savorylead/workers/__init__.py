"""Workers, what they hold, and the contract for running work on them."""

from ._contract import (
    Declined,
    Inventory,
    RunReport,
    RunState,
    StaleEpoch,
    StartAccepted,
    StartOrder,
    StartRefused,
    WorkerContract,
    WorkerError,
    WorkerTimeoutError,
    WorkerUnavailableError,
    WrongIncarnation,
)
from ._vm_list import VmEntry, VmList, VmListError
from ._worker import Worker, WorkerState

__all__ = [
    "Declined",
    "Inventory",
    "RunReport",
    "RunState",
    "StaleEpoch",
    "StartAccepted",
    "StartOrder",
    "StartRefused",
    "VmEntry",
    "VmList",
    "VmListError",
    "Worker",
    "WorkerContract",
    "WorkerError",
    "WorkerState",
    "WorkerTimeoutError",
    "WorkerUnavailableError",
    "WrongIncarnation",
]
