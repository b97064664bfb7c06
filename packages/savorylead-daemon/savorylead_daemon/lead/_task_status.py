"""Serves queries about the state of a shard's tasks and waits for outcomes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from savorylead.clock import Clock
from savorylead.contracts import TaskId
from savorylead_daemon.services import TaskView

from ._ledger import ShardLedger
from ._views import job_is_answerable, view_job


class TaskStatusService:
    """Returns views of tasks; an outcome is included only once it is durable."""

    def __init__(
        self,
        shard: str,
        ledger: ShardLedger,
        members: Callable[[TaskId], list[TaskId]],
        clock: Clock,
    ) -> None:
        """``members`` returns the ids of a job's members."""
        self._shard = shard
        self._ledger = ledger
        self._members = members
        self._clock = clock

    async def answers(self, tasks: Sequence[TaskId], wait: timedelta) -> list[TaskView]:
        """Return views once one of the tasks is answerable or ``wait`` has passed."""
        until = self._clock.now() + wait
        while not any(job_is_answerable(self._ledger, task) for task in tasks):
            if not await self._wait_for_any(tasks, until):
                break
        return self.views(tasks)

    def views(self, tasks: Sequence[TaskId]) -> list[TaskView]:
        """Return views of the current state of tasks."""
        return [view_job(self._ledger, self._shard, task) for task in tasks]

    async def _wait_for_any(self, tasks: Sequence[TaskId], until: datetime) -> bool:
        """Wait until a task may be answerable; False if ``until`` has already passed.

        An expired timer also returns True: the clock may have been set back during
        the wait, so the next call compares ``until`` with the clock again.
        """
        left = until - self._clock.now()
        if left <= timedelta(0):
            return False
        task_ids = [member for task in tasks for member in self._members(task.job())]
        waiter = self._ledger.any_answerable(task_ids)
        timer = self._clock.call_later(left, _fire, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._ledger.remove_waiter(task_ids, waiter)
        return True


def _fire(waiter: Deferred[None]) -> None:
    if not waiter.called:
        waiter.callback(None)
