"""Determines the home shard of a task."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from savorylead.config import CellDocument
from savorylead.contracts import TaskId
from savorylead.domains import rendezvous_owner


def home_shard(document: CellDocument, task: TaskId) -> str | None:
    """Return the shard that is responsible for the task, the same at every gateway.

    It depends on the task's id and on the shards of its workspace's home region,
    not on their leads. None if the workspace is unknown or its region has no shard.
    """
    workspace = document["workspaces"].get(f"{task.team}/{task.workspace}")
    if workspace is None:
        return None
    region = workspace["home_region"]
    shards = [name for name, s in document["shards"].items() if s["region"] == region]
    return rendezvous_owner(f"{task.team}/{task.workspace}/{task.request}", shards)


def by_home(document: CellDocument, tasks: Iterable[TaskId]) -> dict[str, list[TaskId]]:
    """Group tasks by their home shard; tasks without one are left out."""
    homes: dict[str, list[TaskId]] = defaultdict(list)
    for task in tasks:
        home = home_shard(document, task)
        if home is not None:
            homes[home].append(task)
    return dict(homes)
