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
#: Most occurrences of a job: one a minute for a week. All may be due at once, and an
#: open one takes 1 KB and more of its lead.
MAX_OCCURRENCES = 10_080
#: Largest number of any other kind, each way: 31 years in milliseconds. Times of 2026
#: in Unix milliseconds are twice that, so a time may be ten times as large. Sums and
#: products of such numbers stay far within what a float holds.
MAX_AMOUNT = 10**12
MAX_TIME_MS = 10 * MAX_AMOUNT


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
        if any(abs(number) > MAX_AMOUNT for number in _numbers(step)):
            raise SpecError(path, f"a number is over {MAX_AMOUNT}")
        if any(not 0 <= earlier < index for earlier in step.after):
            raise SpecError(f"{path}.after", "must name earlier steps")
        total += step.count
    if total > MAX_TASKS_PER_JOB:
        raise SpecError("steps", f"more than {MAX_TASKS_PER_JOB} tasks")


def _numbers(step: StepSpec) -> tuple[int, ...]:
    """Return what a lead computes with, but for what has bounds of its own."""
    return (
        *step.resources,
        step.estimate_ms,
        step.max_per_worker,
        step.target_ms,
        step.may_miss,
    )
