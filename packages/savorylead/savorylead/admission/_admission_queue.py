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

#: A team may wait with at most this many times what its class has still free.
TEAM_SHARE_FACTOR = 2
#: Work is hopeless when it would start after this many times the time it has left:
#: the drain rate is an estimate, and a refusal is final.
HOPELESS_FACTOR = 1.1


class WorkClass(enum.StrEnum):
    """Work with a bound and a drain rate of its own; also a metrics label."""

    URGENT = "urgent"
    SERVICE = "service"
    BATCH = "batch"


class WaitingWork(NamedTuple):
    """One task that waits, or a whole all-at-once job under its first member."""

    task: TaskId
    work_class: WorkClass
    #: Unix time in milliseconds by which it must start; 0 for no deadline.
    start_by_ms: int = 0


@dataclass(frozen=True)
class Refused:
    """The final answer to work that was not run and will not be."""

    task: TaskId
    reason: Refusal
    #: After how many milliseconds a new request is worth while; 0 for never.
    retry_after_ms: int
    detail: str = ""


def work_class(spec: TaskSpec) -> WorkClass:
    """Return the class that a task waits in."""
    if spec.urgent:
        return WorkClass.URGENT
    if spec.kind is TaskKind.SERVICE:
        return WorkClass.SERVICE
    return WorkClass.BATCH


class AdmissionQueue(ABC):
    """Decides what may wait. Pure; times are Unix milliseconds.

    What it admits stays admitted until it is removed or returned by ``shed``. The
    order of starts is the planner's, except that teams are expected to take turns.
    """

    @abstractmethod
    def offer(self, work: WaitingWork, now_ms: int) -> Refused | None:
        """Admit new work, or return why not. Work that waits already is admitted."""

    @abstractmethod
    def started(self, task: TaskId, now_ms: int) -> None:
        """Remove work that was placed; this is what the drain rate counts."""

    @abstractmethod
    def removed(self, task: TaskId, now_ms: int) -> None:
        """Remove work that was cancelled or handed elsewhere; unknown is ignored."""

    @abstractmethod
    def shed(self, now_ms: int) -> list[Refused]:
        """Remove and return what can't start in time any more, oldest deadline first.

        The caller makes the refusals durable before it tells anyone.
        """

    @abstractmethod
    def waiting(self, of_class: WorkClass) -> int:
        """Return how much work of the class waits."""


