"""Real processes on loopback, and callers that reach them over HTTP."""

from ._http_caller import CallFailedError, HttpCaller
from ._processes import HOST, CellProcesses, Child, ChildError
from ._recorder import CallRecorder

__all__ = [
    "HOST",
    "CallFailedError",
    "CallRecorder",
    "CellProcesses",
    "Child",
    "ChildError",
    "HttpCaller",
]
