"""Admission under overload against an unbounded first-come queue."""

from __future__ import annotations

import random
import time
from collections import deque

from bench._report import percentile, report
from savorylead.admission import (
    FairAdmissionQueue,
    RetryHints,
    WaitingWork,
    WorkClass,
)
from savorylead.contracts import TaskId

CAPACITY_PER_S = 20
ARRIVALS_PER_S = 40
DEADLINE_MS = 20_000
SECONDS = 120
CALLERS = 5_000
WAVE = 10_000
BOUNDS = {WorkClass.URGENT: 1_000, WorkClass.SERVICE: 1_000, WorkClass.BATCH: 1_500}


def _arrivals(rng: random.Random, now_ms: int) -> list[WaitingWork]:
    works = []
    for number in range(ARRIVALS_PER_S):
        # One team sends nine tenths of the work.
        team = "big" if rng.random() < 0.9 else "small"
        task = TaskId(team, "w", f"{now_ms}-{number}")
        works.append(WaitingWork(task, WorkClass.BATCH, now_ms + DEADLINE_MS))
    return works


def _first_come() -> tuple[int, int, list[float]]:
    """Return starts in time, those of the small team, and waits for a refusal."""
    rng = random.Random(2)
    queue: deque[WaitingWork] = deque()
    started = small = 0
    refusals: list[float] = []
    for second in range(SECONDS):
        now_ms = second * 1000
        queue.extend(_arrivals(rng, now_ms))
        places = CAPACITY_PER_S
        while queue and places:
            work = queue.popleft()
            if work.start_by_ms < now_ms:
                refusals.append((now_ms - work.start_by_ms + DEADLINE_MS) / 1000)
                continue
            places -= 1
            started += 1
            small += work.task.team == "small"
    return started, small, refusals


def _admitted() -> tuple[int, int, list[float]]:
    """The same load through the admission queue; teams take turns."""
    rng = random.Random(2)
    queue = FairAdmissionQueue(BOUNDS, RetryHints(random.Random(3)))
    waiting: dict[str, dict[TaskId, int]] = {"big": {}, "small": {}}
    started = small = 0
    refusals: list[float] = []
    for second in range(SECONDS):
        now_ms = second * 1000
        for work in _arrivals(rng, now_ms):
            if queue.offer(work, now_ms):
                refusals.append(0.0)
            else:
                waiting[work.task.team][work.task] = now_ms
        for refused in queue.shed(now_ms):
            arrived_ms = waiting[refused.task.team].pop(refused.task)
            refusals.append((now_ms - arrived_ms) / 1000)
        for place in range(CAPACITY_PER_S):
            first, second_team = ("big", "small")[:: 1 if place % 2 else -1]
            team = waiting[first] or waiting[second_team]
            if not team:
                break
            task = next(iter(team))
            del team[task]
            queue.record_start(task, now_ms + place)
            started += 1
            small += task.team == "small"
    return started, small, refusals


def _measure_overload() -> None:
    naive_started, naive_small, naive_refusals = _first_come()
    started, small, refusals = _admitted()
    report("admission", "started_in_time", started, "tasks", naive_started)
    report("admission", "started_of_small_team", small, "tasks", naive_small)
    report(
        "admission",
        "wait_for_refusal_p50",
        percentile(refusals, 0.5),
        "s",
        percentile(naive_refusals, 0.5),
    )
    report(
        "admission",
        "wait_for_refusal_p99",
        percentile(refusals, 0.99),
        "s",
        percentile(naive_refusals, 0.99),
    )


def _measure_returns() -> None:
    """A lead changes: 5,000 callers are refused within a second."""
    hints = RetryHints(random.Random(3))
    returns = [hints.hint_ms(0, 5_000, 100.0) for _ in range(CALLERS)]
    by_second: dict[int, int] = {}
    for moment in returns:
        by_second[moment // 1000] = by_second.get(moment // 1000, 0) + 1
    rng = random.Random(3)
    naive: dict[int, int] = {}
    for _ in range(CALLERS):
        moment = round(rng.uniform(2_500, 7_500))
        naive[moment // 1000] = naive.get(moment // 1000, 0) + 1
    report(
        "admission",
        "returns_per_s_peak",
        max(by_second.values()),
        "calls/s",
        max(naive.values()),
    )


def _measure_cancel_wave() -> None:
    queue = FairAdmissionQueue(
        {**BOUNDS, WorkClass.BATCH: 4 * WAVE}, RetryHints(random.Random(3))
    )
    works = [
        WaitingWork(TaskId("team", "w", str(number)), WorkClass.BATCH, 1_000_000)
        for number in range(WAVE)
    ]
    for work in works:
        queue.offer(work, 0)
    # Cancelled in another order than accepted.
    random.Random(1).shuffle(works)
    naive = list(works)
    random.Random(4).shuffle(naive)
    began_s = time.perf_counter()
    for work in works:
        queue.remove(work.task, 1)
    spent_s = time.perf_counter() - began_s
    began_s = time.perf_counter()
    for work in works:
        naive.remove(work)
    naive_s = time.perf_counter() - began_s
    report("admission", "cancel_wave_of_10000", spent_s * 1000, "ms", naive_s * 1000)


def main() -> None:
    _measure_overload()
    _measure_returns()
    _measure_cancel_wave()


if __name__ == "__main__":
    main()
