"""The name of one task of a job."""

from __future__ import annotations

from typing import NamedTuple


class TaskName(NamedTuple):
    """Identifies a task within the cell."""

    #: The id that the caller chose for the job.
    job: str
    #: Number of the job's occurrence, from 0.
    occurrence: int
    #: Index of the step in the job, from 0.
    step: int
    #: Index of the task in the step, from 0.
    index: int

    @classmethod
    def parse(cls, text: str) -> TaskName:
        """Return the name that ``text`` represents; raises ValueError."""
        job, occurrence, step, index = text.rsplit(".", 3)
        return cls(job, int(occurrence), int(step), int(index))

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"
