"""Tasks as callers submit them, for the stand-in workers to run."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple


class WorkPlace(NamedTuple):
    """Where one kind of work is submitted."""

    team: str
    workspace: str
    queue: str


class TaskDrafts:
    """Numbers tasks and writes what the stand-in workers read from them."""

    def __init__(self) -> None:
        self._count = 0

    def task(
        self, place: WorkPlace, prefix: str, draft: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Return a task with its expected result.

        ``draft`` has the fields of the callers' interface, and ``run_s``, how long
        the task runs; None runs until it is stopped.
        """
        self._count += 1
        request = f"{prefix}-{self._count}"
        fields = dict(draft)
        run_s = fields.pop("run_s")
        run_ms = None if run_s is None else round(run_s * 1000)
        payload = {"run_ms": run_ms, "answer": request}
        members = fields.get("members", 1)
        # The answer of an all-at-once job is the array of its members' answers.
        answers = json.dumps([request] * members, separators=(",", ":"))
        task = {
            "request": request,
            "workspace": place.workspace,
            "queue": place.queue,
            "payload": json.dumps(payload),
            "expected_result": request if members == 1 else answers,
            **fields,
        }
        if run_s is not None:
            task["run_time_s"] = run_s
        return task
