"""Jobs that have ready steps but no running task.

Load pattern: one worker is the only one allowed to run certain small tasks, but it is
reserved for a task that needs all of it. It stays half empty while the small tasks wait
for seconds.
"""

from __future__ import annotations

from collections.abc import Iterable

from savorylead.jobs import Job, StepRun

#: Time without a running task after which a job may start one task on a reserved
#: worker. The platform's owners expect work to continue within three seconds where
#: capacity is free.
STARVED_AFTER_MS = 1_500


class IdleJobs:
    """Tracks since when each job has had no running task."""

    def __init__(self) -> None:
        self._since_ms: dict[Job, int] = {}

    def update(self, steps: Iterable[StepRun], now_ms: int) -> None:
        """Update the idle jobs from the steps that are ready now."""
        waiting = {step.job for step in steps if step.waiting()}
        self._since_ms = {
            job: self._since_ms.get(job, now_ms) for job in waiting if not job.runs()
        }

    def since_ms(self, step: StepRun) -> int | None:
        """Return since when the step's job has no running task, None if it has one."""
        return self._since_ms.get(step.job)

    def is_starved(self, step: StepRun, now_ms: int) -> bool:
        """Return whether the step's job was idle long enough to count as starved."""
        since_ms = self.since_ms(step)
        return since_ms is not None and now_ms - since_ms >= STARVED_AFTER_MS
