"""Jobs as graphs of steps: their specification, state and durable records."""

from ._crashes import (
    RecordedRun,
    SuspectTask,
    TaskCrash,
    decode_suspects,
    encode_suspects,
)
from ._job import (
    CopyNotAllowedError,
    Job,
    JobState,
    Run,
    RunState,
    StepRun,
    Task,
    saved_state,
)
from ._records import (
    JobRecord,
    ProgressRecord,
    RecordError,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from ._spec import (
    MAX_AMOUNT,
    MAX_TIME_MS,
    JobSpec,
    SpecError,
    StepSpec,
    check_spec,
)
from ._task_name import TaskName

__all__ = [
    "MAX_AMOUNT",
    "MAX_TIME_MS",
    "CopyNotAllowedError",
    "RecordedRun",
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
    "SuspectTask",
    "Task",
    "TaskCrash",
    "TaskName",
    "check_spec",
    "decode_job",
    "decode_progress",
    "decode_suspects",
    "encode_job",
    "encode_progress",
    "encode_suspects",
    "saved_state",
]
