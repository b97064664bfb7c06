"""Workers' speeds, learned from the durations of their tasks.

Load pattern: a quarter of a pool's workers need half the time of the others for the
same work, and the platform does not tell which.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

#: Workers of which speeds are kept, so that memory and the record are bounded.
MAX_WORKERS = 1_024
#: Tasks over which a worker's mean moves, since a worker's speed may change.
WINDOW_TASKS = 16.0
#: Weight of the assumption that a worker is typical, in tasks. The speeds of workers
#: vary more (variance 0.11) than the tasks of a step do (0.03).
PRIOR_TASKS = 0.5
#: Largest logarithm of a task's ratio that is learned from: a machine that is paused
#: for seconds would otherwise count as slow for its next 16 tasks.
MAX_LOG_RATIO = math.log(4)


class WorkerSpeed(NamedTuple):
    """What is recorded of a worker."""

    #: Weight of the observations, in tasks of which the expected duration was exact.
    count: float = 0.0
    #: Mean logarithm of the tasks' durations relative to those on a typical worker.
    mean: float = 0.0
    #: Start of its incarnation in Unix milliseconds; 0 if unknown.
    incarnation_start_ms: int = 0

    @property
    def log_factor(self) -> float:
        """The mean, shrunk towards that of a typical worker."""
        return self.mean * self.count / (self.count + PRIOR_TASKS)


class WorkerSpeeds:
    """Learns the factors by which workers are slower than a typical one."""

    def __init__(self) -> None:
        #: By worker id, least recently observed first.
        self._speeds: dict[str, WorkerSpeed] = {}
        self._factors: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._speeds)

    def __iter__(self) -> Iterator[tuple[str, WorkerSpeed]]:
        return iter(self._speeds.items())

    def __contains__(self, worker: str) -> bool:
        return worker in self._speeds

    def factor(self, worker: str) -> float:
        """Return a worker's factor; 1.0 if unknown."""
        return self._factors.get(worker, 1.0)

    def log_factor(self, worker: str) -> float:
        """Return the logarithm of a worker's factor."""
        speed = self._speeds.get(worker)
        return 0.0 if speed is None else speed.log_factor

    def add(self, worker: str, log_ratio: float, weight: float) -> None:
        """Add a task's duration, relative to that on a typical worker."""
        old = self._speeds.pop(worker, None) or WorkerSpeed()
        count = old.count + weight
        log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
        mean = old.mean + weight / min(count, WINDOW_TASKS) * (log_ratio - old.mean)
        self.set(worker, WorkerSpeed(count, mean, old.incarnation_start_ms))

    def set(self, worker: str, speed: WorkerSpeed) -> None:
        """Set what is known of a worker, as the one observed last."""
        self._speeds.pop(worker, None)
        self._speeds[worker] = speed
        self._factors[worker] = math.exp(speed.log_factor)
        if len(self._speeds) > MAX_WORKERS:
            self._forget(next(iter(self._speeds)))

    def note_incarnation(self, worker: str, incarnation_start_ms: int) -> None:
        """Forget a worker's history if another incarnation answers."""
        speed = self._speeds.get(worker)
        if speed is None or not incarnation_start_ms:
            return
        known_ms = speed.incarnation_start_ms
        if known_ms == incarnation_start_ms:
            return
        if known_ms:
            self._forget(worker)
        else:
            self._speeds[worker] = speed._replace(
                incarnation_start_ms=incarnation_start_ms
            )

    def centre(self) -> float:
        """Make a typical worker's factor 1; return the change of the logarithms.

        Only ratios of factors can be learned, so their common level would drift. The
        typical one is the mean of the middle half: a quarter of the workers that are
        fast does not move it, as it would a mean of all, and where two speeds are about
        equally frequent it does not jump between them, as a median would.
        """
        logs = sorted(speed.log_factor for speed in self._speeds.values())
        if not logs:
            return 0.0
        cut = len(logs) // 4
        middle = logs[cut : len(logs) - cut]
        offset = sum(middle) / len(middle)
        for worker, speed in self._speeds.items():
            moved = WorkerSpeed(
                speed.count, speed.mean - offset, speed.incarnation_start_ms
            )
            self._speeds[worker] = moved
            self._factors[worker] = math.exp(moved.log_factor)
        return offset

    def _forget(self, worker: str) -> None:
        del self._speeds[worker]
        del self._factors[worker]
