"""Holds back the tasks of jobs that are not marked in the store yet.

A lead marks a job by an empty progress record before it orders the job's first task, so
a later lead knows which jobs no lead has started (``_marked_since.py``).
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from savorylead.jobs import Job
from savorylead.pools import Plan

from ._progress_log import ProgressLog

#: Time for which a job that waits for its mark is planned like others, so that its
#: capacity stays free. A mark takes 4 ms; while the store is away, the capacity is of
#: more use to jobs that are marked.
PLANNED_UNMARKED_FOR = timedelta(milliseconds=200)


class JobMarks:
    """Requests the marks of jobs, and says which jobs wait for theirs."""

    def __init__(self, is_enabled: bool, progress: ProgressLog) -> None:
        """If not enabled, no job is marked and none waits."""
        self._is_enabled = is_enabled
        self._progress = progress

    def request(self, jobs: Iterable[Job], has_caller: bool) -> None:
        """Mark the jobs that have no progress record.

        Those with a caller that has just submitted them are marked first.
        """
        if self._is_enabled:
            for job in jobs:
                if self.is_awaited(job):
                    self._progress.schedule_mark(job, has_caller)

    def is_awaited(self, job: Job) -> bool:
        """Return whether no task of the job may be ordered before it is marked.

        A job has a revision of its progress record only once the record is durable: the
        store has reported it under this lead's term.
        """
        return self._is_enabled and not job.progress_revision

    def is_overdue(self, job: Job) -> bool:
        """Return whether a job waits for its mark for too long to keep capacity."""
        if not self.is_awaited(job):
            return False
        age = self._progress.mark_age(job)
        return age is not None and age > PLANNED_UNMARKED_FOR

    def startable(self, plan: Plan) -> Plan:
        """Return a plan without the starts of jobs that wait for their mark.

        Advice for them is requested meanwhile, and the plan's other tasks leave the
        capacity to them that they will use.
        """
        if not self._is_enabled:
            return plan
        return plan._replace(
            placements=[
                p for p in plan.placements if not self.is_awaited(p.task.step.job)
            ],
            gangs=[g for g in plan.gangs if not self.is_awaited(g.step.job)],
            copies=[
                c for c in plan.copies if not self.is_awaited(c.placement.task.step.job)
            ],
        )
