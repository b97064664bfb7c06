"""Admission control of a shard: bounds by class and by queue, and load shedding."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping

from savorylead.admission import (
    FairAdmissionQueue,
    Refused,
    RetryHints,
    WaitingWork,
    WorkClass,
    work_class,
)
from savorylead.contracts import TaskId, TaskSpec
from savorylead.outcomes import NotRun, Refusal


class AdmissionControl:
    """Bounds the pending jobs; a job counts once, under its first member."""

    def __init__(self, bounds: Mapping[WorkClass, int], rng: random.Random) -> None:
        self._hints = RetryHints(rng)
        self._fair_queue = FairAdmissionQueue(bounds, self._hints)
        self._max_waiting: Mapping[str, int] = {}
        self._queue_of: dict[TaskId, str] = {}
        self._by_queue: Counter[str] = Counter()

    def set_bounds(self, max_waiting: Mapping[str, int]) -> None:
        """Set the maximum number of pending tasks by queue."""
        self._max_waiting = max_waiting

    def admit(self, spec: TaskSpec, now_ms: int) -> NotRun | None:
        """Admit a job, or return the outcome with which it is refused."""
        job = spec.id.job()
        if job in self._queue_of:
            return None
        bound = self._max_waiting.get(spec.queue)
        if bound is not None and self._by_queue[spec.queue] >= bound:
            hint_ms = self._hints.hint_ms(now_ms, 0, None)
            detail = f"{bound} tasks wait in queue {spec.queue}"
            return not_run(Refused(job, Refusal.QUEUE_FULL, hint_ms, detail))
        work = WaitingWork(job, work_class(spec), spec.start_by_ms)
        refused = self._fair_queue.offer(work, now_ms)
        if refused is not None:
            return not_run(refused)
        self._add(job, spec.queue)
        return None

    def readmit(self, spec: TaskSpec, now_ms: int) -> None:
        """Add a job that was accepted before, regardless of the bounds."""
        job = spec.id.job()
        if job not in self._queue_of:
            self._fair_queue.offer(WaitingWork(job, work_class(spec)), now_ms)
            self._add(job, spec.queue)

    def started(self, task: TaskId, now_ms: int) -> None:
        """Record that a task was placed."""
        if self._remove(task.job()):
            self._fair_queue.record_start(task.job(), now_ms)

    def removed(self, task: TaskId, now_ms: int) -> None:
        """Record that a task was cancelled, refused or offered to another shard."""
        if self._remove(task.job()):
            self._fair_queue.remove(task.job(), now_ms)

    def shed(self, now_ms: int) -> list[Refused]:
        """Remove and return jobs that can no longer start by their deadline."""
        refused = self._fair_queue.shed(now_ms)
        for item in refused:
            self._remove(item.task)
        return refused

    def _add(self, job: TaskId, queue: str) -> None:
        self._queue_of[job] = queue
        self._by_queue[queue] += 1

    def _remove(self, job: TaskId) -> bool:
        queue = self._queue_of.pop(job, None)
        if queue is None:
            return False
        self._by_queue[queue] -= 1
        return True


def not_run(refused: Refused) -> NotRun:
    """Return the outcome of a refusal, with its retry hint in the detail."""
    detail = refused.detail
    if refused.retry_after_ms:
        detail = f"{detail}; a new request may do after {refused.retry_after_ms} ms"
    return NotRun(refused.reason, detail)
