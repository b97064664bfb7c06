"""Notes what callers were told, for the checkers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId
from savorylead.outcomes import (
    Cancelled,
    Done,
    Failed,
    NotRun,
    Outcome,
    Refusal,
    Unknown,
)
from savorylead_daemon.services import Admitted, SubmitReply
from savorylead_standins.checkers import Answer, Submission


class CallRecorder:
    """Keeps every submission with its reply, and every answer."""

    def __init__(self, clock: Clock) -> None:
        self.submissions: dict[TaskId, Submission] = {}
        self.answers: list[Answer] = []
        self._clock = clock
        self._answered: set[TaskId] = set()

    def submitting(self, team: str, key: str, tasks: Iterable[Mapping]) -> None:
        """Note tasks that are about to be submitted."""
        for task in tasks:
            name = TaskId(team, task["workspace"], task["request"])
            self.submissions[name] = Submission(
                task=name,
                key=key,
                repeatable=task.get("repeatable", True),
                expected_result=task["expected_result"],
                submitted_at_ms=self._now_ms(),
                replied_at_ms=0,
                reply=None,
            )

    def replied(self, task: TaskId, document: Mapping[str, Any]) -> None:
        """Note the reply to one submitted task."""
        submission = self.submissions[task]
        self.submissions[task] = submission._replace(
            replied_at_ms=self._now_ms(), reply=read_reply(document)
        )

    def seen(self, view: Mapping[str, Any]) -> None:
        """Note an outcome if a view has one."""
        if view["outcome"] is None:
            return
        task = _task_of(view["task"])
        self._answered.add(task)
        outcome = read_outcome(view["outcome"])
        self.answers.append(Answer(task, self._now_ms(), outcome))

    def unanswered(self) -> list[TaskId]:
        """Return admitted tasks whose outcome was not seen yet."""
        return [
            task
            for task, submission in self.submissions.items()
            if isinstance(submission.reply, Admitted) and task not in self._answered
        ]

    def _now_ms(self) -> int:
        return to_millis(self._clock.now())


def read_reply(document: Mapping[str, Any]) -> SubmitReply:
    """Return the reply that the callers' interface wrote."""
    if document["status"] == "admitted":
        return Admitted(_task_of(document["task"]))
    return read_outcome(document)


def read_outcome(document: Mapping[str, Any]) -> Outcome:
    """Return the outcome that the callers' interface wrote."""
    match document["status"]:
        case "done":
            return Done(document["result"], document["digest"], document["attempt"])
        case "failed":
            return Failed(document["error"], document["attempt"])
        case "cancelled":
            return Cancelled(document["started"])
        case "not_run":
            return NotRun(Refusal(document["reason"]), document["detail"])
        case _:
            return Unknown(document.get("detail", ""))


def _task_of(document: Mapping[str, Any]) -> TaskId:
    return TaskId(
        document["team"],
        document["workspace"],
        document["request"],
        document["member"],
    )
