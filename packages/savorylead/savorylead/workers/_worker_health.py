"""Health of workers: quarantines workers on which jobs fail."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskSpec

#: Different jobs that fail on a worker, without a success between them, before it is
#: quarantined.
FAILED_JOBS_TO_QUARANTINE = 3
#: Maximum number of failed jobs stored for a worker that can't be quarantined now.
MAX_STORED_FAILED_JOBS = 12
#: Duration of the first quarantine; each further one lasts twice as long.
FIRST_QUARANTINE_MS = 30_000
#: Longest quarantine.
LONGEST_QUARANTINE_MS = 1_800_000
#: Consecutive successful probes after which a worker is trusted again.
PROBES_TO_TRUST = 2
#: Consecutive successful jobs that reset the duration of the next quarantine.
SUCCESSES_TO_RESET = 20
#: Proved workers with failures of one job after which the job itself is blamed.
WORKERS_TO_BLAME_JOB = 3
#: Divisor of the number of workers: most that may be in quarantine at a time. If more
#: workers fail, the cause is common to all, and quarantines would not help.
QUARANTINED_DIVISOR = 3


class HealthState(enum.StrEnum):
    """Whether a worker may get tasks."""

    TRUSTED = "trusted"
    QUARANTINED = "quarantined"
    #: Gets one task at a time that is repeatable, not urgent and not part of a gang.
    PROBED = "probed"


class _Health(NamedTuple):
    """Health record of one worker."""

    state: HealthState = HealthState.TRUSTED
    #: Jobs that have failed since the last success.
    failed: frozenset[TaskId] = frozenset()
    successes: int = 0
    #: Whether the last job that ended on the worker succeeded.
    proved: bool = False
    quarantines: int = 0
    quarantined_until_ms: int = 0
    #: The running probe.
    probe: TaskId | None = None


class WorkerHealth:
    """Distinguishes bad workers from bad jobs by the workers on which jobs fail. Pure.

    A job that has failed on WORKERS_TO_BLAME_JOB proved workers is bad itself: its
    failures are removed from all workers, including those quarantined because of
    them. A worker is proved while the last job that ended on it succeeded. Without
    this condition several bad workers, which are idle most and so get each job
    first, would blame their failures on the jobs.
    """

    def __init__(self, workers: int) -> None:
        #: Number of workers in the shard; bounds the quarantines.
        self.workers = workers
        self._health: dict[str, _Health] = {}
        #: By job: the workers on which it failed, and whether each was proved then.
        self._failed_on: dict[TaskId, dict[str, bool]] = {}

    def state(self, worker: str, now_ms: int) -> HealthState:
        """Return the health state of the worker now."""
        health = self._health.get(worker, _Health())
        if (
            health.state is HealthState.QUARANTINED
            and now_ms >= health.quarantined_until_ms
        ):
            health = health._replace(state=HealthState.PROBED, successes=0)
            self._health[worker] = health
        return health.state

    def is_proved(self, worker: str) -> bool:
        """Return whether a failure on the worker is evidence against the job."""
        return self._health.get(worker, _Health()).proved

    def may_start(self, worker: str, spec: TaskSpec, now_ms: int) -> bool:
        """Return whether the task may be started on the worker now."""
        state = self.state(worker, now_ms)
        if state is HealthState.TRUSTED:
            return True
        if state is HealthState.QUARANTINED:
            return False
        if self._health[worker].probe not in (None, spec.id):
            return False
        return spec.repeatable and not spec.urgent and spec.members == 1

    def record_start(self, worker: str, task: TaskId, now_ms: int) -> None:
        """Record that a task was placed on the worker."""
        if self.state(worker, now_ms) is HealthState.PROBED:
            self._health[worker] = self._health[worker]._replace(probe=task)

    def record_success(self, worker: str, task: TaskId, now_ms: int) -> None:
        """Record that a task succeeded on the worker."""
        self._failed_on.pop(task, None)
        health = self._health.get(worker, _Health())
        health = health._replace(
            failed=frozenset(),
            successes=min(health.successes + 1, SUCCESSES_TO_RESET),
            proved=True,
            probe=None if health.probe == task else health.probe,
        )
        if health.state is HealthState.PROBED and health.successes >= PROBES_TO_TRUST:
            health = health._replace(state=HealthState.TRUSTED, successes=0)
        if health.successes >= SUCCESSES_TO_RESET:
            health = health._replace(quarantines=0)
        self._health[worker] = health

    def record_failure(self, worker: str, task: TaskId, now_ms: int) -> None:
        """Record that a task failed on the worker."""
        where = self._failed_on.setdefault(task, {})
        where[worker] = where.get(worker, False) or self.is_proved(worker)
        state = self.state(worker, now_ms)
        health = self._health.get(worker, _Health())
        probe = None if health.probe == task else health.probe
        failed = health.failed
        # After a failure on a proved worker, further failures of the job are little
        # evidence against other workers.
        is_evidence = not any(
            proved for name, proved in where.items() if name != worker
        )
        if is_evidence and len(failed) < MAX_STORED_FAILED_JOBS:
            failed = failed | {task}
        health = health._replace(failed=failed, successes=0, proved=False, probe=probe)
        self._health[worker] = health
        if sum(where.values()) >= WORKERS_TO_BLAME_JOB:
            self._blame_job(task, where)
        elif state is HealthState.PROBED or (
            state is HealthState.TRUSTED
            and len(health.failed) >= FAILED_JOBS_TO_QUARANTINE
        ):
            self._quarantine(worker, now_ms)

    def record_withdrawal(self, worker: str, task: TaskId) -> None:
        """Record that a task left the worker without success or failure."""
        health = self._health.get(worker)
        if health is not None and health.probe == task:
            self._health[worker] = health._replace(probe=None)

    def record_attempts_exhausted(self, task: TaskId) -> None:
        """Record that a job is not retried because it failed too often.

        If it failed on any proved worker, the job itself is blamed.
        """
        where = self._failed_on.pop(task, {})
        if any(where.values()):
            self._blame_job(task, where)

    def forget_job(self, task: TaskId) -> None:
        """Remove a job that has ended; its failures still count for the workers."""
        self._failed_on.pop(task, None)

    def forget_worker(self, worker: str) -> None:
        """Remove a worker that has left or was replaced."""
        self._health.pop(worker, None)

    def quarantined(self, now_ms: int) -> list[str]:
        """Return the workers in quarantine, sorted by name."""
        return sorted(
            worker
            for worker in list(self._health)
            if self.state(worker, now_ms) is HealthState.QUARANTINED
        )

    def _quarantine(self, worker: str, now_ms: int) -> None:
        health = self._health[worker]
        others = [name for name in self.quarantined(now_ms) if name != worker]
        if len(others) + 1 > max(1, self.workers // QUARANTINED_DIVISOR):
            return
        duration_ms = FIRST_QUARANTINE_MS * 2 ** min(health.quarantines, 10)
        self._health[worker] = health._replace(
            state=HealthState.QUARANTINED,
            quarantines=health.quarantines + 1,
            quarantined_until_ms=now_ms + min(duration_ms, LONGEST_QUARANTINE_MS),
            probe=None,
        )

    def _blame_job(self, task: TaskId, where: Iterable[str]) -> None:
        """Remove a bad job's failures; end quarantines that they had caused."""
        for worker in where:
            health = self._health.get(worker)
            if health is None:
                continue
            failed = health.failed - {task}
            health = health._replace(failed=failed)
            still_bad = len(failed) >= FAILED_JOBS_TO_QUARANTINE
            if health.state is HealthState.QUARANTINED and not still_bad:
                health = health._replace(
                    state=HealthState.TRUSTED,
                    quarantines=max(0, health.quarantines - 1),
                )
            self._health[worker] = health
