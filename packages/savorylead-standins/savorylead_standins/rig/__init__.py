"""Real processes on loopback, and callers that reach them over HTTP."""

from ._command import run_from_command_line
from ._http_caller import CallFailedError, HttpCaller
from ._processes import (
    HOST,
    CellProcesses,
    Child,
    ChildError,
    free_port,
    run_with_timeout,
)
from ._real_cell import DaemonPlace, RealCell
from ._recorder import CallRecorder
from ._run_report import RunReport
from ._task_drafts import TaskDrafts, WorkPlace

__all__ = [
    "HOST",
    "CallFailedError",
    "CallRecorder",
    "CellProcesses",
    "Child",
    "ChildError",
    "DaemonPlace",
    "HttpCaller",
    "RealCell",
    "RunReport",
    "TaskDrafts",
    "WorkPlace",
    "run_with_timeout",
    "free_port",
    "run_from_command_line",
]
