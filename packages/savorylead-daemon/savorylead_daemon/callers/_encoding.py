"""JSON encoding of answers, as objects with named fields."""

from __future__ import annotations

import hashlib
from typing import Any

from savorylead.contracts import TaskId
from savorylead.outcomes import Cancelled, Done, Failed, NotRun, Outcome, Unknown
from savorylead_daemon.routing import CallError, CallErrorCode
from savorylead_daemon.services import Admitted, SubmitReply, TaskPage, TaskView


def reply_document(reply: SubmitReply) -> dict[str, Any]:
    """Return the JSON form of the reply to one submitted task."""
    match reply:
        case Admitted(task):
            return {"status": "admitted", "task": task_document(task)}
        case NotRun() | Unknown():
            return outcome_document(reply)


def outcome_document(outcome: Outcome) -> dict[str, Any]:
    """Return the JSON form of an outcome; "status" is its type."""
    match outcome:
        case Done(result, digest, attempt):
            fields = {"result": result, "digest": digest, "attempt": attempt}
            return {"status": "done", **fields}
        case Failed(error, attempt):
            return {"status": "failed", "error": error, "attempt": attempt}
        case Cancelled(started):
            return {"status": "cancelled", "started": started}
        case NotRun(reason, detail):
            return {"status": "not_run", "reason": reason, "detail": detail}
        case Unknown(detail):
            return {"status": "unknown", "detail": detail}


def task_document(task: TaskId) -> dict[str, Any]:
    """Return the JSON form of a task id; "id" is its text form."""
    team, workspace, request, member = task
    return {
        "id": str(task),
        "team": team,
        "workspace": workspace,
        "request": request,
        "member": member,
    }


def task_view_document(view: TaskView) -> dict[str, Any]:
    """Return the JSON form of a task.

    Raises CallError if its result does not match its digest.
    """
    outcome = None
    if view.outcome is not None:
        _check_digest(view)
        outcome = outcome_document(view.outcome)
    return {
        "task": task_document(view.task),
        "phase": view.phase,
        "shard": view.shard,
        "worker": view.worker,
        "attempt": view.attempt,
        "accepted_at_ms": view.accepted_at_ms,
        "outcome": outcome,
    }


def task_page_document(page: TaskPage) -> dict[str, Any]:
    """Return the JSON form of one page of a task list."""
    tasks = [task_view_document(view) for view in page.tasks]
    return {"tasks": tasks, "next_after": page.next_after}


def _check_digest(view: TaskView) -> None:
    if not isinstance(view.outcome, Done):
        return
    digest = hashlib.sha256(view.outcome.result.encode()).hexdigest()
    if digest != view.outcome.digest:
        raise CallError(
            CallErrorCode.DAMAGED_ANSWER,
            f"the result of {view.task} does not match its digest; ask again",
        )
