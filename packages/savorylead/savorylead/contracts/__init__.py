"""Task identities, task specifications and the upper limits of teams."""

from ._escrowed_limit import EscrowedLimit
from ._escrowed_limits import EscrowedLimits
from ._identity import TaskId
from ._limit_record import LimitRecord, ShardGrant, read_limit_records
from ._task import TaskKind, TaskSpec
from ._team_limits import (
    UNLIMITED,
    UNLIMITED_RESOURCES,
    GrantHolder,
    TeamLimits,
    limit_from_amounts,
)

__all__ = [
    "EscrowedLimit",
    "EscrowedLimits",
    "LimitRecord",
    "ShardGrant",
    "UNLIMITED",
    "UNLIMITED_RESOURCES",
    "GrantHolder",
    "TaskId",
    "TaskKind",
    "TaskSpec",
    "TeamLimits",
    "limit_from_amounts",
    "read_limit_records",
]
