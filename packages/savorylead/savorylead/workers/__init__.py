"""Workers: the contract for running tasks on them, their health and usage."""

from ._attempt_budget import AttemptBudget, AttemptsExhausted
from ._contract import (
    MAX_RESULT_CHARS,
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
from ._estimates import Estimate, UsageEstimator
from ._overrun import (
    CheckpointMemory,
    MostSeverePolicy,
    OverrunAction,
    OverrunPolicy,
    OverrunWatch,
    RunningUsage,
    StopRunTime,
    ThrottleCores,
)
from ._quantiles import QuantileSketch
from ._vm_list import VmEntry, VmList, VmListError
from ._worker import Worker, WorkerState
from ._worker_health import HealthState, WorkerHealth

__all__ = [
    "MAX_RESULT_CHARS",
    "AttemptBudget",
    "AttemptsExhausted",
    "CheckpointMemory",
    "Declined",
    "Estimate",
    "MostSeverePolicy",
    "HealthState",
    "Inventory",
    "OverrunAction",
    "OverrunPolicy",
    "OverrunWatch",
    "QuantileSketch",
    "RunReport",
    "RunState",
    "RunningUsage",
    "StaleEpoch",
    "StartAccepted",
    "StartOrder",
    "StartRefused",
    "StopRunTime",
    "ThrottleCores",
    "UsageEstimator",
    "VmEntry",
    "VmList",
    "VmListError",
    "Worker",
    "WorkerContract",
    "WorkerError",
    "WorkerHealth",
    "WorkerState",
    "WorkerTimeoutError",
    "WorkerUnavailableError",
    "WrongIncarnation",
]
