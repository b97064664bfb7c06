"""How full workers get under a backlog, against the fractional upper bound."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from bench._mixes import USERS, TaskMix, prepare, workers_of
from bench._report import report
from savorylead.placement import IndexedPlanner, PendingTask, Place
from savorylead.resources import ZERO, Resources
from savorylead.workers import Worker

WORKERS = 81
BACKLOG = 6_000
ROUNDS = 12
#: Part of the running tasks that ends in each round.
TURNOVER = 0.1
NAMES = Resources._fields
#: Tasks of at least this many thousandths of a core count as large.
LARGE_MILLI = 8_000


def upper_bound(
    capacity: Resources, tasks: list[PendingTask], scarce: int
) -> tuple[float, bool]:
    """Return the most of the scarce resource that fractions of tasks could use.

    Each other dimension alone is a fractional knapsack; the least of their
    results bounds what any packing reaches.
    """
    bound = float(capacity[scarce])
    for dimension, whole in enumerate(capacity):
        if dimension == scarce:
            continue
        ordered = sorted(
            (task.spec.resources for task in tasks),
            key=lambda need: need[dimension] / max(need[scarce], 1e-9),
        )
        left, used = float(whole), 0.0
        for need in ordered:
            part = min(1.0, left / need[dimension]) if need[dimension] else 1.0
            left -= part * need[dimension]
            used += part * need[scarce]
        bound = min(bound, used)
    enough = sum(task.spec.resources[scarce] for task in tasks) >= bound
    return bound, enough


Score = Callable[[Resources, Resources, Resources], float]


def leftover(need: Resources, room: Resources, whole: Resources) -> float:
    left = room.minus(need)
    return sum(left[i] / whole[i] for i in range(3) if whole[i])


def alignment(need: Resources, room: Resources, whole: Resources) -> float:
    return -sum(need[i] * room[i] / whole[i] ** 2 for i in range(3) if whole[i])


SCORES: dict[str, Score | None] = {
    "best_fit_all_dimensions": leftover,
    "worst_fit": lambda *amounts: -leftover(*amounts),
    "first_fit": lambda need, room, whole: 0.0,
    "dot_product": alignment,
    "power_of_two": None,
}


class ScanPacker:
    """Places tasks in order by one score, looking at every worker."""

    def __init__(self, workers: list[Worker], score: Score | None, guard: bool) -> None:
        self._random = Random(3)
        self._score = score
        self._guard = guard
        self._room = [worker.capacity for worker in workers]
        self._whole = [worker.capacity for worker in workers]
        self.running: list[tuple[PendingTask, int]] = []

    def fill(self, tasks: list[PendingTask]) -> list[PendingTask]:
        """Start what fits and return the rest."""
        rest = []
        stuck: set[Resources] = set()
        for task in tasks:
            need = task.spec.resources
            index = None if need in stuck else self._choose(need)
            if index is None:
                stuck.add(need)
                rest.append(task)
                continue
            self._room[index] = self._room[index].minus(need)
            self.running.append((task, index))
        return rest

    def end(self, random: Random) -> None:
        random.shuffle(self.running)
        for _ in range(int(len(self.running) * TURNOVER)):
            task, index = self.running.pop()
            self._room[index] = self._room[index].plus(task.spec.resources)

    def _choose(self, need: Resources) -> int | None:
        fitting = [i for i, room in enumerate(self._room) if need.fits(room)]
        if not fitting:
            return None
        if self._guard and not need.accelerators:
            plain = [i for i in fitting if not self._whole[i].accelerators]
            fitting = plain or fitting
        score = self._score
        if score is None:
            fitting = [self._random.choice(fitting) for _ in range(2)]
            score = SCORES["worst_fit"]
        return min(fitting, key=lambda i: score(need, self._room[i], self._whole[i]))


def large_in(tasks: Iterable[PendingTask]) -> int:
    return sum(task.spec.resources.cores_milli >= LARGE_MILLI for task in tasks)


def mean(values: list[float]) -> float:
    """Return the mean of the rounds after the first two."""
    return sum(values[2:]) / len(values[2:])


def scanned(user: str, score: Score | None, scarce: int) -> tuple[float, float]:
    """Return the part of the bound that a policy uses, and its large tasks."""
    workers = workers_of(user, WORKERS)
    mix, random = TaskMix(Random(7), user), Random(9)
    packer = ScanPacker(workers, score, guard=True)
    waiting: list[PendingTask] = []
    parts, large = [], []
    for _ in range(ROUNDS):
        waiting += [mix.draw(0, 0.0) for _ in range(BACKLOG - len(waiting))]
        offered = waiting + [task for task, _ in packer.running]
        waiting = packer.fill(waiting)
        used = sum(task.spec.resources[scarce] for task, _ in packer.running)
        parts.append(used / upper_bound(total_of(workers), offered, scarce)[0])
        large.append(large_in(task for task, _ in packer.running))
        packer.end(random)
    return mean(parts), mean(large)


def planned(user: str, scarce: int) -> tuple[float, float]:
    """Return the part of the bound that the planner uses, and its large tasks."""
    workers = workers_of(user, WORKERS)
    mix, random = TaskMix(Random(7), user), Random(9)
    planner = IndexedPlanner()
    prepare(planner, workers)
    waiting: dict = {}
    running: dict = {}
    parts, large = [], []
    for round_number in range(ROUNDS):
        while len(waiting) < BACKLOG:
            task = mix.draw(round_number * 1_000, 0.0)
            waiting[task.spec.id] = task
            planner.add_pending(task)
        offered = [*waiting.values(), *running.values()]
        for decision in planner.plan(round_number * 1_000, 10**6):
            if isinstance(decision, Place):
                running[decision.task] = waiting.pop(decision.task)
        used = sum(task.spec.resources[scarce] for task in running.values())
        parts.append(used / upper_bound(total_of(workers), offered, scarce)[0])
        large.append(large_in(running.values()))
        ending = random.sample(sorted(running), int(len(running) * TURNOVER))
        for task_id in ending:
            del running[task_id]
            planner.remove(task_id)
    return mean(parts), mean(large)


def total_of(workers: list[Worker]) -> Resources:
    capacity = ZERO
    for worker in workers:
        capacity = capacity.plus(worker.capacity)
    return capacity


def scarce_resource(user: str) -> int:
    """Return the dimension of which the mix asks the largest part."""
    mix = TaskMix(Random(7), user)
    need = total_of(
        [Worker("", "", "", mix.draw(0).spec.resources) for _ in range(BACKLOG)]
    )
    capacity = total_of(workers_of(user, WORKERS))
    return max(range(3), key=lambda i: need[i] / capacity[i])


def main() -> None:
    for user in USERS:
        scarce = scarce_resource(user)
        name = f"{user}_{NAMES[scarce]}"
        ours, ours_large = planned(user, scarce)
        report("packing", f"planner_{name}", ours, "part of bound", 0.95)
        report("packing", f"planner_{user}_large", ours_large, "tasks")
        for policy, score in SCORES.items():
            value, large = scanned(user, score, scarce)
            report("packing", f"{policy}_{name}", value, "part of bound", ours)
            report("packing", f"{policy}_{user}_large", large, "tasks", ours_large)


if __name__ == "__main__":
    main()
