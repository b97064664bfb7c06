"""One worker as a pool's lead sees it."""

from __future__ import annotations

import math

from savorylead.jobs import Run, StepRun
from savorylead.resources import ZERO, Resources

from ._contracts import WorkerEntry

#: Failed runs in a row, none done between, after which a worker is rested.
FAILURES_TO_REST = 3
#: First rest in milliseconds; each further one lasts twice as long.
FIRST_REST_MS = 2_000
#: Longest rest in milliseconds.
LONGEST_REST_MS = 30_000
#: Tasks in a row, on the average this many times as long as expected, after which a
#: worker is rested as slow.
SLOW_FACTOR = 3.0
TASKS_TO_BE_SLOW = 4
#: Weight of the newest task in that average.
SLOWNESS_WEIGHT = 0.3
#: Rest after a worker said it is unhealthy or did not answer a start.
UNHEALTHY_REST_MS = 1_000


def held_by(step: StepRun) -> Resources:
    """Return what one task of the step takes of a worker's capacity."""
    if step.spec.fills:
        return step.spec.resources._replace(cores_milli=0)
    return step.spec.resources


class PoolWorker:
    """Capacity, what is held of it, and whether it may be given work."""

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        #: Whether the platform has named it to this lead; what an earlier lead wrote
        #: down may be older than that the worker leaves.
        self.listed = False
        #: Whether its runs are known and it answers.
        self.usable = False
        #: Runs that may be on it, by task name and number.
        self.runs: dict[tuple[str, int], Run] = {}
        self.held = ZERO
        #: What runs there that no record explains; nothing is started meanwhile.
        self.unexplained = 0
        self.rest_until_ms = 0
        self._failures_in_row = 0
        self._rests = 0
        self._slowness = 0.0
        self._timed_tasks = 0

    @property
    def id(self) -> str:
        """The worker's id."""
        return self.entry.id

    def free(self) -> Resources:
        """Return what is not held; a dimension may be negative."""
        return self.entry.capacity.minus(self.held)

    def may_start(self, now_ms: int) -> bool:
        """Return whether the worker may be given work now."""
        return now_ms >= self.may_start_at_ms()

    def may_start_at_ms(self) -> float:
        """Return from when on it may be given work, infinite if that is not known."""
        is_ready = self.usable and self.listed and self.entry.accepting
        if not is_ready or self.unexplained:
            return math.inf
        return float(self.rest_until_ms)

    def add(self, run: Run) -> None:
        """Hold the room of a run."""
        key = (str(run.task.name), run.number)
        if key not in self.runs:
            self.runs[key] = run
            self.held = self.held.plus(held_by(run.task.step))

    def remove(self, run: Run) -> None:
        """Free the room of a run that is surely over."""
        if self.runs.pop((str(run.task.name), run.number), None) is not None:
            self.held = self.held.minus(held_by(run.task.step))

    def count_of(self, step: StepRun) -> int:
        """Return how many tasks of a step it has."""
        return sum(1 for run in self.runs.values() if run.task.step is step)

    def fill_load(self) -> int:
        """Return the cores, in thousandths, that tasks which fill would like."""
        return sum(
            run.task.step.spec.resources.cores_milli
            for run in self.runs.values()
            if run.task.step.spec.fills
        )

    def serves(self) -> bool:
        """Return whether a task with a response time target runs there."""
        return any(run.task.step.spec.target_ms for run in self.runs.values())

    def note_success(self) -> None:
        """Take note of a run that ended well."""
        self._failures_in_row = 0
        self._rests = 0

    def note_failure(self, now_ms: int) -> bool:
        """Take note of a failed run; return whether the worker is rested for it."""
        self._failures_in_row += 1
        if self._failures_in_row < FAILURES_TO_REST:
            return False
        # One more failure after the rest is enough for the next one.
        self._failures_in_row = FAILURES_TO_REST - 1
        self._rest_longer(now_ms)
        return True

    def note_length(self, ratio: float, now_ms: int) -> bool:
        """Take note of a task that took ``ratio`` times as long as expected.

        Returns whether the worker is rested for being slow.
        """
        self._timed_tasks += 1
        change = math.log(max(0.01, ratio)) - self._slowness
        self._slowness += SLOWNESS_WEIGHT * change
        if self._timed_tasks < TASKS_TO_BE_SLOW:
            return False
        if self._slowness < math.log(SLOW_FACTOR):
            return False
        # Judged anew after the rest, from one task on.
        self._timed_tasks = TASKS_TO_BE_SLOW - 1
        self._rest_longer(now_ms)
        return True

    def note_stall(self, now_ms: int) -> None:
        """Take note of a task that stood still, and rest the worker."""
        self._rest_longer(now_ms)

    def _rest_longer(self, now_ms: int) -> None:
        rest_ms = min(LONGEST_REST_MS, FIRST_REST_MS << self._rests)
        self._rests = min(self._rests + 1, 8)
        self.rest(now_ms, rest_ms)

    def rest(self, now_ms: int, for_ms: int = UNHEALTHY_REST_MS) -> None:
        """Give the worker no work for a while."""
        self.rest_until_ms = max(self.rest_until_ms, now_ms + for_ms)
