"""The jobs of a replayed load pattern."""

from __future__ import annotations

import math
from random import Random

from bench._replay_pattern import JobKind, Pattern
from savorylead.jobs import JobRecord, JobSpec, StepSpec
from savorylead.resources import Resources

#: When a replay begins, in Unix milliseconds.
START_MS = 1_000_000_000


class ReplayLoad:
    """The jobs of a pattern, in the order in which they come."""

    def __init__(self, pattern: Pattern) -> None:
        self._rng = Random(pattern.seed)
        self._pattern = pattern
        self.lengths: dict[str, float] = {}
        self.hopeless: set[str] = set()
        self.cancelled: set[str] = set()
        self.surplus: set[str] = set()

    def arrivals(self) -> list[tuple[int, JobRecord]]:
        found = []
        for kind in self._pattern.jobs:
            at_s = 0.0
            while True:
                at_s += self._rng.expovariate(kind.per_s * _times(kind, at_s))
                if at_s >= self._pattern.seconds:
                    break
                name = f"{kind.name}-{len(found)}"
                at_ms = START_MS + int(at_s * 1000)
                found.append((at_ms, self._job(kind, name, at_ms)))
                if kind.surplus_in_bursts:
                    beyond = 1 - 1 / _times(kind, at_s)
                    if self._rng.random() < beyond:
                        self.surplus.add(name)
        return sorted(found)

    def _job(self, kind: JobKind, name: str, at_ms: int) -> JobRecord:
        rng = self._rng
        tasks = 1 + int(math.log(1 - rng.random()) / math.log(1 - 1 / kind.width))
        length = kind.length_ms * math.exp(rng.gauss(0.0, kind.spread))
        error = kind.estimate_error ** rng.uniform(-1, 1)
        cores = kind.cores
        if kind.cores_spread:
            cores *= math.exp(rng.gauss(0.0, kind.cores_spread))
        cores = min(cores, kind.max_cores)
        self.lengths[name] = length
        if rng.random() < kind.hopeless:
            self.hopeless.add(name)
        if rng.random() < kind.cancelled:
            self.cancelled.add(name)
        step = StepSpec(
            count=tasks,
            resources=Resources(
                int(cores * 1000), kind.memory_mb, rng.choice(kind.accelerators)
            ),
            estimate_ms=max(1, int(length * error)),
            checkpoints=kind.checkpoints,
            gang=kind.gang,
        )
        spec = JobSpec("", (step,))
        return JobRecord(name, "pool", kind.name, "team", at_ms, spec)


def _times(kind: JobKind, at_s: float) -> float:
    for burst in kind.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.for_s:
            return burst.times
    return 1.0
