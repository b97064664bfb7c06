"""Stops trying jobs that fail wherever they run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from savorylead.contracts import TaskId

#: Attempts of one job that may fail before it is given up.
MAX_ATTEMPTS = 5
#: Unlike workers on which a job may fail before it is given up.
MAX_WORKERS = 3


@dataclass(frozen=True)
class AttemptsExhausted:
    """The job is not tried again, and why."""

    #: How many attempts failed.
    attempts: int
    #: Where they failed, in order, each once.
    workers: tuple[str, ...]
    #: What the last worker reported.
    last_error: str

    def describe(self) -> str:
        """Return the reason in one line, for the final answer."""
        where = ", ".join(self.workers)
        return f"failed {self.attempts} times, on {where}; last: {self.last_error}"


class _Failures(NamedTuple):
    attempts: int
    workers: tuple[str, ...]


class AttemptBudget:
    """Counts a job's failed attempts; holds nothing for jobs that never failed.

    An attempt that was checkpointed, or lost with its worker, is no failure of
    the job and is not to be told here.
    """

    def __init__(
        self, max_attempts: int = MAX_ATTEMPTS, max_workers: int = MAX_WORKERS
    ) -> None:
        self._max_attempts = max_attempts
        self._max_workers = max_workers
        self._failures: dict[TaskId, _Failures] = {}

    def fail(self, task: TaskId, worker: str, error: str) -> AttemptsExhausted | None:
        """Count a failed attempt; return why the job is given up, if it is."""
        attempts, workers = self._failures.get(task, _Failures(0, ()))
        if worker not in workers:
            workers = (*workers, worker)
        failures = _Failures(attempts + 1, workers)
        self._failures[task] = failures
        if failures.attempts < self._max_attempts and len(workers) < self._max_workers:
            return None
        return AttemptsExhausted(failures.attempts, workers, error)

    def failed_on(self, task: TaskId) -> tuple[str, ...]:
        """Return the workers on which the job failed."""
        return self._failures.get(task, _Failures(0, ())).workers

    def forget(self, task: TaskId) -> None:
        """Drop a job that has its final answer."""
        self._failures.pop(task, None)
