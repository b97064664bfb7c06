"""Workers and heavy-tailed task mixes of the two users."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.placement import PendingTask, Planner
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker, WorkerState

#: Teams of the size to design for.
TEAM_COUNT = 46
#: Task slots of a worker; 7,500 running tasks on 650 workers need more than eight.
SLOTS = 16
UNLIMITED = Resources(10**12, 10**12, 10**9, 10**9, 10**9)


class WorkerKind(NamedTuple):
    """One size of workers and its part of the fleet."""

    name: str
    capacity: Resources
    parts: int
    rack_size: int


def sized(cores: int, memory_gb: int, accelerators: int) -> Resources:
    return Resources(cores * 1000, memory_gb * 1024, accelerators, SLOTS, 64)


MONTEVERDE = (
    WorkerKind("dispatch", sized(16, 64, 0), 20, 5),
    WorkerKind("veterinary", sized(32, 128, 8), 7, 3),
)
WORKSHOP = (
    WorkerKind("intake", sized(32, 128, 0), 20, 4),
    WorkerKind("imaging", sized(32, 64, 8), 8, 3),
)
USERS = {"monteverde": MONTEVERDE, "workshop": WORKSHOP}


def workers_of(user: str, count: int) -> list[Worker]:
    """Return ``count`` workers in the proportions of the user."""
    kinds = USERS[user]
    parts = sum(kind.parts for kind in kinds)
    workers = []
    for kind in kinds:
        share = round(count * kind.parts / parts)
        if kind is kinds[-1]:
            share = count - len(workers)
        for i in range(share):
            rack = f"{kind.name}-{i // kind.rack_size}"
            workers.append(Worker(f"{kind.name}{i}", "east", rack, kind.capacity))
    return workers


class TaskMix:
    """Draws tasks: many small ones, few large ones, as Pareto laws have it."""

    def __init__(self, random: Random, user: str, round_sizes: bool = True) -> None:
        self._random = random
        self._user = user
        self._round_sizes = round_sizes
        self._count = 0

    def draw(self, now_ms: int, urgent_part: float = 0.02) -> PendingTask:
        """Return a task queued at ``now_ms``."""
        self._count += 1
        random = self._random
        team = f"team{int(random.paretovariate(0.9)) % TEAM_COUNT:02}"
        kind = TaskKind.SERVICE if random.random() < 0.02 else TaskKind.BATCH
        spec = TaskSpec(
            TaskId(team, f"space{random.randrange(6)}", f"r{self._count}"),
            kind,
            self._need(),
            "open",
            urgent=random.random() < urgent_part,
            run_time_ms=int(5_000 * random.paretovariate(1.1)),
        )
        return PendingTask(spec, now_ms)

    def _need(self) -> Resources:
        random = self._random
        cores = min(0.25 * random.paretovariate(0.8), 16.0)
        gb_a_core = random.choice((1.0, 2.0, 4.0, 8.0))
        accelerators = 0
        if random.random() < 0.12:
            accelerators = random.choice((1, 1, 1, 2, 4))
            cores = max(cores, 1.0 * accelerators)
            gb_a_core = 2.0 if self._user == "workshop" else 4.0
        memory_mb = min(cores * gb_a_core, 60.0) * 1024
        cores_milli = cores * 1000
        if self._round_sizes:
            cores_milli = _up(cores_milli, 250)
            memory_mb = _up(memory_mb, 256)
        return Resources(int(cores_milli), int(memory_mb), accelerators, 1, 1)


def _up(amount: float, least: int) -> int:
    """Round up to the least amount times a power of two, or half way between."""
    size = least
    while size < amount:
        if size + size // 2 >= amount and size > least:
            return size + size // 2
        size *= 2
    return size


def prepare(planner: Planner, workers: list[Worker], teams: int = TEAM_COUNT) -> None:
    """Give the planner its workers and equal teams without a limit."""
    capacity = ZERO
    for worker in workers:
        planner.put_worker(worker, WorkerState.READY)
        capacity = capacity.plus(worker.capacity)
    planner.set_fleet(capacity, {})
    for i in range(teams):
        planner.set_share(f"team{i:02}", 1.0)
        planner.set_grant(f"team{i:02}", UNLIMITED)
