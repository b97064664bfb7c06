"""Converts callers' task documents into task specs."""

from __future__ import annotations

from collections.abc import Sequence

from savorylead.config import CellDocument, ResourcesDocument
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.outcomes import Refusal
from savorylead.resources import Resources
from savorylead_daemon.services import RefusedError, TaskDocument

#: Slots of a task whose document states none.
DEFAULT_SLOTS = 1


class SpecBuilder:
    """Builds the specs of one call, or refuses the whole call."""

    def __init__(self, document: CellDocument, team: str, now_ms: int) -> None:
        self._document = document
        self._team = team
        self._now_ms = now_ms

    def build(self, tasks: Sequence[TaskDocument]) -> list[list[TaskSpec]]:
        """Return the members of each job; raises RefusedError."""
        names: set[tuple[str, str]] = set()
        jobs = []
        for index, task in enumerate(tasks):
            path = f"$[{index}]"
            self._check(task, path)
            name = (task["workspace"], task["request"])
            if name in names:
                detail = "the request is twice in one call"
                raise RefusedError(Refusal.BAD_REQUEST, detail, f"{path}.request")
            names.add(name)
            jobs.append(self._members(task))
        return jobs

    def _check(self, task: TaskDocument, path: str) -> None:
        if task.get("team", self._team) != self._team:
            detail = "the key belongs to another team"
            raise RefusedError(Refusal.WRONG_TEAM, detail, f"{path}.team")
        workspace = f"{self._team}/{task['workspace']}"
        if workspace not in self._document["workspaces"]:
            raise RefusedError(
                Refusal.UNKNOWN_WORKSPACE, workspace, f"{path}.workspace"
            )
        self._check_queue(task["queue"], f"{path}.queue")
        if task["kind"] != TaskKind.ALL_AT_ONCE and task.get("members", 1) != 1:
            detail = "only all_at_once jobs have members"
            raise RefusedError(Refusal.BAD_REQUEST, detail, f"{path}.members")

    def _check_queue(self, name: str, path: str) -> None:
        queue = self._document["queues"].get(name)
        if queue is None:
            raise RefusedError(Refusal.UNKNOWN_QUEUE, name, path)
        if not queue["open"] and self._team not in queue["teams"]:
            raise RefusedError(Refusal.QUEUE_CLOSED, name, path)

    def _members(self, task: TaskDocument) -> list[TaskSpec]:
        first = TaskSpec(
            id=TaskId(self._team, task["workspace"], task["request"]),
            kind=TaskKind(task["kind"]),
            resources=_resources(task["resources"]),
            queue=task["queue"],
            repeatable=task.get("repeatable", True),
            urgent=task.get("urgent", False),
            run_time_ms=round(task.get("run_time_s", 0) * 1000),
            start_by_ms=self._start_by_ms(task),
            members=task.get("members", 1),
            payload=task.get("payload", ""),
        )
        return [
            first._replace(id=first.id._replace(member=member))
            for member in range(first.members)
        ]

    def _start_by_ms(self, task: TaskDocument) -> int:
        within_s = task.get("start_within_s")
        return 0 if within_s is None else self._now_ms + round(within_s * 1000)


def _resources(amounts: ResourcesDocument) -> Resources:
    return Resources(
        cores_milli=round(amounts.get("cores", 0) * 1000),
        memory_mb=amounts.get("memory_mb", 0),
        accelerators=amounts.get("accelerators", 0),
        slots=amounts.get("slots", DEFAULT_SLOTS),
        connections=amounts.get("connections", 0),
    )
