"""Observability of a daemon: JSON log lines, metrics and readiness."""

from ._event_log import EventLog, LogSubject, configure_logging, set_log_level
from ._log_stream import LogStream
from ._metrics import Metrics, escape_label
from ._readiness import Readiness, ReadinessObserver, log_readiness
from ._wait_histogram import WaitStage

__all__ = [
    "EventLog",
    "LogStream",
    "LogSubject",
    "Metrics",
    "Readiness",
    "ReadinessObserver",
    "WaitStage",
    "configure_logging",
    "log_readiness",
    "escape_label",
    "set_log_level",
]
