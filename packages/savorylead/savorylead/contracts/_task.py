"""Specifications of tasks."""

from __future__ import annotations

import enum
from typing import NamedTuple

from savorylead.resources import Resources

from ._identity import TaskId


class TaskKind(enum.StrEnum):
    """Kind of a task; selects the placement policy."""

    #: Runs until it is cancelled; spread over racks.
    SERVICE = "service"
    #: Runs to completion; packed tightly.
    BATCH = "batch"
    #: One of several members that start together or not at all.
    ALL_AT_ONCE = "all_at_once"


class TaskSpec(NamedTuple):
    """One task as accepted; immutable."""

    id: TaskId
    kind: TaskKind
    resources: Resources
    queue: str
    #: Whether another attempt is allowed once the first has provably ended.
    repeatable: bool = True
    #: Urgent tasks may checkpoint batch tasks to free capacity.
    urgent: bool = False
    #: Declared run time in milliseconds; 0 when not declared.
    run_time_ms: int = 0
    #: Unix time in milliseconds by which the task must start; 0 for no deadline.
    start_by_ms: int = 0
    #: Number of members of an all-at-once job; 1 for every other task.
    members: int = 1
    #: Opaque to the scheduler; handed to the worker.
    payload: str = ""