class _ClassQueue:
    """One class: its bound, its teams and its deadlines."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.drain = DrainRate()
        self.count = 0
        #: Waiting tasks by team, in the order of arrival.
        self.teams: dict[str, dict[TaskId, WaitingWork]] = {}
        #: Work with a deadline, by deadline.
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
        """Return how many start before the team's next one behind ``depth`` others.

        Teams take turns, so no other team starts more than ``depth + 1`` before it.
        """
        others = (len(tasks) for name, tasks in self.teams.items() if name != team)
        return depth + sum(min(count, depth + 1) for count in others)


class FairAdmissionQueue(AdmissionQueue):
    """Bounds each class, and each team by what its class has still free.

    A team is admitted while it waits with less than TEAM_SHARE_FACTOR times the
    free places. One team alone can thus fill two thirds; when many teams are at
    their bound they hold equal parts, and some places stay free for a team that
    comes later. Nothing that was admitted has to be thrown out for it.
    """

    def __init__(self, bounds: Mapping[WorkClass, int], hints: RetryHints) -> None:
        self._classes = {name: _ClassQueue(bounds[name]) for name in WorkClass}
        self._works: dict[TaskId, WaitingWork] = {}
        self._hints = hints

    def offer(self, work: WaitingWork, now_ms: int) -> Refused | None:
        """Admit new work, or return why not."""
        if work.task in self._works:
            return None
        queue = self._classes[work.work_class]
        if work.start_by_ms and now_ms > work.start_by_ms:
            return Refused(work.task, Refusal.DEADLINE_PASSED, 0)
        waiting = queue.team_count(work.task.team)
        free = queue.bound - queue.count
        if free <= 0 or waiting >= TEAM_SHARE_FACTOR * free:
            return self._refuse_full(work, queue, now_ms)
        if self._is_hopeless(work, queue, waiting, now_ms):
            return self._refuse_hopeless(work, queue, now_ms)
        self._works[work.task] = work
        queue.add(work, now_ms)
        return None

    def started(self, task: TaskId, now_ms: int) -> None:
        """Remove work that was placed."""
        work = self._works.get(task)
        if work is not None:
            self._classes[work.work_class].drain.add_start(now_ms)
            self.removed(task, now_ms)

    def removed(self, task: TaskId, now_ms: int) -> None:
        """Remove work that was cancelled or handed elsewhere."""
        work = self._works.pop(task, None)
        if work is not None:
            self._classes[work.work_class].discard(work, now_ms)

    def shed(self, now_ms: int) -> list[Refused]:
        """Remove and return what can't start in time any more."""
        return [
            refused
            for queue in self._classes.values()
            for refused in self._shed_class(queue, now_ms)
        ]

    def waiting(self, of_class: WorkClass) -> int:
        """Return how much work of the class waits."""
        return self._classes[of_class].count

    def _shed_class(self, queue: _ClassQueue, now_ms: int) -> list[Refused]:
        """Refuse hopeless work one by one: each refusal shortens the others' wait."""
        due = self._may_be_hopeless(queue, now_ms)
        depths = self._depths(queue, {work.task.team for work in due})
        gone: dict[str, list[int]] = {}
        refused = []
        for work in due:
            before = gone.setdefault(work.task.team, [])
            depth = depths[work.task]
            now_ahead = depth - bisect_left(before, depth)
            if self._is_hopeless(work, queue, now_ahead, now_ms):
                refused.append(self._refuse_hopeless(work, queue, now_ms))
                insort(before, depth)
                self.removed(work.task, now_ms)
        return refused

    def _may_be_hopeless(self, queue: _ClassQueue, now_ms: int) -> list[WaitingWork]:
        """Return work that is hopeless if it is the last to start, by deadline."""
        longest_ms = self._wait_ms(queue, queue.count, now_ms)
        horizon_ms = now_ms + int(longest_ms / HOPELESS_FACTOR) + 1
        keys = queue.deadlines.irange(
            maximum=(horizon_ms + 1,), inclusive=(True, False)
        )
        return [self._works[task] for _, task in keys]

    def _depths(self, queue: _ClassQueue, teams: set[str]) -> dict[TaskId, int]:
        return {
            task: depth
            for team in teams
            for depth, task in enumerate(queue.teams[team])
        }

    def _is_hopeless(
        self, work: WaitingWork, queue: _ClassQueue, depth: int, now_ms: int
    ) -> bool:
        if not work.start_by_ms:
            return False
        left_ms = work.start_by_ms - now_ms
        if left_ms < 0:
            return True
        wait_ms = self._wait_ms(queue, queue.ahead_of(work.task.team, depth), now_ms)
        return wait_ms > HOPELESS_FACTOR * left_ms

    def _wait_ms(self, queue: _ClassQueue, ahead: int, now_ms: int) -> float:
        """Return how long that many starts take; 0 if the rate is not known."""
        rate = queue.drain.at_most_per_second(now_ms)
        return 0.0 if rate is None else ahead / rate * 1000

    def _refuse_full(
        self, work: WaitingWork, queue: _ClassQueue, now_ms: int
    ) -> Refused:
        rate = queue.drain.per_second(now_ms)
        hint_ms = self._hints.hint_ms(now_ms, 0, rate)
        detail = f"{queue.count} of {queue.bound} {work.work_class} tasks wait"
        return Refused(work.task, Refusal.QUEUE_FULL, hint_ms, detail)

    def _refuse_hopeless(
        self, work: WaitingWork, queue: _ClassQueue, now_ms: int
    ) -> Refused:
        rate = queue.drain.per_second(now_ms)
        wait_ms = self._wait_ms(queue, queue.count, now_ms)
        hint_ms = self._hints.hint_ms(now_ms, int(wait_ms / 2), rate)
        detail = f"{queue.count} {work.work_class} tasks wait for {wait_ms:.0f} ms"
        return Refused(work.task, Refusal.DEADLINE_PASSED, hint_ms, detail)
