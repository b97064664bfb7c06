"""Classes of worker speed, and which tasks prefer which class.

Load pattern: a quarter of a pool's workers do in 0.55 units of time what takes the
others 1.2. A task is not moved once it runs, so urgent tasks that best fit places on
slow workers miss their objective while batch work occupies the fast ones.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from savorylead.jobs import StepRun

from ._contracts import Queue
from ._durations import DurationEstimator
from ._pool_worker import PoolWorker

#: Ratio of duration factors from one class to the next.
CLASS_RATIO = 1.5
#: Bounds within which factors are told apart, so that each has a finite class.
MIN_FACTOR = 0.01
MAX_FACTOR = 100.0
#: Classes of workers clearly faster and clearly slower than a typical one; those of
#: typical workers are 0.
FAST, SLOW = -1, 1
#: Priority of the most urgent queues.
URGENT_PRIORITY = 0


def speed_class(factor: float) -> int:
    """Return the class of a worker's duration factor; lower is faster.

    The logarithm is rounded towards zero, so that all factors between 1 / CLASS_RATIO
    and CLASS_RATIO are one class. With rounding to nearest, the slower three quarters
    of such a pool, whose factor is 1.22, would be divided at 1.225 by noise alone.
    There are three classes, as noise would divide the fast workers at the square of the
    ratio.
    """
    bounded = min(MAX_FACTOR, max(MIN_FACTOR, factor))
    number = int(math.log(bounded) / math.log(CLASS_RATIO))
    return max(FAST, min(SLOW, number))


class SpeedRanks:
    """Ranks workers by their speed for the steps of one pass. Immutable."""

    def __init__(self, classes: Mapping[str, int], signs: Mapping[str, int]) -> None:
        """``signs`` has 1 for queues that prefer fast workers, -1 to avoid them."""
        #: Ranks of workers for finite tasks outside gangs, by queue and worker.
        self.by_queue: dict[str, dict[str, int]] = {
            queue: {worker: _rank(sign, number) for worker, number in classes.items()}
            for queue, sign in signs.items()
        }

    def rank(self, step: StepRun, worker: PoolWorker) -> int:
        """Return the rank of a worker for a task of the step; lower is better.

        A gang is as fast as its slowest member, and long-running and filling tasks do
        not end: they rank all workers alike.
        """
        spec = step.spec
        if spec.gang or spec.long_running or spec.fills:
            return 0
        return self.by_queue[step.job.record.queue][worker.id]


def speed_ranks(
    durations: DurationEstimator,
    workers: Iterable[PoolWorker],
    queues: Mapping[str, Queue],
) -> SpeedRanks | None:
    """Return the ranks for one pass; None if they tell no workers apart."""
    classes = {w.id: speed_class(durations.factor(w.id)) for w in workers}
    signs = _signs(queues)
    if not any(signs.values()) or len(set(classes.values())) < 2:
        return None
    return SpeedRanks(classes, signs)


def _rank(sign: int, number: int) -> int:
    """Return the rank of workers of a class; lower is better.

    Less urgent tasks only avoid fast workers: if they preferred the slowest ones, a
    worker that is impaired would be filled with them.
    """
    return sign * number if sign >= 0 else max(0, -number)


def _signs(queues: Mapping[str, Queue]) -> dict[str, int]:
    """Return which queues prefer fast workers (1), avoid them (-1) or neither (0).

    A queue has no preference if its pool has no queues of the other kind: fast workers
    are left free only where urgent tasks need them.
    """
    with_urgent = {q.pool for q in queues.values() if q.priority <= URGENT_PRIORITY}
    with_others = {q.pool for q in queues.values() if q.priority > URGENT_PRIORITY}
    divided = with_urgent & with_others

    def sign(queue: Queue) -> int:
        if queue.pool not in divided:
            return 0
        return 1 if queue.priority <= URGENT_PRIORITY else -1

    return {name: sign(queue) for name, queue in queues.items()}
