"""The specification of a job as a graph of steps."""

from __future__ import annotations

from typing import NamedTuple

from savorylead.resources import Resources

#: Maximum number of steps of a job; larger graphs are refused.
MAX_STEPS = 64
#: Maximum number of tasks of one step.
MAX_TASKS_PER_STEP = 4096
#: Maximum number of tasks in one occurrence of a job.
MAX_TASKS_PER_JOB = 16384
#: Maximum number of occurrences of a job: one per minute for a week. All may be due at
#: once, and each open one takes 1 KB or more of the lead's memory.
MAX_OCCURRENCES = 10_080
#: Maximum absolute value of all other numbers except those limited by MAX_TIME_MS: 31
#: years in milliseconds. Sums and products of numbers within these two limits stay far
#: within the range of a float.
MAX_AMOUNT = 10**12
#: Maximum absolute value of ``first_due_ms`` and ``interval_ms``, in milliseconds. Unix
#: times of 2026 are about twice MAX_AMOUNT, so this is ten times as large.
MAX_TIME_MS = 10 * MAX_AMOUNT


class StepSpec(NamedTuple):
    """A step: a set of identical tasks that become ready together."""

    #: Number of tasks.
    count: int
    #: Resources reserved for each running task. The cores of a step that ``fills`` do
    #: not count against its worker's capacity.
    resources: Resources
    #: The caller's rough estimate of one task's duration, in milliseconds; 0 for none.
    estimate_ms: int = 0
    #: Indices of the steps that must be done before.
    after: tuple[int, ...] = ()
    #: Whether a stopped task can resume from a checkpoint.
    checkpoints: bool = False
    #: Whether the tasks make progress only while all of them run.
    gang: bool = False
    #: Whether tasks that span more than one rack are slow.
    same_rack: bool = False
    #: A label that the worker must have; empty for any worker.
    required_label: str = ""
    #: The rack on which the tasks are fast; empty for any rack.
    data_rack: str = ""
    #: Maximum number of the step's tasks on one worker; 0 for no limit.
    max_per_worker: int = 0
    #: Whether a second copy of a task may run at the same time.
    speculative: bool = False
    #: Whether the tasks run until the job is cancelled.
    long_running: bool = False
    #: The image that the tasks run; tasks of equal images behave alike.
    image: str = ""
    #: Target of the tail response time of long-running tasks, in milliseconds.
    target_ms: int = 0
    #: Whether the tasks use only cores that other tasks leave idle.
    fills: bool = False
    #: Tasks of a long-running step that the scheduler itself may take down at once.
    may_miss: int = 0


class JobSpec(NamedTuple):
    """A job's specification."""

    #: Opaque to the scheduler; sent to the workers with each start order.
    payload: str
    steps: tuple[StepSpec, ...]
    #: Number of scheduled occurrences; 0 runs the steps once, immediately.
    repeats: int = 0
    #: When occurrence 0 is due, in Unix milliseconds.
    first_due_ms: int = 0
    #: Time between two occurrences, in milliseconds.
    interval_ms: int = 0


class SpecError(Exception):
    """A job's specification is invalid; ``path`` names the field at fault."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def check_spec(spec: JobSpec) -> None:
    """Raise SpecError if the graph is malformed or a number is out of range."""
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        raise SpecError("steps", f"needs 1 to {MAX_STEPS} steps")
    if spec.repeats < 0 or (spec.repeats > 1 and spec.interval_ms < 0):
        raise SpecError("repeats", "must not be negative")
    if spec.repeats > MAX_OCCURRENCES:
        raise SpecError("repeats", f"more than {MAX_OCCURRENCES} occurrences")
    if max(abs(spec.first_due_ms), abs(spec.interval_ms)) > MAX_TIME_MS:
        raise SpecError("repeats", "a time is out of range")
    total = 0
    for index, step in enumerate(spec.steps):
        path = f"steps[{index}]"
        if not 1 <= step.count <= MAX_TASKS_PER_STEP:
            raise SpecError(f"{path}.count", f"needs 1 to {MAX_TASKS_PER_STEP} tasks")
        if any(amount < 0 for amount in step.resources):
            raise SpecError(path, "an amount is negative")
        if any(abs(number) > MAX_AMOUNT for number in _bounded_amounts(step)):
            raise SpecError(path, f"a number is over {MAX_AMOUNT}")
        if any(not 0 <= earlier < index for earlier in step.after):
            raise SpecError(f"{path}.after", "must name earlier steps")
        total += step.count
    if total > MAX_TASKS_PER_JOB:
        raise SpecError("steps", f"more than {MAX_TASKS_PER_JOB} tasks")


def _bounded_amounts(step: StepSpec) -> tuple[int, ...]:
    """Return the numbers that a lead computes with and that have no other bounds."""
    return (
        *step.resources,
        step.estimate_ms,
        step.max_per_worker,
        step.target_ms,
        step.may_miss,
    )
