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
#: Least factor that is told apart from faster ones; it bounds the logarithm.
MIN_FACTOR = 0.01
#: Priority of the most urgent queues.
URGENT_PRIORITY = 0


def speed_class(factor: float) -> int:
    """Return the class of a worker's duration factor; lower is faster.

    The logarithm is rounded towards zero, so that all factors between 1 / CLASS_RATIO
    and CLASS_RATIO are one class. With rounding to nearest, the slower three quarters
    of such a pool, whose factor is 1.22, would be divided at 1.225 by noise alone.
    """
    return int(math.log(max(MIN_FACTOR, factor)) / math.log(CLASS_RATIO))


class SpeedRanks:
    """Ranks workers by their speed for each step of one pass. Immutable."""

    def __init__(self, classes: Mapping[str, int], signs: Mapping[str, int]) -> None:
        """``signs`` has 1 for queues that prefer fast workers, -1 for slow ones."""
        self._classes = classes
        self._signs = signs

    @property
    def any(self) -> bool:
        """Whether any worker ranks differently from others for any queue."""
        return bool(self._classes and self._signs)

    def rank(self, step: StepRun, worker: PoolWorker) -> int:
        """Return the rank of a worker for a task of the step; lower is better."""
        sign = self._signs.get(step.job.record.queue)
        if sign is None:
            return 0
        spec = step.spec
        if spec.gang or spec.long_running or spec.fills:
            return 0
        return sign * self._classes[worker.id]


#: Ranks for pools whose workers are not told apart.
NO_RANKS = SpeedRanks({}, {})


def speed_ranks(
    durations: DurationEstimator,
    workers: Iterable[PoolWorker],
    queues: Mapping[str, Queue],
) -> SpeedRanks:
    """Return the ranks for one pass."""
    classes = {w.id: speed_class(durations.factor(w.id)) for w in workers}
    if len(set(classes.values())) < 2:
        return NO_RANKS
    return SpeedRanks(classes, _signs(queues))


def _signs(queues: Mapping[str, Queue]) -> dict[str, int]:
    """Return which queues prefer fast workers (1) and which slow ones (-1).

    A queue has no preference if its pool has no queues of the other kind: fast workers
    are left free only where urgent tasks need them.
    """
    with_urgent = {q.pool for q in queues.values() if q.priority <= URGENT_PRIORITY}
    with_others = {q.pool for q in queues.values() if q.priority > URGENT_PRIORITY}
    divided = with_urgent & with_others
    return {
        name: 1 if queue.priority <= URGENT_PRIORITY else -1
        for name, queue in queues.items()
        if queue.pool in divided
    }
