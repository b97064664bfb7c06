"""Admission control: queue bounds per work class, refusals, and retry hints."""

from ._admission_queue import (
    AdmissionQueue,
    FairAdmissionQueue,
    Refused,
    WaitingWork,
    WorkClass,
    work_class,
)
from ._drain_rate import DrainRate
from ._retry_hints import RetryHints

__all__ = [
    "AdmissionQueue",
    "DrainRate",
    "FairAdmissionQueue",
    "Refused",
    "RetryHints",
    "WaitingWork",
    "WorkClass",
    "work_class",
]
