"""The service interface for callers, independent of HTTP."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Literal, NamedTuple, NotRequired, TypedDict

from savorylead.config import ResourcesDocument
from savorylead.contracts import TaskId
from savorylead.outcomes import NotRun, Outcome, Refusal, Unknown


class TaskDocument(TypedDict):
    """One task as a caller submits it."""

    #: Unique within the workspace; repeating it with equal fields is idempotent.
    request: str
    workspace: str
    queue: str
    kind: Literal["service", "batch", "all_at_once"]
    resources: ResourcesDocument
    #: Must be the team of the key if present.
    team: NotRequired[str]
    repeatable: NotRequired[bool]
    urgent: NotRequired[bool]
    run_time_s: NotRequired[float]
    #: Seconds after the submit from which the task must no longer start.
    start_within_s: NotRequired[float]
    #: Number of members; only for all_at_once.
    members: NotRequired[int]
    payload: NotRequired[str]


class RequestName(NamedTuple):
    """Identifies a task within the team of the key."""

    workspace: str
    request: str


@dataclass(frozen=True)
class Admitted:
    """The task is durably accepted, now or by an earlier submit."""

    task: TaskId


#: The reply to one submitted task.
SubmitReply = Admitted | NotRun | Unknown


class TaskView(NamedTuple):
    """One task as callers and operators see it."""

    task: TaskId
    #: A value of savorylead.journal.Phase, or "absent".
    phase: str
    shard: str
    worker: str
    attempt: int
    #: Unix time in milliseconds; 0 when absent.
    accepted_at_ms: int
    #: None until the final outcome is known.
    outcome: Outcome | None


class TaskPage(NamedTuple):
    """One page of a list of tasks."""

    tasks: tuple[TaskView, ...]
    #: Cursor of the next page; empty on the last page.
    next_after: str


class RefusedError(Exception):
    """The call was refused as a whole and nothing was accepted."""

    def __init__(self, reason: Refusal, detail: str = "", path: str = "$") -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail
        #: JSON path of the invalid field.
        self.path = path


class CallerService(ABC):
    """Submits, lists and cancels tasks of a key's team, and returns their answers.

    ``key`` is the text of the caller's key. Every method may raise RefusedError.
    """

    @abstractmethod
    async def submit(
        self, key: str, tasks: Sequence[TaskDocument]
    ) -> list[SubmitReply]:
        """Accept tasks; return one reply per task.

        Admitted means durably accepted, NotRun that it is proved not to run.
        """

    @abstractmethod
    async def answers(
        self, key: str, requests: Sequence[RequestName], wait: timedelta
    ) -> list[TaskView]:
        """Return tasks, waiting up to ``wait`` until one of them has an outcome."""

    @abstractmethod
    async def cancel(self, key: str, requests: Sequence[RequestName]) -> list[TaskView]:
        """Cancel tasks; a tombstone is recorded for each unknown task."""

    @abstractmethod
    async def list_tasks(
        self, key: str, workspace: str, phase: str, limit: int, after: str
    ) -> TaskPage:
        """Return a page of a workspace's tasks, sorted by id, after the id ``after``.

        An empty ``phase`` means all.
        """
