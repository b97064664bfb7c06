"""Observability of a daemon: JSON log lines, metrics and readiness."""

from ._event_log import EventLog, LogSubject, configure_logging, set_log_level
from ._log_stream import LogStream
from ._metrics import Metrics, escape_label
from ._readiness import Readiness
from ._wait_histogram import WaitStage

__all__ = [
    "EventLog",
    "LogStream",
    "LogSubject",
    "Metrics",
    "Readiness",
    "WaitStage",
    "configure_logging",
    "escape_label",
    "set_log_level",
]
