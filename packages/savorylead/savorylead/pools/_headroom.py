"""Headroom: cores reserved for the most urgent queue.

Load pattern: short urgent steps arrive in bursts while every worker is already full
of less urgent tasks that run for seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from savorylead.jobs import StepRun

from ._contracts import Queue
from ._pool_worker import PoolWorker

#: Half-life of the peak demand, in milliseconds.
HALF_LIFE_MS = 6_000
#: Largest share of a pool's cores that is reserved.
MAX_SHARE = 0.25
#: Priority of the queues that the headroom serves.
URGENT_PRIORITY = 0


class UrgentHeadroom:
    """Tracks a decaying peak of the cores that urgent steps hold or wait for."""

    def __init__(self) -> None:
        self._peak_cores_milli = 0.0
        self._at_ms = 0

    def cores_milli(
        self,
        workers: Iterable[PoolWorker],
        waiting: Sequence[StepRun],
        queues: Mapping[str, Queue],
        now_ms: int,
    ) -> int:
        """Return the millicores that less urgent work must leave free."""
        urgent = {q.name for q in queues.values() if q.priority == URGENT_PRIORITY}
        if not urgent or len(urgent) == len(queues):
            return 0
        held = 0
        capacity = 0
        for worker in workers:
            if worker.accepts_tasks:
                capacity += worker.entry.capacity.cores_milli
            for run in worker.runs.values():
                if run.task.step.job.record.queue in urgent:
                    held += run.task.step.spec.resources.cores_milli
        demand = held + sum(
            step.spec.resources.cores_milli * len(step.waiting())
            for step in waiting
            if step.job.record.queue in urgent
        )
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = now_ms
        self._peak_cores_milli *= 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._peak_cores_milli = max(self._peak_cores_milli, demand)
        max_cores_milli = MAX_SHARE * capacity
        return int(max(0.0, min(max_cores_milli, self._peak_cores_milli - held)))
