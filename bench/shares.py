"""Distance from the fair share after demand changes, with lagging digests."""

from __future__ import annotations

import heapq
from random import Random

from bench._mixes import SLOTS, UNLIMITED
from bench._report import report
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.placement import (
    IndexedPlanner,
    Overflow,
    PendingTask,
    Place,
    Policy,
    Preempt,
)
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

SHARDS = 7
WORKERS_A_SHARD = 93
TEAMS = 46
#: Lag of the usage that shards tell each other.
DIGEST_MS = 5_000
STEP_MS = 500
#: 7,500 running tasks and 59 starts a second make 127 s a task.
MEAN_RUN_MS = 127_000
BACKLOG_A_TEAM = 12
#: Until a checkpointed task has saved its progress and its worker has said so.
CHECKPOINT_MS = 3_000
NODE = Resources(16_000, 64_000, 0, SLOTS, 64)


class Fleet:
    """Shards that place the work of teams with an endless backlog."""

    def __init__(self, weights: list[float], policy: Policy) -> None:
        self._random = Random(11)
        self._weights = weights
        self.now_ms = 0
        self.active: set[int] = set()
        self._shards = [IndexedPlanner() for _ in range(SHARDS)]
        self._ends: list[tuple[int, int, TaskId]] = []
        self._waiting = [[0] * TEAMS for _ in range(SHARDS)]
        self._count = 0
        self._tasks: dict[TaskId, PendingTask] = {}
        self._end_ms: dict[TaskId, int] = {}
        self._stopping: set[TaskId] = set()
        self.capacity = NODE.times(SHARDS * WORKERS_A_SHARD)
        self.checkpoints = 0
        for number, planner in enumerate(self._shards):
            planner.set_policy(policy)
            for i in range(WORKERS_A_SHARD):
                worker = Worker(f"w{number}-{i}", f"d{number}", f"r{i // 5}", NODE)
                planner.put_worker(worker, WorkerState.READY)
            for team, weight in enumerate(weights):
                planner.set_share(f"team{team}", weight)
                planner.set_grant(f"team{team}", UNLIMITED)

    def run(self, seconds: int) -> None:
        """Let time pass."""
        for _ in range(seconds * 1000 // STEP_MS):
            self.now_ms += STEP_MS
            while self._ends and self._ends[0][0] <= self.now_ms:
                self._end(*heapq.heappop(self._ends))
            if self.now_ms % DIGEST_MS == 0:
                self._exchange()
            for shard in range(SHARDS):
                self._refill(shard)
                self._plan(shard)

    def _end(self, at_ms: int, shard: int, task_id: TaskId) -> None:
        """End a run, or the run whose checkpoint is done."""
        if self._end_ms.get(task_id) != at_ms:
            return
        del self._end_ms[task_id]
        planner = self._shards[shard]
        if task_id in self._stopping:
            self._stopping.discard(task_id)
            planner.requeue(self._tasks[task_id]._replace(next_attempt=2))
            self._waiting[shard][int(task_id.team[4:])] += 1
            return
        planner.remove(task_id)
        del self._tasks[task_id]

    def _end_at(self, at_ms: int, shard: int, task_id: TaskId) -> None:
        self._end_ms[task_id] = at_ms
        heapq.heappush(self._ends, (at_ms, shard, task_id))

    def distance(self) -> float:
        """Return the largest distance of a team from its share, in fleets."""
        used = [self._used(team) for team in range(TEAMS)]
        shares = [amounts.dominant_share(self.capacity) for amounts in used]
        whole = sum(self._weights[team] for team in self.active)
        return max(
            abs(shares[team] - self._weights[team] / whole * sum(shares))
            for team in self.active
        )

    def _used(self, team: int) -> Resources:
        used = ZERO
        for planner in self._shards:
            used = used.plus(planner.held_by_team(f"team{team}"))
        return used

    def _exchange(self) -> None:
        """Tell every shard what the teams use in the others."""
        names = [f"team{team}" for team in range(TEAMS)]
        held = [[p.held_by_team(name) for name in names] for p in self._shards]
        for number, planner in enumerate(self._shards):
            elsewhere = {}
            for team, name in enumerate(names):
                total = ZERO
                for other in range(SHARDS):
                    if other != number:
                        total = total.plus(held[other][team])
                elsewhere[name] = total
            planner.set_fleet(self.capacity, elsewhere)

    def _refill(self, shard: int) -> None:
        for team in self.active:
            while self._waiting[shard][team] < BACKLOG_A_TEAM:
                self._waiting[shard][team] += 1
                self._count += 1
                cores = self._random.choice((500, 1_000, 1_000, 2_000, 4_000))
                need = Resources(cores, cores * 3, 0, 1, 1)
                task_id = TaskId(f"team{team}", "space", f"r{self._count}")
                spec = TaskSpec(task_id, TaskKind.BATCH, need, "open")
                task = PendingTask(spec, self.now_ms)
                self._tasks[task_id] = task
                self._shards[shard].add_pending(task)

    def _move(self, shard: int, task_id: TaskId) -> None:
        """Queue a task that overflowed in the next shard."""
        team = int(task_id.team[4:])
        other = (shard + 1) % SHARDS
        self._waiting[shard][team] -= 1
        self._waiting[other][team] += 1
        self._shards[other].add_pending(self._tasks[task_id])

    def _plan(self, shard: int) -> None:
        for decision in self._shards[shard].plan(self.now_ms, 10_000):
            if isinstance(decision, Overflow):
                self._move(shard, decision.task)
                continue
            if isinstance(decision, Preempt):
                self.checkpoints += 1
                self._stopping.add(decision.task)
                self._end_at(self.now_ms + CHECKPOINT_MS, shard, decision.task)
                continue
            assert isinstance(decision, Place)
            run_ms = int(self._random.expovariate(1 / MEAN_RUN_MS))
            self._end_at(self.now_ms + run_ms, shard, decision.task)
            self._waiting[shard][int(decision.task.team[4:])] -= 1


def settle(
    name: str,
    weights: list[float],
    before: set[int],
    after: set[int],
    policy: Policy,
) -> None:
    """Report the distance 60 s after the demand changes, and when it is small."""
    fleet = Fleet(weights, policy)
    fleet.active = before
    fleet.run(240)
    fleet.active = after
    fleet.checkpoints = 0
    reached = None
    for second in range(5, 301, 5):
        fleet.run(5)
        if second == 60:
            report("shares", f"{name}_after_60_s", fleet.distance(), "fleets", 0.02)
            report("shares", f"{name}_checkpoints", fleet.checkpoints, "tasks")
        if reached is None and fleet.distance() <= 0.02:
            reached = second
        if reached is not None and second >= 60:
            break
    report("shares", f"{name}_within_0.02", reached or -1, "s", 60)


def main() -> None:
    everyone = set(range(TEAMS))
    equal = [1.0] * TEAMS
    unequal = [1.0 + team % 4 for team in range(TEAMS)]
    even = set(range(0, TEAMS, 2))
    for policy, suffix in ((Policy(), ""), (Policy(rebalance=True), "_rebalance")):
        settle(f"half_join{suffix}", equal, set(range(23)), everyone, policy)
        settle(f"unequal_weights{suffix}", unequal, even, everyone, policy)
        settle(f"one_had_everything{suffix}", equal, {0}, everyone, policy)


if __name__ == "__main__":
    main()
