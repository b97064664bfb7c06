"""The bounded queue in front of a shard's planner."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from bisect import bisect_left, insort
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from sortedcontainers import SortedSet

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.outcomes import Refusal

from ._drain_rate import DrainRate
from ._retry_hints import RetryHints

#: A team may queue at most this many times the free places of its class.
TEAM_SHARE_FACTOR = 2
#: Work is refused as infeasible when its estimated wait exceeds the time left until its
#: deadline by this factor: the drain rate is an estimate, and a refusal is final.
INFEASIBLE_FACTOR = 1.1


class WorkClass(enum.StrEnum):
    """A class of work with its own queue bound and drain rate; also a metrics label."""

    URGENT = "urgent"
    SERVICE = "service"
    BATCH = "batch"


class WaitingWork(NamedTuple):
    """One queued task, or a whole all-at-once job under the id of its first member."""

    task: TaskId
    work_class: WorkClass
    #: Unix time in milliseconds by which it must start; 0 for no deadline.
    start_by_ms: int = 0


@dataclass(frozen=True)
class Refused:
    """The final refusal of work that has not run and will not run."""

    task: TaskId
    reason: Refusal
    #: Delay before a new request may succeed, in milliseconds; 0 if it never will.
    retry_after_ms: int
    detail: str = ""


def work_class(spec: TaskSpec) -> WorkClass:
    """Return the class that a task is queued in."""
    if spec.urgent:
        return WorkClass.URGENT
    if spec.kind is TaskKind.SERVICE:
        return WorkClass.SERVICE
    return WorkClass.BATCH


class AdmissionQueue(ABC):
    """Decides which work may be queued. Reads no clock; times are Unix milliseconds.

    Admitted work stays admitted until it is removed or returned by ``shed``. The
    planner decides the order of starts; wait estimates assume that it serves the
    teams in rotation.
    """

    @abstractmethod
    def offer(self, work: WaitingWork, now_ms: int) -> Refused | None:
        """Admit new work, or return the refusal. Work already queued is admitted."""

    @abstractmethod
    def record_start(self, task: TaskId, now_ms: int) -> None:
        """Remove work that was placed; the drain rate counts only these starts."""

    @abstractmethod
    def remove(self, task: TaskId, now_ms: int) -> None:
        """Remove cancelled or handed-over work; ignores unknown tasks."""

    @abstractmethod
    def shed(self, now_ms: int) -> list[Refused]:
        """Remove and return work that can't meet its deadline, earliest deadline first.

        The caller makes the refusals durable before it reports them.
        """

    @abstractmethod
    def waiting_count(self, of_class: WorkClass) -> int:
        """Return the number of queued items of the class."""


class _ClassQueue:
    """The queue of one work class: its bound, tasks by team, and deadlines."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.drain = DrainRate()
        self.count = 0
        #: Queued tasks by team, in order of arrival.
        self.teams: dict[str, dict[TaskId, WaitingWork]] = {}
        #: Tasks that have a deadline, ordered by it.
        self.deadlines: SortedSet[tuple[int, TaskId]] = SortedSet()

    def add(self, work: WaitingWork, now_ms: int) -> None:
        self.teams.setdefault(work.task.team, {})[work.task] = work
        self.count += 1
        if work.start_by_ms:
            self.deadlines.add((work.start_by_ms, work.task))
        if self.count == 1:
            self.drain.set_busy(True, now_ms)

    def discard(self, work: WaitingWork, now_ms: int) -> None:
        team = self.teams[work.task.team]
        del team[work.task]
        if not team:
            del self.teams[work.task.team]
        self.count -= 1
        if work.start_by_ms:
            self.deadlines.remove((work.start_by_ms, work.task))
        if self.count == 0:
            self.drain.set_busy(False, now_ms)

    def team_count(self, team: str) -> int:
        return len(self.teams.get(team, ()))

    def ahead_of(self, team: str, depth: int) -> int:
        """Return how many tasks start before the team's task at ``depth`` in its queue.

        Teams are served in rotation, so each other team starts at most ``depth + 1``
        tasks before it.
        """
        others = (len(tasks) for name, tasks in self.teams.items() if name != team)
        return depth + sum(min(count, depth + 1) for count in others)


