"""Service interfaces for callers and operators, independent of HTTP."""

from ._callers import (
    Admitted,
    CallerService,
    RefusedError,
    RequestName,
    SubmitReply,
    TaskDocument,
    TaskPage,
    TaskView,
)
from ._operators import (
    ConfigApplied,
    ConfigConflict,
    ConfigFault,
    ConfigRejected,
    ConfigView,
    MemberView,
    OperatorService,
    ShardView,
    TeamView,
    WorkerView,
)

__all__ = [
    "Admitted",
    "CallerService",
    "ConfigApplied",
    "ConfigConflict",
    "ConfigFault",
    "ConfigRejected",
    "ConfigView",
    "MemberView",
    "OperatorService",
    "RefusedError",
    "RequestName",
    "ShardView",
    "SubmitReply",
    "TaskDocument",
    "TaskPage",
    "TaskView",
    "TeamView",
    "WorkerView",
]
