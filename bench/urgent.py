"""Waiting time of urgent tasks on a nearly full fleet, by replayed decisions."""

from __future__ import annotations

import heapq
from random import Random

from bench._mixes import TaskMix, prepare, workers_of
from bench._report import percentile, report
from savorylead.contracts import TaskId, TaskKind
from savorylead.placement import (
    IndexedPlanner,
    Overflow,
    PendingTask,
    Place,
    Policy,
    Preempt,
)
from savorylead.resources import Resources

SHARDS = 7
WORKERS = 650
STARTS_A_SECOND = 59
SECONDS = 240
#: Between two calls of ``plan`` of a shard.
PLAN_MS = 100
#: Until a preempted task has saved its progress and its worker has said so.
CHECKPOINT_MS = 3_000
#: Until a task that overflowed is queued in another shard.
MOVE_MS = 50
MEAN_RUN_MS = 127_000
URGENT_PART = 0.05
FULL = 0.95
#: Tasks that found no room before the fleet counts as full.
MAX_MISSES = 2_000


class Replay:
    """Steps from event to event through the decisions of several shards."""

    def __init__(self, policy: Policy) -> None:
        self._random = Random(13)
        self._mix = TaskMix(self._random, "monteverde")
        self._events: list[tuple[int, int, str, tuple]] = []
        self._number = 0
        self._where: dict[TaskId, int] = {}
        self._tasks: dict[TaskId, PendingTask] = {}
        self._started: dict[TaskId, int] = {}
        self.waits_ms: list[float] = []
        self.preemptions = 0
        self.overflows = 0
        self.fill_at_start = 0.0
        self.shards: list[IndexedPlanner] = []
        workers = workers_of("monteverde", WORKERS)
        for number in range(SHARDS):
            planner = IndexedPlanner()
            planner.set_policy(policy)
            prepare(planner, workers[number::SHARDS])
            self.shards.append(planner)
        cores = sum(worker.capacity.cores_milli for worker in workers)
        self._target = FULL * cores
        self._held = 0

    def at(self, at_ms: int, name: str, *args: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, name, args))

    def run(self) -> None:
        self._fill()
        self.fill_at_start = self.fill()
        for i in range(SECONDS * STARTS_A_SECOND):
            self.at(int(i * 1000 / STARTS_A_SECOND), "arrive")
        for number in range(SHARDS):
            for at_ms in range(0, SECONDS * 1000, PLAN_MS):
                self.at(at_ms + number, "plan", number)
        while self._events:
            now_ms, _, name, args = heapq.heappop(self._events)
            if now_ms > SECONDS * 1000:
                break
            getattr(self, f"_{name}")(now_ms, *args)

    def _fill(self) -> None:
        misses = 0
        while self._held < self._target and misses < MAX_MISSES:
            task = self._mix.draw(0, 0.0)
            number = self._random.randrange(SHARDS)
            self._take(number, self.shards[number].place_now([task], 0), 0, task)
            if task.spec.id not in self._started:
                self._tasks.pop(task.spec.id)
                self.shards[number].remove(task.spec.id)
                misses += 1

    def _arrive(self, now_ms: int) -> None:
        task = self._mix.draw(now_ms, URGENT_PART)
        number = self._random.randrange(SHARDS)
        self._submit(now_ms, number, task)

    def _submit(self, now_ms: int, number: int, task: PendingTask) -> None:
        self._tasks[task.spec.id] = task
        found = self.shards[number].place_now([task], now_ms)
        self._take(number, found, now_ms, task)

    def _plan(self, now_ms: int, number: int) -> None:
        self._take(number, self.shards[number].plan(now_ms, 200), now_ms)

    def _end(self, now_ms: int, task_id: TaskId, started_ms: int) -> None:
        if self._started.get(task_id) == started_ms:
            del self._started[task_id]
            self._held -= self._tasks[task_id].spec.resources.cores_milli
            self.shards[self._where[task_id]].remove(task_id)

    def _checkpointed(self, now_ms: int, number: int, task_id: TaskId) -> None:
        if self._started.pop(task_id, None) is not None:
            task = self._tasks[task_id]
            self._held -= task.spec.resources.cores_milli
            self.shards[number].requeue(task._replace(next_attempt=2))

    def _take(
        self,
        number: int,
        decisions: list,
        now_ms: int,
        new: PendingTask | None = None,
    ) -> None:
        if new is not None:
            self._tasks[new.spec.id] = new
        for decision in decisions:
            task = self._tasks[decision.task]
            if isinstance(decision, Preempt):
                self.preemptions += 1
                at_ms = now_ms + CHECKPOINT_MS
                self.at(at_ms, "checkpointed", number, decision.task)
            elif isinstance(decision, Overflow):
                self.overflows += 1
                other = (number + 1) % SHARDS
                self.at(now_ms + MOVE_MS, "submit", other, task)
            elif isinstance(decision, Place):
                self._start(now_ms, number, task)

    def _start(self, now_ms: int, number: int, task: PendingTask) -> None:
        spec = task.spec
        if spec.urgent:
            self.waits_ms.append(now_ms - task.queued_at_ms)
        self._held += spec.resources.cores_milli
        self._where[spec.id] = number
        self._started[spec.id] = now_ms
        if spec.kind is TaskKind.BATCH:
            run_ms = int(self._random.expovariate(1 / MEAN_RUN_MS))
            self.at(now_ms + run_ms, "end", spec.id, now_ms)

    def unserved_waits(self) -> list[float]:
        """Return how long the urgent tasks that still wait have waited."""
        end_ms = SECONDS * 1000
        return [
            end_ms - task.queued_at_ms
            for task in self._tasks.values()
            if task.spec.urgent and self._waits(task.spec.id)
        ]

    def _waits(self, task_id: TaskId) -> bool:
        return task_id not in self._where

    def fill(self) -> float:
        held = Resources()
        whole = Resources()
        for planner in self.shards:
            for team in range(46):
                held = held.plus(planner.held_by_team(f"team{team:02}"))
        for worker in workers_of("monteverde", WORKERS):
            whole = whole.plus(worker.capacity)
        return held.cores_milli / whole.cores_milli


def replay(name: str, policy: Policy) -> None:
    run = Replay(policy)
    run.run()
    waits = run.waits_ms + run.unserved_waits()
    report("urgent", f"{name}_wait_p50", percentile(waits, 0.5), "ms")
    report("urgent", f"{name}_wait_p99", percentile(waits, 0.99), "ms", 7_500)
    report("urgent", f"{name}_wait_max", max(waits), "ms")
    report("urgent", f"{name}_tasks", len(waits), "tasks")
    report("urgent", f"{name}_still_waiting", len(run.unserved_waits()), "tasks")
    report("urgent", f"{name}_preemptions", run.preemptions, "tasks")
    report("urgent", f"{name}_held_at_start", run.fill_at_start, "part of cores")
    report("urgent", f"{name}_held_at_end", run.fill(), "part of cores")


def main() -> None:
    replay("preemption", Policy())
    replay("without_preemption", Policy(preemption=False))


if __name__ == "__main__":
    main()