class FairAdmissionQueue(AdmissionQueue):
    """Bounds each class, and each team within it by a multiple of the free places.

    A team's work is admitted while the team has fewer than TEAM_SHARE_FACTOR times
    the free places queued. A single team can thus fill two thirds of the queue. Teams
    at their bound hold equal parts, and some places stay free for a team that arrives
    later, so admitted work is never evicted to make space.
    """

    def __init__(self, bounds: Mapping[WorkClass, int], hints: RetryHints) -> None:
        self._classes = {name: _ClassQueue(bounds[name]) for name in WorkClass}
        self._queued_work: dict[TaskId, WaitingWork] = {}
        self._hints = hints

    def offer(self, work: WaitingWork, now_ms: int) -> Refused | None:
        """Admit new work, or return the refusal."""
        if work.task in self._queued_work:
            return None
        queue = self._classes[work.work_class]
        if work.start_by_ms and now_ms > work.start_by_ms:
            return Refused(work.task, Refusal.DEADLINE_PASSED, 0)
        waiting = queue.team_count(work.task.team)
        free = queue.bound - queue.count
        if free <= 0 or waiting >= TEAM_SHARE_FACTOR * free:
            return self._refuse_full(work, queue, now_ms)
        if self._is_infeasible(work, queue, waiting, now_ms):
            return self._refuse_infeasible(work, queue, now_ms)
        self._queued_work[work.task] = work
        queue.add(work, now_ms)
        return None

    def record_start(self, task: TaskId, now_ms: int) -> None:
        """Remove work that was placed."""
        work = self._queued_work.get(task)
        if work is not None:
            self._classes[work.work_class].drain.add_start(now_ms)
            self.remove(task, now_ms)

    def remove(self, task: TaskId, now_ms: int) -> None:
        """Remove cancelled or handed-over work."""
        work = self._queued_work.pop(task, None)
        if work is not None:
            self._classes[work.work_class].discard(work, now_ms)

    def shed(self, now_ms: int) -> list[Refused]:
        """Remove and return work that can't meet its deadline."""
        return [
            refused
            for queue in self._classes.values()
            for refused in self._shed_class(queue, now_ms)
        ]

    def waiting_count(self, of_class: WorkClass) -> int:
        """Return the number of queued items of the class."""
        return self._classes[of_class].count

    def _shed_class(self, queue: _ClassQueue, now_ms: int) -> list[Refused]:
        """Refuse infeasible work one by one: each one shortens the wait of the rest."""
        candidates = self._possibly_infeasible(queue, now_ms)
        depths = self._queue_depths(queue, {work.task.team for work in candidates})
        refused_depths: dict[str, list[int]] = {}
        refused = []
        for work in candidates:
            earlier = refused_depths.setdefault(work.task.team, [])
            depth = depths[work.task]
            current_depth = depth - bisect_left(earlier, depth)
            if self._is_infeasible(work, queue, current_depth, now_ms):
                refused.append(self._refuse_infeasible(work, queue, now_ms))
                insort(earlier, depth)
                self.remove(work.task, now_ms)
        return refused

    def _possibly_infeasible(
        self, queue: _ClassQueue, now_ms: int
    ) -> list[WaitingWork]:
        """Return work that would be infeasible if it started last, by deadline."""
        longest_ms = self._wait_ms(queue, queue.count, now_ms)
        horizon_ms = now_ms + int(longest_ms / INFEASIBLE_FACTOR) + 1
        keys = queue.deadlines.irange(
            maximum=(horizon_ms + 1,), inclusive=(True, False)
        )
        return [self._queued_work[task] for _, task in keys]

    def _queue_depths(self, queue: _ClassQueue, teams: set[str]) -> dict[TaskId, int]:
        return {
            task: depth
            for team in teams
            for depth, task in enumerate(queue.teams[team])
        }

    def _is_infeasible(
        self, work: WaitingWork, queue: _ClassQueue, depth: int, now_ms: int
    ) -> bool:
        if not work.start_by_ms:
            return False
        left_ms = work.start_by_ms - now_ms
        if left_ms < 0:
            return True
        wait_ms = self._wait_ms(queue, queue.ahead_of(work.task.team, depth), now_ms)
        return wait_ms > INFEASIBLE_FACTOR * left_ms

    def _wait_ms(self, queue: _ClassQueue, ahead: int, now_ms: int) -> float:
        """Return how long ``ahead`` starts take; 0 if the drain rate is unknown."""
        rate = queue.drain.upper_bound_per_second(now_ms)
        return 0.0 if rate is None else ahead / rate * 1000

    def _refuse_full(
        self, work: WaitingWork, queue: _ClassQueue, now_ms: int
    ) -> Refused:
        rate = queue.drain.per_second(now_ms)
        hint_ms = self._hints.hint_ms(now_ms, 0, rate)
        detail = f"{queue.count} of {queue.bound} {work.work_class} tasks wait"
        return Refused(work.task, Refusal.QUEUE_FULL, hint_ms, detail)

    def _refuse_infeasible(
        self, work: WaitingWork, queue: _ClassQueue, now_ms: int
    ) -> Refused:
        rate = queue.drain.per_second(now_ms)
        wait_ms = self._wait_ms(queue, queue.count, now_ms)
        hint_ms = self._hints.hint_ms(now_ms, int(wait_ms / 2), rate)
        detail = f"{queue.count} {work.work_class} tasks wait for {wait_ms:.0f} ms"
        return Refused(work.task, Refusal.DEADLINE_PASSED, hint_ms, detail)
