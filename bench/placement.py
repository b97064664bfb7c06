"""Decisions a second and per decision, memory, and waves of removals.

Times are processor times, since other programs may share the machine.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from random import Random

from bench._mixes import TaskMix, prepare, workers_of
from bench._report import percentile, report
from savorylead.contracts import TaskId, TaskKind, TaskSpec
from savorylead.placement import (
    IndexedPlanner,
    NaivePlanner,
    PendingTask,
    Place,
    Planner,
    Preempt,
)
from savorylead.resources import Resources

BACKLOG = 10_000
SIZES = (27, 650, 6_500)
#: How many tasks end between two calls of ``plan``.
BURST = 16


class SteadyShard:
    """A full shard with a constant backlog: tasks end, others start."""

    def __init__(self, planner: Planner, workers: int, round_sizes: bool) -> None:
        self.planner = planner
        self.now_ms = 1_000_000
        self._random = Random(5)
        self._mix = TaskMix(self._random, "monteverde", round_sizes)
        self.running: list[TaskId] = []
        self.pending: set[TaskId] = set()
        prepare(planner, workers_of("monteverde", workers))
        self.refill()

    def refill(self) -> None:
        """Queue tasks until the backlog has its size again."""
        while len(self.pending) < BACKLOG:
            task = self._mix.draw(self.now_ms)
            self.pending.add(task.spec.id)
            self.planner.add_pending(task)

    def end_some(self, count: int) -> None:
        """Remove running tasks at random."""
        for _ in range(min(count, len(self.running))):
            index = self._random.randrange(len(self.running))
            self.running[index], self.running[-1] = (
                self.running[-1],
                self.running[index],
            )
            self.planner.remove(self.running.pop())

    def take(self, decisions: list) -> int:
        """Note what was decided; checkpoints end at once."""
        for decision in decisions:
            if isinstance(decision, Preempt):
                self.running.remove(decision.task)
                self.planner.remove(decision.task)
                continue
            self.pending.discard(decision.task)
            if isinstance(decision, Place):
                self.running.append(decision.task)
        return len(decisions)

    def fill(self) -> None:
        """Start tasks until nothing more fits."""
        while self.take(self.planner.plan(self.now_ms, 1_000)):
            self.refill()


def measure_rate(shard: SteadyShard, seconds: float) -> tuple[float, float]:
    """Return decisions a second in ``plan``, and with removals and arrivals.

    The shard's clock goes as fast as the processor's, so this is the most that
    one core decides. Bursts of tasks end between two calls.
    """
    started = time.perf_counter()
    start_ms = shard.now_ms
    planning = 0.0
    decisions = 0
    while time.perf_counter() - started < seconds:
        shard.now_ms = start_ms + int(1000 * (time.perf_counter() - started))
        shard.end_some(BURST)
        before = time.process_time()
        found = shard.planner.plan(shard.now_ms, 4 * BURST)
        planning += time.process_time() - before
        decisions += shard.take(found)
        shard.refill()
    return decisions / planning, decisions / (time.perf_counter() - started)


def measure_each(shard: SteadyShard, count: int) -> list[float]:
    """Return the microseconds of calls that make at most one decision.

    A task ends every 15 ms, which is faster than the fleet's peak of 59 a second,
    and all work that is due by time falls into these calls.
    """
    taken = []
    while len(taken) < count:
        shard.now_ms += 15
        shard.end_some(1)
        found = [None]
        while found and len(taken) < count:
            before = time.process_time()
            found = shard.planner.plan(shard.now_ms, 1)
            taken.append((time.process_time() - before) * 1e6)
            shard.take(found)
        shard.refill()
    return taken


def bench_indexed(workers: int, round_sizes: bool) -> tuple[float, float]:
    shard = SteadyShard(IndexedPlanner(), workers, round_sizes)
    shard.fill()
    gc.collect()
    gc.freeze()
    rate, whole_rate = measure_rate(shard, 2.0)
    each = measure_each(shard, 10_000)
    gc.collect()
    gc.disable()
    uncollected = measure_each(shard, 5_000)
    gc.enable()
    suffix = f"{workers}_workers" + ("" if round_sizes else "_uneven_sizes")
    report("placement", f"decisions_{suffix}", rate, "1/s", 40_000)
    report("placement", f"decisions_with_churn_{suffix}", whole_rate, "1/s")
    report("placement", f"decision_p50_{suffix}", percentile(each, 0.5), "us")
    report("placement", f"decision_p99_{suffix}", percentile(each, 0.99), "us", 500)
    report("placement", f"decision_max_{suffix}", max(each), "us")
    longest = max(uncollected)
    report("placement", f"decision_max_no_collector_{suffix}", longest, "us")
    report("placement", f"running_{suffix}", len(shard.running), "tasks")
    gc.unfreeze()
    return rate, percentile(each, 0.99)


def bench_naive(indexed_rate: float) -> None:
    """Measure a few decisions of the naive planner on the smallest shard."""
    shard = SteadyShard(NaivePlanner(), 27, True)
    filled = IndexedPlanner()
    model = SteadyShard(filled, 27, True)
    model.fill()
    for task_id in model.running:
        entry = filled._running[task_id]
        shard.planner.add_running(entry.task, entry.row.name, entry.since_ms)
        shard.running.append(task_id)
    shard.end_some(2)
    before = time.perf_counter()
    decisions = shard.take(shard.planner.plan(shard.now_ms, 2))
    rate = decisions / (time.perf_counter() - before)
    report("placement", "decisions_naive_27_workers", rate, "1/s")
    report("placement", "indexed_against_naive_27", indexed_rate, "1/s", rate)


def bench_wave() -> None:
    """Remove 10,000 waiting tasks while decisions go on."""
    shard = SteadyShard(IndexedPlanner(), 650, True)
    shard.fill()
    wave = list(shard.pending)
    pauses = []
    removals = []
    for start in range(0, len(wave), 50):
        before = time.perf_counter()
        for task_id in wave[start : start + 50]:
            if shard.planner.remove(task_id):
                shard.pending.discard(task_id)
        removals.append((time.perf_counter() - before) * 1e6 / 50)
        shard.end_some(1)
        shard.now_ms += 5
        before = time.perf_counter()
        shard.take(shard.planner.plan(shard.now_ms, 1))
        pauses.append((time.perf_counter() - before) * 1e3)
    report("placement", "cancel_wave_longest_decision", max(pauses), "ms")
    report("placement", "cancel_wave_removal", sum(removals) / len(removals), "us")


def bench_jobs() -> None:
    """Measure decisions while large jobs wait and one holds a reservation."""
    shard = SteadyShard(IndexedPlanner(), 93, True)
    shard.fill()
    need = Resources(8_000, 8_000, 0, 1, 1)
    for number in range(3):
        for member in range(40):
            task_id = TaskId("team02", "space", f"job{number}", member)
            spec = TaskSpec(task_id, TaskKind.ALL_AT_ONCE, need, "open", members=40)
            shard.planner.add_pending(PendingTask(spec, shard.now_ms))
    each = measure_each(shard, 5_000)
    report("placement", "jobs_decision_p50_93_workers", percentile(each, 0.5), "us")
    p99 = percentile(each, 0.99)
    report("placement", "jobs_decision_p99_93_workers", p99, "us", 500)


def bench_memory() -> None:
    tracemalloc.start()
    planner = IndexedPlanner()
    workers = workers_of("monteverde", 650)
    before = tracemalloc.get_traced_memory()[0]
    prepare(planner, workers)
    after = tracemalloc.get_traced_memory()[0]
    report("placement", "memory_per_worker", (after - before) / 650, "bytes")
    mix = TaskMix(Random(1), "monteverde")
    tasks = [mix.draw(0) for _ in range(BACKLOG)]
    before = tracemalloc.get_traced_memory()[0]
    for task in tasks:
        planner.add_pending(task)
    after = tracemalloc.get_traced_memory()[0]
    waiting = (after - before) / BACKLOG
    report("placement", "memory_per_waiting", waiting, "bytes")
    before = after
    placed = len(planner.plan(0, BACKLOG))
    after = tracemalloc.get_traced_memory()[0]
    running = waiting + (after - before) / placed
    report("placement", "memory_per_running", running, "bytes")
    tracemalloc.stop()


def main() -> None:
    rates = {}
    for workers in SIZES:
        rates[workers] = bench_indexed(workers, round_sizes=True)
    cost = rates[650][0] / rates[6_500][0]
    report("placement", "cost_6500_against_650", cost, "ratio", 2.0)
    bench_indexed(650, round_sizes=False)
    bench_naive(rates[27][0])
    bench_wave()
    bench_jobs()
    bench_memory()


if __name__ == "__main__":
    main()
