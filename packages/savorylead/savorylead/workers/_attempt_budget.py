"""Bound on the failed attempts of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from savorylead.contracts import TaskId

#: Failed attempts after which a job is not retried.
MAX_ATTEMPTS = 5
#: Proved workers with failed attempts after which a job is not retried.
MAX_WORKERS = 3


@dataclass(frozen=True)
class AttemptsExhausted:
    """The reason why a job is not retried."""

    #: Number of failed attempts.
    attempts: int
    #: Workers on which they failed, in order and without repetition.
    workers: tuple[str, ...]
    #: Error that the last worker reported.
    last_error: str

    def describe(self) -> str:
        """Return the reason in one line, for the job's result."""
        where = ", ".join(self.workers)
        return f"failed {self.attempts} times, on {where}; last: {self.last_error}"


class _Failures(NamedTuple):
    attempts: int
    workers: tuple[str, ...]
    proved_workers: frozenset[str] = frozenset()


class AttemptBudget:
    """Counts the failed attempts of jobs; stores only jobs with failures.

    A failure on an unproved worker, where the last job did not succeed, uses up an
    attempt but does not count towards ``max_workers``: otherwise a few bad workers
    could end every job that they get.

    Attempts that were checkpointed, or lost with their worker, are not failures of
    the job; don't report them here.
    """

    def __init__(
        self, max_attempts: int = MAX_ATTEMPTS, max_workers: int = MAX_WORKERS
    ) -> None:
        self._max_attempts = max_attempts
        self._max_workers = max_workers
        self._failures: dict[TaskId, _Failures] = {}

    def record_failure(
        self, task: TaskId, worker: str, error: str, proved: bool = True
    ) -> AttemptsExhausted | None:
        """Count a failed attempt; return the reason if the job is not to be retried.

        ``proved`` is ``WorkerHealth.is_proved`` of the worker before the failure:
        whether the last job that ended on it succeeded.
        """
        attempts, workers, proved_workers = self._failures.get(task, _Failures(0, ()))
        if worker not in workers:
            workers = (*workers, worker)
        if proved:
            proved_workers |= {worker}
        failures = _Failures(attempts + 1, workers, proved_workers)
        self._failures[task] = failures
        is_spent = failures.attempts >= self._max_attempts
        if is_spent or len(proved_workers) >= self._max_workers:
            return AttemptsExhausted(failures.attempts, workers, error)
        return None

    def failed_on(self, task: TaskId) -> tuple[str, ...]:
        """Return the workers on which the job has failed."""
        return self._failures.get(task, _Failures(0, ())).workers

    def forget(self, task: TaskId) -> None:
        """Remove a job that has ended."""
        self._failures.pop(task, None)
