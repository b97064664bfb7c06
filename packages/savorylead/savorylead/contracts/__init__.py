"""What teams and the cell promise each other: identities, limits and shares."""

from ._identity import TaskId
from ._task import TaskKind, TaskSpec

__all__ = ["TaskId", "TaskKind", "TaskSpec"]
