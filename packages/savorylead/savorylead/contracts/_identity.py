"""Identifiers of tasks."""

from __future__ import annotations

from typing import NamedTuple


class TaskId(NamedTuple):
    """Permanent identifier of one task; a repeated request has the same id."""

    team: str
    workspace: str
    #: Chosen by the caller, unique within the workspace.
    request: str
    #: Position within an all-at-once job; 0 for every other task.
    member: int = 0

    def job(self) -> TaskId:
        """Return the id of the first member, which identifies the whole job."""
        return self if self.member == 0 else self._replace(member=0)

    def __str__(self) -> str:
        return f"{self.team}/{self.workspace}/{self.request}/{self.member}"
