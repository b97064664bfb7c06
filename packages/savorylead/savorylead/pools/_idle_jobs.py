"""Jobs whose turn has come and of which nothing runs.

Load pattern: a worker that alone may run a step stands half empty, kept for a task that
needs all of it, while small tasks that may run only there wait for seconds.
"""

from __future__ import annotations

from collections.abc import Iterable

from savorylead.jobs import Job, StepRun

#: A job of which nothing has run for this long may use a kept worker for one task; the
#: platform's owners expect work to go on within three seconds where there is room.
IDLE_MS = 1_500


class IdleJobs:
    """Remembers since when nothing of a job runs."""

    def __init__(self) -> None:
        self._since_ms: dict[Job, int] = {}

    def note(self, steps: Iterable[StepRun], now_ms: int) -> None:
        """Take note of the steps whose turn has come, as they are now."""
        waiting = {step.job for step in steps if step.waiting()}
        self._since_ms = {
            job: self._since_ms.get(job, now_ms) for job in waiting if not job.runs()
        }

    def since_ms(self, step: StepRun) -> int | None:
        """Return since when nothing of the step's job runs, None if something does."""
        return self._since_ms.get(step.job)

    def is_starved(self, step: StepRun, now_ms: int) -> bool:
        """Return whether nothing of the step's job has run for too long."""
        since_ms = self.since_ms(step)
        return since_ms is not None and now_ms - since_ms >= IDLE_MS
