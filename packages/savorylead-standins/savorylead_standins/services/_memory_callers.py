"""A caller service that keeps its tasks in memory and runs none."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from datetime import timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock, to_millis
from savorylead.contracts import TaskId
from savorylead.outcomes import Cancelled, Done, NotRun, Outcome, Refusal
from savorylead_daemon.services import (
    Admitted,
    CallerService,
    RefusedError,
    RequestName,
    SubmitReply,
    TaskDocument,
    TaskPage,
    TaskView,
)

#: A task that asks for more cores than this is impossible.
LARGEST_WORKER_CORES = 32


class MemoryCallerService(CallerService):
    """Checks keys, workspaces and queues, accepts, cancels, and ends on request."""

    def __init__(self, clock: Clock, queues: Sequence[str] = ("open",)) -> None:
        self._clock = clock
        self._queues = queues
        #: Teams by key; a key that is removed is unknown.
        self.teams_by_key: dict[str, str] = {}
        self.withdrawn_keys: set[str] = set()
        #: Every task that was accepted, and tombstones.
        self.views: dict[TaskId, TaskView] = {}
        self._specs: dict[TaskId, TaskDocument] = {}
        #: Raised by every call while set.
        self.refusal: RefusedError | None = None
        #: While set, a submit waits for it before it accepts.
        self.submit_gate: Deferred[None] | None = None
        self._waiting: list[Deferred[None]] = []

    async def submit(
        self, key: str, tasks: Sequence[TaskDocument]
    ) -> list[SubmitReply]:
        """Accept tasks; refuse impossible ones."""
        team = self._team(key)
        for index, task in enumerate(tasks):
            self._check(team, task, f"$[{index}]")
        if self.submit_gate is not None:
            await self.submit_gate
        return [self._accept(team, task) for task in tasks]

    async def answers(
        self, key: str, requests: Sequence[RequestName], wait: timedelta
    ) -> list[TaskView]:
        """Return tasks, waiting until one has its outcome."""
        team = self._team(key)
        deadline = self._clock.now() + wait
        while True:
            views = [self._view(team, name) for name in requests]
            ended = any(view.outcome is not None for view in views)
            if ended or self._clock.now() >= deadline:
                return views
            await self._next_change(deadline - self._clock.now())

    async def cancel(self, key: str, requests: Sequence[RequestName]) -> list[TaskView]:
        """Cancel tasks; unknown ones become tombstones."""
        team = self._team(key)
        for name in requests:
            view = self._view(team, name)
            if view.outcome is not None:
                continue
            outcome: Outcome = Cancelled(started=False)
            if view.phase == "absent":
                outcome = NotRun(Refusal.TOMBSTONE)
            self.views[view.task] = view._replace(phase="ended", outcome=outcome)
        self._wake()
        return [self._view(team, name) for name in requests]

    async def list_tasks(
        self, key: str, workspace: str, phase: str, limit: int, after: str
    ) -> TaskPage:
        """Return a workspace's tasks in the order of their ids."""
        team = self._team(key)
        return self.page(team, workspace, phase, limit, after)

    def page(
        self, team: str, workspace: str, phase: str, limit: int, after: str
    ) -> TaskPage:
        """Return tasks; an empty team, workspace or phase means all."""
        views = [
            view
            for task, view in sorted(self.views.items(), key=lambda item: str(item[0]))
            if str(task) > after
            and team in ("", task.team)
            and workspace in ("", task.workspace)
            and phase in ("", view.phase)
        ]
        next_after = ""
        if len(views) > limit:
            next_after = str(views[limit - 1].task)
        return TaskPage(tuple(views[:limit]), next_after)

    def end(self, task: TaskId, result: str, digest: str | None = None) -> None:
        """End a task as done; a ``digest`` may be given to damage the answer."""
        if digest is None:
            digest = hashlib.sha256(result.encode()).hexdigest()
        outcome = Done(result, digest, attempt=1)
        self.views[task] = self.views[task]._replace(
            phase="ended", attempt=1, worker="worker-1", outcome=outcome
        )
        self._wake()

    def waiting_calls(self) -> int:
        """Return how many calls wait for an answer."""
        return len(self._waiting)

    def _team(self, key: str) -> str:
        if self.refusal is not None:
            raise self.refusal
        if key in self.withdrawn_keys:
            raise RefusedError(Refusal.KEY_WITHDRAWN)
        if key not in self.teams_by_key:
            raise RefusedError(Refusal.UNKNOWN_KEY)
        return self.teams_by_key[key]

    def _check(self, team: str, task: TaskDocument, path: str) -> None:
        if task.get("team", team) != team:
            raise RefusedError(
                Refusal.WRONG_TEAM, "the key is another team's", f"{path}.team"
            )
        if task["queue"] not in self._queues:
            raise RefusedError(Refusal.UNKNOWN_QUEUE, task["queue"], f"{path}.queue")

    def _accept(self, team: str, task: TaskDocument) -> SubmitReply:
        name = TaskId(team, task["workspace"], task["request"])
        known = self.views.get(name)
        if known is not None:
            return self._repeat(name, known, task)
        if task["resources"].get("cores", 0) > LARGEST_WORKER_CORES:
            return NotRun(Refusal.IMPOSSIBLE, "no worker has as many cores")
        accepted_at_ms = to_millis(self._clock.now())
        self._specs[name] = task
        self.views[name] = TaskView(name, "queued", "mv-1", "", 0, accepted_at_ms, None)
        return Admitted(name)

    def _repeat(self, name: TaskId, known: TaskView, task: TaskDocument) -> SubmitReply:
        if isinstance(known.outcome, NotRun):
            return known.outcome
        if self._specs[name] != task:
            return NotRun(Refusal.ID_REUSED)
        return Admitted(name)

    def _view(self, team: str, name: RequestName) -> TaskView:
        task = TaskId(team, *name)
        absent = TaskView(task, "absent", "", "", 0, 0, None)
        return self.views.get(task, absent)

    async def _next_change(self, wait: timedelta) -> None:
        change: Deferred[None] = Deferred()
        self._waiting.append(change)
        timer = self._clock.call_later(wait, change.callback, None)
        try:
            await change
        finally:
            timer.cancel()
            self._waiting.remove(change)

    def _wake(self) -> None:
        for change in list(self._waiting):
            change.callback(None)
