"""Policies for tasks that exceed their resources or their run time."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.resources import Resources


class OverrunAction(enum.IntEnum):
    """Actions on an overrun, in increasing severity."""

    NONE = 0
    #: Cap the task at the resources held for it.
    THROTTLE = 1
    #: Save its progress and requeue it with a larger size.
    CHECKPOINT = 2
    #: End the task as failed.
    STOP = 3


class RunningUsage(NamedTuple):
    """One running task, according to its worker's last report."""

    spec: TaskSpec
    #: Resources held for it on the worker.
    held: Resources
    #: As reported, with a lag; zero while unknown.
    used: Resources
    ran_ms: int
    #: Expected run time in milliseconds; 0 if unknown.
    expected_ms: int
    #: Resources of the worker that no task holds.
    worker_free: Resources


class OverrunPolicy(ABC):
    """Chooses the action for one running task; pure."""

    @abstractmethod
    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return the action for this report, regardless of earlier ones."""


class ThrottleCores(OverrunPolicy):
    """Caps a task that uses more than ``tolerance`` times the cores held for it."""

    def __init__(self, tolerance: float = 1.1) -> None:
        self._tolerance = tolerance

    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return THROTTLE or NONE."""
        if usage.used.cores_milli > usage.held.cores_milli * self._tolerance:
            return OverrunAction.THROTTLE
        return OverrunAction.NONE


class CheckpointMemory(OverrunPolicy):
    """Checkpoints a task that exceeds its memory by more than its worker has free.

    While the worker has enough free memory, the task continues. A task that may not
    be repeated is stopped, since it can't be started again on another worker.
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
    """Stops a task beyond ``factor`` times its expected run time and ``floor_ms``.

    Services are never stopped.
    """

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


class MostSeverePolicy(OverrunPolicy):
    """Combines policies by their most severe action."""

    def __init__(self, policies: Sequence[OverrunPolicy]) -> None:
        self._policies = tuple(policies)

    def decide(self, usage: RunningUsage) -> OverrunAction:
        """Return the most severe action of all policies."""
        return max(
            (policy.decide(usage) for policy in self._policies),
            default=OverrunAction.NONE,
        )


class OverrunWatch:
    """Acts after several consecutive overruns, because reports lag and fluctuate.

    The least severe action of those reports is returned, so that one extreme report
    doesn't end a task. An action is not repeated until a report without an overrun.
    """

    def __init__(self, policy: OverrunPolicy, reports: int = 3) -> None:
        self._policy = policy
        self._reports = reports
        self._recent: dict[TaskId, list[OverrunAction]] = {}
        self._last_actions: dict[TaskId, OverrunAction] = {}

    def report(self, usage: RunningUsage) -> OverrunAction:
        """Process a report and return the action to take now."""
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
        least_severe = min(recent)
        if least_severe <= self._last_actions.get(task, OverrunAction.NONE):
            return OverrunAction.NONE
        self._last_actions[task] = least_severe
        return least_severe

    def forget(self, task: TaskId) -> None:
        """Discard the state of a task that no longer runs."""
        self._recent.pop(task, None)
        self._last_actions.pop(task, None)
