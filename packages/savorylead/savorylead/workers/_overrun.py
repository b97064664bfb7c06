"""What is done with a task that uses more than it may."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import Resources


class OverrunAction(enum.IntEnum):
    """What to do, from the mildest to the harshest."""

    NONE = 0
    #: Cap the task at what is held for it.
    THROTTLE = 1
    #: Save its progress and queue it again with a larger size.
    CHECKPOINT = 2
    #: End it; it fails.
    STOP = 3


class RunningUsage(NamedTuple):
    """One running task as its worker last reported it."""

    spec: TaskSpec
    #: What is held for it on the worker.
    held: Resources
    #: As reported, with a lag; zero when not known yet.
    used: Resources
    ran_ms: int
    #: Expected run time in milliseconds; 0 when not known.
    expected_ms: int
    #: What is not held by any task on the worker.
    worker_free: Resources


class OverrunPolicy(ABC):
    """Decides about one running task; pure."""

    @abstractmethod
    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return what to do about this report alone."""


class ThrottleCores(OverrunPolicy):
    """Caps a task that uses more cores than are held for it by ``tolerance``."""

    def __init__(self, tolerance: float = 1.1) -> None:
        self._tolerance = tolerance

    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return THROTTLE or NONE."""
        if usage.used.cores_milli > usage.held.cores_milli * self._tolerance:
            return OverrunAction.THROTTLE
        return OverrunAction.NONE


class CheckpointMemory(OverrunPolicy):
    """Moves a task that needs more memory than its worker has to spare.

    While the worker has room the task is left alone. A task that may not be
    repeated is stopped, since it can't be started a second time elsewhere.
    """

    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return CHECKPOINT, STOP or NONE."""
        above_mb = usage.used.memory_mb - usage.held.memory_mb
        if above_mb <= 0 or above_mb <= usage.worker_free.memory_mb:
            return OverrunAction.NONE
        if usage.spec.repeatable:
            return OverrunAction.CHECKPOINT
        return OverrunAction.STOP


class StopRunTime(OverrunPolicy):
    """Ends a task that runs many times longer than expected; never a service."""

    def __init__(self, factor: float = 10.0, floor_ms: int = 600_000) -> None:
        self._factor = factor
        self._floor_ms = floor_ms

    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return STOP or NONE."""
        if usage.spec.kind is TaskKind.SERVICE or not usage.expected_ms:
            return OverrunAction.NONE
        if usage.ran_ms > max(usage.expected_ms * self._factor, self._floor_ms):
            return OverrunAction.STOP
        return OverrunAction.NONE


class HarshestOf(OverrunPolicy):
    """Combines policies: the harshest action wins."""

    def __init__(self, policies: Sequence[OverrunPolicy]) -> None:
        self._policies = tuple(policies)

    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return the harshest action of all policies."""
        return max(
            (policy.decide(usage) for policy in self._policies),
            default=OverrunAction.NONE,
        )


class OverrunWatch:
    """Acts once several reports in a row agree, because usage lags and jumps.

    The mildest action of those reports is taken, so that one extreme report
    doesn't end a task. An action is returned once until a report was clean.
    """

    def __init__(self, policy: OverrunPolicy, reports: int = 3) -> None:
        self._policy = policy
        self._reports = reports
        self._recent: dict[TaskId, list[OverrunAction]] = {}
        self._taken: dict[TaskId, OverrunAction] = {}

    def report(self, usage: RunningUsage) -> OverrunAction:
        """Take in a report and return what to do now."""
        task = usage.spec.id
        action = self._policy.decide(usage)
        if action is OverrunAction.NONE:
            self.forget(task)
            return action
        recent = self._recent.setdefault(task, [])
        recent.append(action)
        del recent[: -self._reports]
        if len(recent) < self._reports:
            return OverrunAction.NONE
        agreed = min(recent)
        if agreed <= self._taken.get(task, OverrunAction.NONE):
            return OverrunAction.NONE
        self._taken[task] = agreed
        return agreed

    def forget(self, task: TaskId) -> None:
        """Drop what is remembered of a task that no longer runs."""
        self._recent.pop(task, None)
        self._taken.pop(task, None)
