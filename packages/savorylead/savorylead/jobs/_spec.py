"""What a caller asks for: a job as a graph of steps."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.resources import Resources

#: Most steps of a job; a larger graph is refused.
MAX_STEPS = 64
#: Most tasks of one step.
MAX_TASKS_PER_STEP = 4096
#: Most tasks of a job, over all steps of one occurrence.
MAX_TASKS_PER_JOB = 16384


class StepSpec(NamedTuple):
    """Equal tasks that become ready together."""

    #: Tasks in the step.
    count: int
    #: What one task holds while it runs. The cores of a step that ``fills`` do not
    #: count against its worker.
    resources: Resources
    #: The caller's rough guess of one task's duration, in milliseconds.
    estimate_ms: int = 0
    #: Steps whose tasks must all be done first.
    after: tuple[int, ...] = ()
    #: Whether a stopped task can go on from a checkpoint.
    checkpoints: bool = False
    #: Whether the tasks work only while all of them run.
    gang: bool = False
    #: Whether tasks on more than one rack are slow.
    same_rack: bool = False
    #: A label that the worker must have; empty for any worker.
    required_label: str = ""
    #: The rack on which the tasks are fast; empty for any rack.
    data_rack: str = ""
    #: Most tasks of the step on one worker; 0 for no bound.
    max_per_worker: int = 0
    #: Whether a second copy of a task may run beside the first.
    speculative: bool = False
    #: Whether the tasks run until the job is cancelled.
    long_running: bool = False
    #: Names what the tasks run; equal images behave alike.
    image: str = ""
    #: Bound on the tail response time of long-running tasks, in milliseconds.
    target_ms: int = 0
    #: Whether the tasks use only the cores that others leave.
    fills: bool = False
    #: Tasks of a long-running step that may be away at once by our own orders.
    may_miss: int = 0


class JobSpec(NamedTuple):
    """A whole job."""

    #: Opaque to the scheduler; handed to the workers with each start.
    payload: str
    steps: tuple[StepSpec, ...]
    #: How often the steps run at set times; 0 for once, now.
    repeats: int = 0
    #: When occurrence 0 is due, in Unix milliseconds.
    first_due_ms: int = 0
    #: From one occurrence to the next, in milliseconds.
    interval_ms: int = 0


class SpecError(Exception):
    """A job can't be understood; ``path`` names the field at fault."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def check_spec(spec: JobSpec) -> None:
    """Raise SpecError if the graph or a number makes no sense."""
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        raise SpecError("steps", f"needs 1 to {MAX_STEPS} steps")
    if spec.repeats < 0 or (spec.repeats > 1 and spec.interval_ms < 0):
        raise SpecError("repeats", "must not be negative")
    total = 0
    for index, step in enumerate(spec.steps):
        path = f"steps[{index}]"
        if not 1 <= step.count <= MAX_TASKS_PER_STEP:
            raise SpecError(f"{path}.count", f"needs 1 to {MAX_TASKS_PER_STEP} tasks")
        if any(amount < 0 for amount in step.resources):
            raise SpecError(path, "an amount is negative")
        if any(not 0 <= earlier < index for earlier in step.after):
            raise SpecError(f"{path}.after", "must name earlier steps")
        total += step.count
    if total > MAX_TASKS_PER_JOB:
        raise SpecError("steps", f"more than {MAX_TASKS_PER_JOB} tasks")
