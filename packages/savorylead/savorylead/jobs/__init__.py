"""Jobs of steps: what a caller submits, its graph, and its durable records."""

from ._job import Job, JobState, Run, RunState, StepRun, Task
from ._records import (
    JobRecord,
    ProgressRecord,
    RecordError,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from ._spec import JobSpec, SpecError, StepSpec, check_spec
from ._task_name import TaskName

__all__ = [
    "Job",
    "JobRecord",
    "JobSpec",
    "JobState",
    "ProgressRecord",
    "RecordError",
    "Run",
    "RunState",
    "SpecError",
    "StepRun",
    "StepSpec",
    "Task",
    "TaskName",
    "check_spec",
    "decode_job",
    "decode_progress",
    "encode_job",
    "encode_progress",
]
