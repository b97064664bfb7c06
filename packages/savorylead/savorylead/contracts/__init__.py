"""What teams and the cell promise each other: identities, limits and shares."""

from ._identity import TaskId
from ._task import TaskKind, TaskSpec
from ._team_limits import (
    UNLIMITED,
    UNLIMITED_RESOURCES,
    GrantHolder,
    TeamLimits,
    limit_from_amounts,
)

__all__ = [
    "UNLIMITED",
    "UNLIMITED_RESOURCES",
    "GrantHolder",
    "TaskId",
    "TaskKind",
    "TaskSpec",
    "TeamLimits",
    "limit_from_amounts",
]
